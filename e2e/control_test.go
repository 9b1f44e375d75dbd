package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/testbed"
)

func addAccount(i int) fleetconfig.Change {
	id := fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
	return fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: id, RatePerSecond: 1, Burst: 1}}
}

// Accepted changes survive the kill of the leader in the middle of them and a
// restart of every process; no instance ever goes back to an older version.
func TestAcceptedChangesSurviveTheLeaderAndARestartOfAll(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, false)
	var version uint64
	for i := range 30 {
		var err error
		version, err = fleet.ApplyChanges(fleet.ctx, addAccount(i))
		must.NoError(t, err)
		if i%10 == 5 {
			leader := fleet.leader(t)
			fleet.KillDaemon(leader)
			must.NoError(t, fleet.StartDaemon(leader))
		}
	}
	must.NoError(t, fleet.WaitServing(fleet.ctx, version))
	for i := range 5 {
		fleet.KillDaemon(i)
	}
	for i := range 5 {
		must.NoError(t, fleet.StartDaemon(i))
	}
	for i := range 5 {
		fleet.until(t, "the accepted version on every instance", func() bool {
			ready, err := fleet.Readiness(i)
			if err != nil {
				return false
			}
			must.True(t, ready.Version == 0 || ready.Version >= version, must.Sprintf("instance %d serves version %d after %d", i, ready.Version, version))
			return ready.Version >= version
		})
	}
	document, err := fleet.Client.Document(fleet.ctx)
	must.NoError(t, err)
	must.Len(t, 31, document.Accounts)
}

// A control instance that lost its disk neither votes nor loses what the others
// have accepted.
func TestALostDiskLosesNoAcceptedChange(t *testing.T) {
	t.Parallel()
	fleet := start(t, 4, 3, false)
	version, err := fleet.ApplyChanges(fleet.ctx, addAccount(1))
	must.NoError(t, err)
	fleet.KillDaemon(0)
	must.NoError(t, os.RemoveAll(fleet.Layout.Instances[0].DataFolder))
	must.NoError(t, fleet.StartDaemon(0))
	later, err := fleet.ApplyChanges(fleet.ctx, addAccount(2))
	must.NoError(t, err)
	must.Greater(t, version, later)
	fleet.until(t, "the newest version on the instance without its disk", func() bool {
		ready, err := fleet.Readiness(0)
		return err == nil && ready.Version >= later
	})
	must.False(t, fleet.leader(t) == 0)

	// The blank disk does not count: with one more member away there is no majority.
	fleet.KillDaemon(1)
	short, cancel := context.WithTimeout(fleet.ctx, 3*time.Second)
	defer cancel()
	_, err = fleet.ApplyChanges(short, addAccount(3))
	must.Error(t, err)

	// Once the disk is admitted, it does.
	must.NoError(t, fleet.StartDaemon(1))
	lost := string(fleet.Layout.Instances[0].ID)
	fleet.until(t, "the admission of the disk", func() bool {
		_, err := fleet.Client.ChangeControlMember(fleet.ctx, lost, "admit-disk", "")
		return err == nil
	})
	fleet.KillDaemon(1)
	newest, err := fleet.ApplyChanges(fleet.ctx, addAccount(4))
	must.NoError(t, err)
	// The instance that answers may be behind the change, and must come to hold it.
	var document *fleetconfig.Document
	fleet.until(t, "the document at the version of the last change", func() bool {
		var err error
		document, err = fleet.Client.Document(fleet.ctx)
		return err == nil && document.Version >= newest
	})
	ids := make(map[fleetconfig.AccountID]bool)
	for _, account := range document.Accounts {
		ids[account.ID] = true
	}
	must.True(t, ids["account-1"] && ids["account-2"] && ids["account-4"])
}

// While all of control is away, the others go on; when it comes back, changes are
// accepted again.
func TestRequestsGoOnWhileControlIsAway(t *testing.T) {
	t.Parallel()
	fleet := startSpecs(t, testbed.SpecsWithDedicatedControl(3, 5, 3), false)
	for i := range 3 {
		fleet.KillDaemon(i)
	}
	// Longer than an instance is current without anyone to vouch for it.
	deadline := time.Now().Add(2 * promise)
	served := 0
	fleet.until(t, "the time without control", func() bool {
		if heard := fleet.send(3+served%5, http.MethodGet, "/orders", ""); heard.status == http.StatusOK {
			served++
		}
		return time.Now().After(deadline)
	})
	for i := 3; i < 8; i++ {
		fleet.until(t, "a keyed request while control is away", func() bool {
			return fleet.send(i, http.MethodGet, "/orders", "").status == http.StatusOK
		})
	}
	for i := range 3 {
		must.NoError(t, fleet.StartDaemon(i))
	}
	version, err := fleet.ApplyChanges(fleet.ctx, addAccount(1))
	must.NoError(t, err)
	must.NoError(t, fleet.WaitServing(fleet.ctx, version))
}
