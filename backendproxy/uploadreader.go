package backendproxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxUploadChunkBytes is how much of an upload is held between the caller and the backend
	// server.
	maxUploadChunkBytes = 16 << 10
	// minUploadChunkBytes is enough for the end of a short body to be read with it.
	minUploadChunkBytes = 512
)

// errUploadPaused ends a read whose caller has sent nothing for the given time.
var errUploadPaused = errors.New("the caller has paused its upload")

// uploadReader reads a body whose caller may pause for as long as it likes. Each read of the
// source takes place in a goroutine of its own, which ends with that read, so that a reader
// that no longer needs the body can stop waiting. One goroutine at a time may read.
type uploadReader struct {
	source io.Reader
	// observe is called with what is read from the source, in order.
	observe func(data []byte, err error)
	// chunkBytes is the size of chunk.
	chunkBytes int

	// canceled ends all reads, as interrupt does.
	canceled <-chan struct{}

	interruptOnce sync.Once
	// interrupted is closed by interrupt, after cause has been set.
	interrupted chan struct{}
	cause       error

	// pending is closed when the read that is under way ends. It is nil if there is none. Until
	// then that read uses chunk, rest and err.
	pending chan struct{}
	// chunk is the buffer, rest the part of it that has not been returned.
	chunk, rest []byte
	// err is the error that ended the source.
	err error
}

// newUploadReader returns a reader of a body of the given length, or -1 if it is not known.
// Reads end when canceled is closed, with context.Canceled.
func newUploadReader(canceled <-chan struct{}, source io.Reader, length int64, observe func(data []byte, err error)) *uploadReader {
	chunkBytes := maxUploadChunkBytes
	if length >= 0 {
		chunkBytes = int(min(max(length+1, minUploadChunkBytes), maxUploadChunkBytes))
	}
	return &uploadReader{source: source, observe: observe, chunkBytes: chunkBytes, canceled: canceled, interrupted: make(chan struct{})}
}

// interrupt ends all reads with cause, also one that is waiting for the source.
func (r *uploadReader) interrupt(cause error) {
	r.interruptOnce.Do(func() {
		r.cause = cause
		close(r.interrupted)
	})
}

// Read implements io.Reader.
func (r *uploadReader) Read(buffer []byte) (int, error) {
	select {
	case <-r.interrupted:
		return 0, r.cause
	default:
	}
	if err := r.await(r.canceled, r.interrupted, nil); err != nil {
		return 0, err
	}
	n := copy(buffer, r.rest)
	r.rest = r.rest[n:]
	if n == 0 {
		return 0, r.err
	}
	return n, nil
}

// discard reads on, whether or not the reader has been interrupted, until done returns true, the
// source ends, or it yields nothing for maxPause. It returns the error that ended it.
func (r *uploadReader) discard(done func() bool, maxPause time.Duration) error {
	for !done() {
		timer := time.NewTimer(maxPause)
		err := r.await(nil, nil, timer.C)
		timer.Stop()
		if err != nil {
			return err
		}
		if len(r.rest) == 0 {
			return r.err
		}
		r.rest = nil
	}
	return nil
}

// await waits until rest is not empty or err is set. It returns an error if the given channels
// end the wait.
func (r *uploadReader) await(canceled, interrupted <-chan struct{}, timeout <-chan time.Time) error {
	if r.pending == nil && r.hasResult() {
		return nil
	}
	if r.pending == nil {
		if r.chunk == nil {
			r.chunk = make([]byte, r.chunkBytes)
		}
		r.pending = make(chan struct{})
		go r.fill(r.pending)
	}
	select {
	case <-r.pending:
		r.pending = nil
		return nil
	case <-canceled:
		return context.Canceled
	case <-interrupted:
		return r.cause
	case <-timeout:
		return errUploadPaused
	}
}

// hasResult reports whether the last read of the source has left anything to return.
func (r *uploadReader) hasResult() bool { return len(r.rest) > 0 || r.err != nil }

// fill reads from the source until it yields a byte or an error.
func (r *uploadReader) fill(pending chan<- struct{}) {
	defer close(pending)
	for n := 0; n == 0 && r.err == nil; {
		n, r.err = r.source.Read(r.chunk)
		r.rest = r.chunk[:n]
		r.observe(r.rest, r.err)
	}
}
