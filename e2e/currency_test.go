package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

func withdrawKey() fleetconfig.Change {
	return fleetconfig.Change{Kind: fleetconfig.WithdrawKey, Name: string(fleetconfig.HashKey(accountKey).ID())}
}

// watchKey sends requests with the withdrawn key through an instance for a while
// and returns when the last one was let in.
func (f *fleet) watchKey(t *testing.T, instance int, length time.Duration) (lastServed time.Time) {
	t.Helper()
	end := time.Now().Add(length)
	f.until(t, "the end of the watch", func() bool {
		sent := time.Now()
		if heard := f.send(instance, http.MethodGet, "/orders", ""); heard.err == nil && heard.status == http.StatusOK {
			lastServed = sent
		}
		return time.Now().After(end)
	})
	return lastServed
}

// A withdrawn key stops on an instance that is cut off alone, which still has
// callers and a backend server of its own.
func TestAWithdrawnKeyStopsOnAnInstanceThatIsCutOff(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, true)
	const lonely = 4
	must.Eq(t, http.StatusOK, fleet.send(lonely, http.MethodGet, "/orders", "").status)
	fleet.relay.Isolate(fleet.Layout.Instances[lonely].ID, true)
	_, err := fleet.ApplyChanges(fleet.ctx, withdrawKey())
	must.NoError(t, err)
	accepted := time.Now()
	last := fleet.watchKey(t, lonely, 2*promise)
	must.Less(t, promise, last.Sub(accepted))
	heard := fleet.send(lonely, http.MethodGet, "/orders", "")
	must.Eq(t, http.StatusServiceUnavailable, heard.status)
	must.Eq(t, "not-run", heard.outcome)
	must.Eq(t, "configuration-not-current", heard.refusal)
	// Routes open to all go on there.
	fleet.until(t, "an open request on the lonely instance", func() bool {
		return fleet.send(lonely, http.MethodGet, "/open", "").status == http.StatusOK
	})
	fleet.relay.Isolate(fleet.Layout.Instances[lonely].ID, false)
	fleet.until(t, "the refusal of the key after the cut", func() bool {
		return fleet.send(lonely, http.MethodGet, "/orders", "").refusal == "key-rejected"
	})
}

// A frozen process finds its time run out before it acts: a key that was
// withdrawn meanwhile does not work there for a moment.
func TestAWithdrawnKeyStopsOnAFrozenInstance(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, false)
	const frozen = 4
	must.Eq(t, http.StatusOK, fleet.send(frozen, http.MethodGet, "/orders", "").status)
	must.NoError(t, fleet.SuspendDaemon(frozen))
	_, err := fleet.ApplyChanges(fleet.ctx, withdrawKey())
	must.NoError(t, err)
	accepted := time.Now()
	// These wait in the frozen process's sockets.
	answers := make(chan answer, 20)
	for range cap(answers) {
		go func() { answers <- fleet.send(frozen, http.MethodGet, "/orders", "") }()
	}
	fleet.until(t, "the end of the promise", func() bool { return time.Since(accepted) > promise+time.Second })
	before, err := fleet.Executions()
	must.NoError(t, err)
	must.NoError(t, fleet.ResumeDaemon(frozen))
	for range cap(answers) {
		heard := <-answers
		must.NotEq(t, http.StatusOK, heard.status)
	}
	after, err := fleet.Executions()
	must.NoError(t, err)
	must.Eq(t, before.Total, after.Total)
}

// A path that is cut in one direction is named as such, kills nobody, and requests
// go on through every instance.
func TestAOneWayCutIsNamedAndGoneAround(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, true)
	from, to := fleet.Layout.Instances[3].ID, fleet.Layout.Instances[4].ID
	fleet.relay.Block(from, to)
	fleet.until(t, "the path's verdict", func() bool {
		ready, err := fleet.Readiness(3)
		return err == nil && ready.IndirectOnly == 1
	})
	for i := range 40 {
		heard := fleet.send(i%5, http.MethodGet, "/orders", "")
		must.NoError(t, heard.err)
		must.Eq(t, http.StatusOK, heard.status)
	}
	fleet.relay.Unblock(from, to)
	fleet.until(t, "the path's return", func() bool {
		ready, err := fleet.Readiness(3)
		return err == nil && ready.IndirectOnly == 0 && ready.Members == 5
	})
}
