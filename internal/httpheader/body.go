package httpheader

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// copyBufferBytes is the size of the buffer that bodies are copied through.
const copyBufferBytes = 32 << 10

// copyBuffers holds buffers between copies.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ErrWrite says that a copy failed on the side that was written to.
var ErrWrite = errors.New("the receiver of the body is gone")

// CopyBody copies a body to w and flushes after each read when flush is set, so
// that a stream is passed on as it comes. A failed write is marked
// ErrWrite.
func CopyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	controller := http.NewResponseController(w)
	pooled, _ := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(pooled)
	buffer := pooled[:]
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return errors.Mark(err, ErrWrite)
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}
