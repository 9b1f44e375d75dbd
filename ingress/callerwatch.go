package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// callerCheckInterval is how often the connection of a caller is checked while its request's
// body has not been read. A request must not reach a backend server half a second after its
// caller has left.
const callerCheckInterval = 100 * time.Millisecond

// errCallerLeft ends the context of a request whose caller has closed its connection.
var errCallerLeft = errors.New("the caller has closed its connection")

// callerWatch ends the context of an HTTP/1 request when its caller has closed the connection
// and the body has not been read to its end. net/http looks for the end of a connection only
// after it has read the body, which waits for the dispatch.
type callerWatch struct {
	connection CallerConnection
	cancel     context.CancelCauseFunc
	// readBegan says that a read of the body has begun.
	readBegan atomic.Bool

	// mu guards the fields below.
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// watchCaller returns the request with a context that ends with its caller, and the watch, which
// must be ended. The watch is nil if the request needs none.
func (p *Proxy) watchCaller(request *http.Request) (watched *http.Request, watch *callerWatch) {
	if request.ProtoMajor != 1 || request.ContentLength == 0 || p.config.CallerConnection == nil {
		return request, nil
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	watch = &callerWatch{connection: p.config.CallerConnection(request), cancel: cancel}
	watch.mu.Lock()
	watch.timer = time.AfterFunc(callerCheckInterval, watch.check)
	watch.mu.Unlock()
	watched = request.WithContext(ctx)
	watched.Body = &watchedBody{ReadCloser: request.Body, watch: watch}
	return watched, watch
}

// end ends the watch and the context of the request.
func (w *callerWatch) end() {
	if w != nil {
		w.stop()
		w.cancel(nil)
	}
}

// bodyRequested reports whether the caller may have been asked for the body. net/http asks a
// caller that waits for "100 Continue" with the first read.
func (w *callerWatch) bodyRequested() bool { return w != nil && w.readBegan.Load() }

func (w *callerWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.connection.EndedByCaller() {
		w.stopped = true
		w.cancel(errCallerLeft)
		return
	}
	w.timer.Reset(callerCheckInterval)
}

func (w *callerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// watchedBody is the body of a watched request. From its end on, net/http watches the
// connection.
type watchedBody struct {
	io.ReadCloser
	watch *callerWatch
}

// Read implements io.Reader.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	b.watch.readBegan.Store(true)
	n, err := b.ReadCloser.Read(buffer)
	if err != nil {
		b.watch.stop()
	}
	return n, err
}
