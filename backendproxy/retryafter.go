package backendproxy

import (
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/internal/decimal"
)

// maxStatedRetryAfter is the longest Retry-After of a backend server that is passed on.
const maxStatedRetryAfter = time.Minute

// statedRetryAfter returns the time after which the request may be sent again, according to a
// response that says that the backend server has not run it. Without a Retry-After in
// seconds, and for a shorter one, it is retryElsewhere: another backend server may have room.
func statedRetryAfter(header http.Header) time.Duration {
	seconds, ok := decimal.Parse(header.Get("Retry-After"))
	if !ok {
		return retryElsewhere
	}
	stated := time.Duration(min(seconds, maxStatedRetryAfter.Seconds()) * float64(time.Second))
	return max(stated, retryElsewhere)
}
