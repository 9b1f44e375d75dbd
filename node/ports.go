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
	// defaultHeaderTimeout is the maximum time to receive a request header. On the port
	// for callers it applies only if the configuration sets none.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is the maximum time that a connection may stay idle. On the port
	// for callers it applies only if the configuration sets none.
	defaultIdleTimeout = 2 * time.Minute
	// maxConcurrentStreams is the maximum number of concurrent requests on an HTTP/2
	// connection.
	maxConcurrentStreams = 1000
)

// httpPort is a TCP port that serves HTTP. It is a suture service.
type httpPort struct {
	server   *http.Server
	listener net.Listener
}

// openCallerPort opens the port for callers. It serves HTTP/1.1 and HTTP/2, with TLS if
// a certificate is set.
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

// openPort opens a TCP port that serves HTTP/1.1, and with TLS also HTTP/2.
func openPort(address string, handler http.Handler, logger *slog.Logger) (*httpPort, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; check whether another process uses the port", address)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return &httpPort{server: server, listener: listener}, nil
}

// useTLS enables TLS on the port. If the certificate cannot be read, it closes the port
// and returns an error.
func (p *httpPort) useTLS(certificateFile, keyFile string) error {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		p.close()
		return errors.Wrapf(err, "read the certificate for %s", p.listener.Addr())
	}
	p.server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}
	return nil
}

// Serve implements suture.Service. It returns when ctx is cancelled or the listener
// fails.
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
		// The port was shut down by a planned stop. The service must not end before ctx, as
		// the supervisor would restart it.
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve on %s", p.listener.Addr())
}

// shutdown closes the listener and waits for the requests in flight until ctx ends.
func (p *httpPort) shutdown(ctx context.Context) error {
	return errors.Wrap(p.server.Shutdown(ctx), "requests of callers were still running at the end of the stop; raise stop_timeout")
}

func (p *httpPort) close() {
	_ = p.listener.Close()
}
