package emulator

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// CrashParameter is a query parameter with which a request crashes the server that runs
	// it, at the end of its service time.
	CrashParameter = "crash"
	// DefaultDowntime is how long a server is down after a crash.
	DefaultDowntime = 2 * time.Second
	// relistenInterval is the interval between attempts to listen again.
	relistenInterval = 20 * time.Millisecond
)

func crashes(request *http.Request) bool { return request.URL.Query().Has(CrashParameter) }

// listening is how a server serves between two crashes.
type listening struct {
	address string
	server  *http.Server
	ctx     context.Context
}

// crash ends the emulated process: all connections break, and nothing listens until the
// downtime has passed. Then a new process listens at the same address.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.listening.server == nil {
		return
	}
	s.executions.Crashes++
	s.down = true
	_ = s.listening.server.Close()
	downtime := s.config.Downtime
	if downtime == 0 {
		downtime = DefaultDowntime
	}
	time.AfterFunc(downtime, s.restart)
}

func (s *Server) restart() {
	if s.config.ColdRate > 0 {
		s.mu.Lock()
		s.cold.start(time.Now().Add(s.config.ColdStart))
		s.mu.Unlock()
	}
	for {
		s.mu.Lock()
		ctx, address := s.listening.ctx, s.listening.address
		s.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if _, err := s.listen(ctx, address); err == nil {
			return
		}
		time.Sleep(relistenInterval)
	}
}

// Down reports whether the server is down after a crash.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// Listen starts to serve on the address until ctx ends. The returned address contains the
// actual port.
func (s *Server) Listen(ctx context.Context, address string) (string, error) {
	actual, err := s.listen(ctx, address)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = s.listening.server.Close()
	})
	return actual, nil
}

func (s *Server) listen(ctx context.Context, address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen on the address of the emulated backend server")
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listening = listening{address: listener.Addr().String(), server: server, ctx: ctx}
	s.down = false
	s.processStart = time.Now()
	// A new process has stated nothing yet.
	s.rate.setFault(&s.fault)
	return s.listening.address, nil
}
