package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// breakerWithWork returns a breaker whose server usually works for 400 ms on a request.
func breakerWithWork(now *time.Time) *Breaker {
	breaker := NewBreaker(*now)
	for range 50 {
		finish(breaker, ResultOK, 400*time.Millisecond, now)
	}
	return breaker
}

// finish admits a request and ends it with the result after the given time.
func finish(breaker *Breaker, result Result, took time.Duration, now *time.Time) {
	admission := breaker.Admit(BreakerRequest{LastResort: true}, *now)
	*now = now.Add(took)
	breaker.Done(admission, result, *now)
}

// One error that follows the usual work is no reason to send requests elsewhere, since a small
// share of all requests ends so. Several in a row are, and one immediate error is.
func TestBreakerTellsErrorsAfterWorkFromImmediateOnes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	breaker := breakerWithWork(&now)
	finish(breaker, ResultServerError, 300*time.Millisecond, &now)
	must.True(t, breaker.Admits(BreakerRequest{}, now))
	for range 10 {
		finish(breaker, ResultServerError, 300*time.Millisecond, &now)
	}
	must.False(t, breaker.Admits(BreakerRequest{}, now))

	breaker = breakerWithWork(&now)
	finish(breaker, ResultServerError, 2*time.Millisecond, &now)
	finish(breaker, ResultServerError, 2*time.Millisecond, &now)
	must.False(t, breaker.Admits(BreakerRequest{}, now))

	// A reset says more than an error response, whenever it comes.
	breaker = breakerWithWork(&now)
	finish(breaker, ResultFailed, 300*time.Millisecond, &now)
	finish(breaker, ResultFailed, 300*time.Millisecond, &now)
	must.False(t, breaker.Admits(BreakerRequest{}, now))
}

// A server that sheds half of its requests gets requests all the same: all servers of the service
// may shed. The share is reported, follows the requests and is forgotten without them.
func TestBreakerAdmitsToSheddingServer(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	breaker := breakerWithWork(&now)
	must.Zero(t, breaker.SheddingShare(now))
	for range 40 {
		finish(breaker, ResultShed, time.Millisecond, &now)
		finish(breaker, ResultOK, 50*time.Millisecond, &now)
		must.True(t, breaker.Admits(BreakerRequest{}, now))
	}
	must.Between(t, 0.35, breaker.SheddingShare(now), 0.65)
	must.Less(t, 0.05, breaker.SheddingShare(now.Add(4*sheddingMemory)))
	finish(breaker, ResultCanceled, time.Millisecond, &now)
	must.Between(t, 0.35, breaker.SheddingShare(now), 0.65)
}

// A server that fails half of its requests after the usual work is suspect most of the time, one
// that fails one in a hundred seldom.
func TestBreakerSuspectsServerWithManyErrorsAfterWork(t *testing.T) {
	suspectShare := func(errorShare float64) float64 {
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1_000_000, 0)
		breaker := breakerWithWork(&now)
		const requests = 2000
		suspect := 0
		for range requests {
			result := ResultOK
			if random.Float64() < errorShare {
				result = ResultServerError
			}
			finish(breaker, result, 400*time.Millisecond, &now)
			if !breaker.Admits(BreakerRequest{}, now) {
				suspect++
			}
		}
		return float64(suspect) / requests
	}
	must.Greater(t, 0.6, suspectShare(0.5))
	must.Greater(t, 0.9, suspectShare(0.8))
	must.Less(t, 0.01, suspectShare(0.012))
}
