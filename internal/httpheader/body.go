package httpheader

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// copyBufferBytes is the size of the buffers for copying bodies.
const copyBufferBytes = 32 << 10

// copyBuffers is a pool of buffers for CopyBody.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// ErrWrite marks errors of CopyBody that occurred while writing to the receiver.
var ErrWrite = errors.New("write of the body to its receiver failed")

// CopyBody copies a body to w. If flush is set, it flushes after each read, so that
// streams are forwarded without delay. Errors of writing are marked with ErrWrite.
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
