package selection

import (
	"time"

	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/pipeline"
)

const (
	// trialInterval is the least time between two trials of a backend server by the
	// ingress beside it. After two that succeed, the doubt is gone.
	trialInterval = time.Second
	// maxTrialDoubt is the excess doubt up to which a trial pays: by the rates of package
	// health, three of five then succeed. It is two seconds after the last failure.
	maxTrialDoubt = 0.5
	// minTrialDoubt is the excess doubt from which a pool with little load no longer chooses a
	// backend server: it then costs as much as the load of one request of twenty-five.
	minTrialDoubt = 0.01
)

// trials says when the backend servers beside this ingress are tried although they
// are in doubt. It answers a pool with room: the others take all requests there, so
// that neither a recovery nor evidence for an ejection would ever show. A single
// ingress tries each backend server, which bounds what trials cost over the fleet.
type trials struct {
	last map[balance.BackendID]time.Time
}

// due reports whether a backend server of the given excess doubt is to be tried now, and
// counts that as the trial.
func (t *trials) due(id balance.BackendID, doubt float64, now time.Time) bool {
	if doubt < minTrialDoubt {
		delete(t.last, id)
		return false
	}
	if last, tried := t.last[id]; doubt > maxTrialDoubt || (tried && now.Sub(last) < trialInterval) {
		return false
	}
	if t.last == nil {
		t.last = make(map[balance.BackendID]time.Time)
	}
	t.last[id] = now
	return true
}

// trial returns the index of a backend server beside this ingress that the request
// should try. Only requests that can be repeated do, at their first attempt. The
// caller holds the pool's lock.
func (p *servicePool) trial(exchange *pipeline.Exchange, tried []ingress.Candidate, self fleetconfig.InstanceID, now time.Time) (int, bool) {
	if !exchange.Idempotent || exchange.Reached > 0 || len(tried) > 0 {
		return 0, false
	}
	for i := range p.pool.Len() {
		backend := p.pool.Backend(i)
		if backend.ID.Instance == self && backend.Excluded == 0 && p.trials.due(backend.ID, backend.FailureProbability, now) {
			return i, true
		}
	}
	return 0, false
}
