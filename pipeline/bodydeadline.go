package pipeline

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// retryBodyDeadline is the delay after which a caller whose body came too late may send its
// request again.
const retryBodyDeadline = time.Second

// ReadBodyByDeadline calls read, which reads the request's body, and lets it fail at the
// exchange's deadline. It then returns the refusal of a request that has not run.
func ReadBodyByDeadline(exchange *Exchange, read func() error) error {
	controller := http.NewResponseController(exchange.Writer)
	// A connection without deadlines is read as long as it takes.
	_ = controller.SetReadDeadline(exchange.Deadline)
	err := read()
	_ = controller.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return NewNotRunRefusal(KindDeadlinePassed, http.StatusRequestTimeout,
			"the request body was not received before the deadline", "send the whole body in time", retryBodyDeadline)
	}
	return err
}
