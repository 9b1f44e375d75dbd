package ingress

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxReplayBytes is the largest request body, in bytes, that is buffered for another
// attempt.
const maxReplayBytes = 64 << 10

// errBodyNotBuffered ends the body of an attempt if an earlier attempt, which went on reading,
// has read more than can be buffered.
var errBodyNotBuffered = errors.New("an earlier attempt has read a part of the body that is not buffered")

// replayBody reads the body of a caller's request and buffers up to maxReplayBytes
// of it, so that the request can be sent to another backend server.
type replayBody struct {
	request *http.Request
	// trailer holds the announced fields that may be forwarded. The trailer of the
	// caller's request may hold others: at the end of a body that was received over
	// HTTP/1.1, net/http adds all received fields to it.
	trailer http.Header

	// reading is held during reads of the caller's body, which may take as long as the
	// caller likes. It is locked before mu.
	reading sync.Mutex
	// mu guards the fields below.
	mu       sync.Mutex
	buffered []byte
	// consumed is how many bytes were read from the caller's body.
	consumed int
	// tooLarge says that the body exceeded maxReplayBytes, so it cannot be read
	// again.
	tooLarge bool
	// err is the error that ended the caller's body, io.EOF at its normal end.
	err error
}

// newReplayBody returns the replayBody of a request. Forbidden fields must already
// be removed from its announced trailer.
func newReplayBody(request *http.Request) *replayBody {
	return &replayBody{request: request, trailer: maps.Clone(request.Trailer)}
}

// canReplay reports whether another attempt can read the body from the start.
func (b *replayBody) canReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.tooLarge
}

// readError returns the error that ended the caller's body early, or nil if there was
// none.
func (b *replayBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// open returns a body for one attempt and its trailer, which is set when the body
// ends.
func (b *replayBody) open() (body *attemptBody, trailer http.Header) {
	trailer = maps.Clone(b.trailer)
	return &attemptBody{shared: b, trailer: trailer}, trailer
}

// attemptBody is the body of one attempt. The transport may still read the body of
// an attempt that has ended, so each attempt has its own read offset.
type attemptBody struct {
	shared  *replayBody
	trailer http.Header
	offset  int
	closed  atomic.Bool
}

// Read implements io.Reader.
func (a *attemptBody) Read(buffer []byte) (int, error) {
	if a.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	a.shared.reading.Lock()
	defer a.shared.reading.Unlock()
	if a.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if n, err := a.readShared(buffer); n > 0 || err != nil {
		return n, err
	}
	n, err := a.shared.request.Body.Read(buffer)
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	a.shared.bufferForReplay(buffer[:n])
	a.shared.consumed += n
	a.shared.err = err
	a.offset += n
	if n > 0 {
		return n, nil
	}
	return 0, a.end()
}

// readShared reads what was read from the caller before, or the error that ended its body. It
// returns neither if the caller's body must be read. The caller holds shared.reading.
func (a *attemptBody) readShared(buffer []byte) (int, error) {
	a.shared.mu.Lock()
	defer a.shared.mu.Unlock()
	switch {
	case !a.shared.tooLarge && a.offset < len(a.shared.buffered):
		n := copy(buffer, a.shared.buffered[a.offset:])
		a.offset += n
		return n, nil
	case a.offset < a.shared.consumed:
		return 0, errBodyNotBuffered
	case a.shared.err != nil:
		return 0, a.end()
	}
	return 0, nil
}

// end returns the error that ended the caller's body. At its normal end, the trailer is set.
// The caller holds shared.mu.
func (a *attemptBody) end() error {
	if errors.Is(a.shared.err, io.EOF) {
		a.copyTrailer()
	}
	return a.shared.err
}

func (a *attemptBody) copyTrailer() {
	for name := range a.trailer {
		a.trailer[name] = a.shared.request.Trailer[name]
	}
}

func (b *replayBody) bufferForReplay(data []byte) {
	if b.tooLarge || len(data) == 0 {
		return
	}
	if len(b.buffered)+len(data) > maxReplayBytes {
		b.tooLarge = true
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, data...)
}

// Close implements io.Closer. It does not close the caller's body, which another
// attempt may need; the HTTP server that received the request closes it.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}
