package selection

import (
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/health"
)

// repeatNewsLifetime is how long the news that a server may receive no repeats holds. A server
// with a request or two a second earns the credit for the next in a few seconds.
const repeatNewsLifetime = time.Second

// pickForRepeat returns the index of the backend server for a repeat, and whether it is a last
// resort, among those that may have credit for one. The caller must hold the pool's lock.
func (p *servicePool) pickForRepeat(skip *balance.TriedBackends, now time.Time) (index int, lastResort, ok bool) {
	mayTake := func(backend *balance.Backend) bool { return p.mayTakeRepeat(backend.ID, now) }
	index, ok = p.pool.PickBestOf(p.rng, skip, func(backend *balance.Backend) bool {
		return backend.FailureProbability < health.SuspectFailureProbability && mayTake(backend)
	})
	if ok {
		return index, false, true
	}
	index, ok = p.pool.PickBestOf(p.rng, skip, mayTake)
	return index, ok, ok
}

// mayTakeRepeat reports whether a server may have credit for a repeat, as far as is known. The
// caller must hold the pool's lock.
func (p *servicePool) mayTakeRepeat(id balance.BackendID, now time.Time) bool {
	news, known := p.news[id]
	return !known || !news.noRepeats || now.Sub(news.heardAt) >= repeatNewsLifetime
}
