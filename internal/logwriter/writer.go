package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultBufferBytes is the default size of the buffer, enough for about 1000 lines.
	DefaultBufferBytes = 256 << 10
	// flushInterval is the minimum time between two writes. Lines that are logged in the
	// meantime share a write.
	flushInterval = 20 * time.Millisecond
)

// Writer is an io.Writer that writes lines in the background. Each call of Write must pass
// one whole line. It is safe for concurrent use.
type Writer struct {
	out      io.Writer
	maxBytes int
	dropped  atomic.Uint64

	mu              sync.Mutex
	buffer          []byte
	spare           []byte
	unreportedDrops uint64
	closed          bool

	wake chan struct{}
	done chan struct{}
}

// New returns a Writer that writes to out and buffers at most maxBytes bytes, in addition to
// the bytes that are being written to out.
func New(out io.Writer, maxBytes int) *Writer {
	w := &Writer{out: out, maxBytes: maxBytes, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never returns an error and never waits for out. A line
// that does not fit into the buffer, or that follows Close, is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > w.maxBytes {
		w.unreportedDrops++
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the buffered lines to out and waits until they are written. Later lines are
// dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.flush()
		time.Sleep(flushInterval)
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	data, dropped := w.buffer, w.unreportedDrops
	w.buffer, w.spare, w.unreportedDrops = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		data = fmt.Appendf(data, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(data) > 0 {
		// An error of the log writer cannot be logged anywhere.
		_, _ = w.out.Write(data)
	}
	w.mu.Lock()
	w.spare = data
	w.mu.Unlock()
}
