package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultBufferBytes is the size of the buffer: about a thousand lines.
	DefaultBufferBytes = 256 << 10
	// flushInterval is how long a line may wait, so that lines that come close
	// together share a write.
	flushInterval = 20 * time.Millisecond
)

// Writer is an io.Writer for whole lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	limit   int
	dropped atomic.Uint64

	mu     sync.Mutex
	buffer []byte
	spare  []byte
	lost   uint64
	closed bool

	wake chan struct{}
	done chan struct{}
}

// New returns a writer that passes lines on to out, and holds limit bytes at most.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never waits for out.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buffer)+len(line) > w.limit {
		w.lost++
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close passes on what is buffered and drops later lines.
func (w *Writer) Close() {
	w.mu.Lock()
	closed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !closed {
		close(w.wake)
	}
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
	lines, lost := w.buffer, w.lost
	w.buffer, w.spare, w.lost = w.spare[:0], nil, 0
	w.mu.Unlock()
	if lost > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", lost)
	}
	if len(lines) > 0 {
		// A log that cannot be written has nowhere to say so.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
