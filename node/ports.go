package node

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/settings"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header, unless
	// the configuration says so.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout closes unused connections of callers, unless the configuration
	// says when.
	callerIdleTimeout = 2 * time.Minute
	// maxConcurrentStreams bounds the requests on one HTTP/2 connection.
	maxConcurrentStreams = 1000
)

// httpPort is a TCP port that serves HTTP. It is a suture service.
type httpPort struct {
	server   *http.Server
	listener net.Listener
}

// openCallerPort opens the port for callers: HTTP/1.1 and HTTP/2, with TLS when a
// certificate is set.
func openCallerPort(callers *settings.Callers, handler http.Handler, limits func() fleetconfig.CallerLimits, logger *slog.Logger) (*httpPort, error) {
	port, err := openPort(callers.Address, handler, logger)
	if err != nil {
		return nil, err
	}
	port.server.MaxHeaderBytes = callers.MaxHeaderBytes
	applyCallerTimeouts(port, limits)
	port.server.Protocols.SetUnencryptedHTTP2(true)
	if callers.Certificate == "" {
		return port, nil
	}
	return port, port.useTLS(callers.Certificate, callers.Key)
}

func openPort(address string, handler http.Handler, logger *slog.Logger) (*httpPort, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; see whether another process has the port", address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return &httpPort{server: server, listener: listener}, nil
}

// useTLS makes the port serve TLS. It closes the port when the certificate can not
// be read.
func (p *httpPort) useTLS(certificateFile, keyFile string) error {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		p.close()
		return errors.Wrapf(err, "read the certificate for %s", p.listener.Addr())
	}
	p.server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	return nil
}

// Serve implements suture.Service.
func (p *httpPort) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
	defer stop()
	var err error
	if p.server.TLSConfig != nil {
		err = p.server.ServeTLS(p.listener, "", "")
	} else {
		err = p.server.Serve(p.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		// A planned shutdown: wait for the node's stop to end everything.
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve on %s", p.listener.Addr())
}

// shutdown closes the port and waits for the requests in flight.
func (p *httpPort) shutdown(ctx context.Context) error {
	return errors.Wrap(p.server.Shutdown(ctx), "requests of callers still run; raise stop_timeout")
}

func (p *httpPort) close() {
	_ = p.listener.Close()
}
