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

// sendFor sends requests with the account's key through an instance for the duration. It
// returns the time at which the last served request was sent.
func (f *fleet) sendFor(t *testing.T, instance int, duration time.Duration) (lastServed time.Time) {
	t.Helper()
	end := time.Now().Add(duration)
	f.waitUntil(t, "the end of the requests", func() bool {
		sent := time.Now()
		if reply := f.send(instance, http.MethodGet, "/orders", ""); reply.err == nil && reply.status == http.StatusOK {
			lastServed = sent
		}
		return time.Now().After(end)
	})
	return lastServed
}

// A withdrawn key is rejected in time on an instance that is partitioned from all others but
// still has callers and a backend server. It does not learn of the withdrawal, so it must
// refuse all keyed requests once its configuration is no longer current.
func TestWithdrawnKeyIsRejectedOnIsolatedInstance(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, true)
	const isolated = 4
	must.Eq(t, http.StatusOK, fleet.send(isolated, http.MethodGet, "/orders", "").status)
	fleet.relay.Isolate(fleet.Layout.Instances[isolated].ID, true)
	_, err := fleet.ApplyChanges(fleet.ctx, withdrawKey())
	must.NoError(t, err)
	accepted := time.Now()
	last := fleet.sendFor(t, isolated, 2*withdrawalBound)
	must.Less(t, withdrawalBound, last.Sub(accepted))
	reply := fleet.send(isolated, http.MethodGet, "/orders", "")
	must.Eq(t, http.StatusServiceUnavailable, reply.status)
	must.Eq(t, "not-run", reply.outcome)
	must.Eq(t, "configuration-not-current", reply.refusal)
	// Requests on routes that are open to all are still served there.
	fleet.waitUntil(t, "a served request on an open route of the isolated instance", func() bool {
		return fleet.send(isolated, http.MethodGet, "/open", "").status == http.StatusOK
	})
	fleet.relay.Isolate(fleet.Layout.Instances[isolated].ID, false)
	fleet.waitUntil(t, "the rejection of the key after the partition", func() bool {
		return fleet.send(isolated, http.MethodGet, "/orders", "").refusal == "key-rejected"
	})
}

// A key that is withdrawn while a process is suspended is not accepted when the process
// resumes: the process must notice that its configuration has expired before it handles the
// requests that wait in its sockets.
func TestWithdrawnKeyIsRejectedOnSuspendedInstance(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, false)
	const suspended = 4
	must.Eq(t, http.StatusOK, fleet.send(suspended, http.MethodGet, "/orders", "").status)
	must.NoError(t, fleet.SuspendDaemon(suspended))
	_, err := fleet.ApplyChanges(fleet.ctx, withdrawKey())
	must.NoError(t, err)
	accepted := time.Now()
	// These requests wait in the sockets of the suspended process.
	replies := make(chan requestResult, 20)
	for range cap(replies) {
		go func() { replies <- fleet.send(suspended, http.MethodGet, "/orders", "") }()
	}
	fleet.waitUntil(t, "the end of the withdrawal bound", func() bool { return time.Since(accepted) > withdrawalBound+time.Second })
	before, err := fleet.Executions()
	must.NoError(t, err)
	must.NoError(t, fleet.ResumeDaemon(suspended))
	for range cap(replies) {
		reply := <-replies
		must.NotEq(t, http.StatusOK, reply.status)
	}
	after, err := fleet.Executions()
	must.NoError(t, err)
	must.Eq(t, before.Total, after.Total)
}

// When the datagrams from one instance to another are lost, the other is reported as
// reachable only indirectly, no member is declared dead, and requests are served through
// every instance.
func TestOneWayPartitionIsDetectedAndBypassed(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, true)
	from, to := fleet.Layout.Instances[3].ID, fleet.Layout.Instances[4].ID
	fleet.relay.Block(from, to)
	fleet.waitUntil(t, "the detection of the partition", func() bool {
		ready, err := fleet.Readiness(3)
		return err == nil && ready.IndirectOnly == 1
	})
	for i := range 40 {
		reply := fleet.send(i%5, http.MethodGet, "/orders", "")
		must.NoError(t, reply.err)
		must.Eq(t, http.StatusOK, reply.status)
	}
	fleet.relay.Unblock(from, to)
	fleet.waitUntil(t, "the recovery of the path", func() bool {
		ready, err := fleet.Readiness(3)
		return err == nil && ready.IndirectOnly == 0 && ready.Members == 5
	})
}
