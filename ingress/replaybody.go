package ingress

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxReplayBytes is how much of a request body is kept for another attempt.
const maxReplayBytes = 64 << 10

// replayBody reads the body of a caller's request and keeps its first bytes, so
// that a request that was proved NotRun can be tried elsewhere.
type replayBody struct {
	request *http.Request
	// trailer holds the announced fields that may pass. net/http adds whatever comes
	// to the request's own trailer when the body ends.
	trailer http.Header

	mu      sync.Mutex
	kept    []byte
	overrun bool
	err     error
}

// newReplayBody returns the body of a request whose announced trailer has been
// cleaned.
func newReplayBody(request *http.Request) *replayBody {
	return &replayBody{request: request, trailer: maps.Clone(request.Trailer)}
}

// rewindable reports whether another attempt can read the body from the start.
func (b *replayBody) rewindable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overrun
}

// failure returns why the caller's body could not be read to its end, or nil.
func (b *replayBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// open returns the body for one attempt and its trailer, which is filled in at the
// end of the body.
func (b *replayBody) open() (body *attemptBody, trailer http.Header) {
	trailer = maps.Clone(b.trailer)
	return &attemptBody{shared: b, trailer: trailer}, trailer
}

// attemptBody is the body of one attempt. The sender of an attempt that has
// ended may still read it for a moment, so it does not share its position with
// the next one.
type attemptBody struct {
	shared  *replayBody
	trailer http.Header
	readAt  int
	closed  atomic.Bool
}

// Read implements io.Reader.
func (a *attemptBody) Read(buffer []byte) (int, error) {
	if a.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	if !a.shared.overrun && a.readAt < len(a.shared.kept) {
		n := copy(buffer, a.shared.kept[a.readAt:])
		a.readAt += n
		return n, nil
	}
	if a.shared.err == nil {
		n, err := a.shared.request.Body.Read(buffer)
		a.shared.keep(buffer[:n])
		a.shared.err = err
		a.readAt += n
		if n > 0 {
			return n, nil
		}
	}
	if errors.Is(a.shared.err, io.EOF) {
		a.passTrailer()
	}
	return 0, a.shared.err
}

func (a *attemptBody) passTrailer() {
	for name := range a.trailer {
		a.trailer[name] = a.shared.request.Trailer[name]
	}
}

func (b *replayBody) keep(data []byte) {
	if b.overrun || len(data) == 0 {
		return
	}
	if len(b.kept)+len(data) > maxReplayBytes {
		b.overrun = true
		b.kept = nil
		return
	}
	b.kept = append(b.kept, data...)
}

// Close implements io.Closer. The caller's body stays open for another attempt;
// the server that made the request closes it.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}
