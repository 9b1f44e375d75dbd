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

func createAccount(i int) fleetconfig.Change {
	id := fleetconfig.AccountID(fmt.Sprintf("account-%d", i))
	return fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: id, RatePerSecond: 1, Burst: 1}}
}

// Accepted changes survive when the leader is killed between changes, and when all daemons
// are killed and restarted. No instance reverts to an older version.
func TestAcceptedChangesSurviveLeaderKillsAndFullRestart(t *testing.T) {
	t.Parallel()
	fleet := start(t, 5, 3, false)
	var version uint64
	for i := range 30 {
		var err error
		version, err = fleet.ApplyChanges(fleet.ctx, createAccount(i))
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
		fleet.waitUntil(t, "the accepted version on every instance", func() bool {
			ready, err := fleet.Readiness(i)
			if err != nil {
				return false
			}
			must.True(t, ready.Version == 0 || ready.Version >= version, must.Sprintf("instance %d serves version %d although version %d was accepted", i, ready.Version, version))
			return ready.Version >= version
		})
	}
	document, err := fleet.Client.Document(fleet.ctx)
	must.NoError(t, err)
	must.Len(t, 31, document.Accounts)
}

// A control instance that lost its disk gets the accepted changes from the others, but does
// not vote until its new disk is admitted.
func TestAcceptedChangesSurviveControlDiskLoss(t *testing.T) {
	t.Parallel()
	fleet := start(t, 4, 3, false)
	version, err := fleet.ApplyChanges(fleet.ctx, createAccount(1))
	must.NoError(t, err)
	fleet.KillDaemon(0)
	must.NoError(t, os.RemoveAll(fleet.Layout.Instances[0].DataFolder))
	must.NoError(t, fleet.StartDaemon(0))
	laterVersion, err := fleet.ApplyChanges(fleet.ctx, createAccount(2))
	must.NoError(t, err)
	must.Greater(t, version, laterVersion)
	fleet.waitUntil(t, "the latest version on the instance that lost its disk", func() bool {
		ready, err := fleet.Readiness(0)
		return err == nil && ready.Version >= laterVersion
	})
	must.False(t, fleet.leader(t) == 0)

	// The instance with the empty disk has no vote, so there is no majority while another
	// member is down.
	fleet.KillDaemon(1)
	shortCtx, cancel := context.WithTimeout(fleet.ctx, 3*time.Second)
	defer cancel()
	_, err = fleet.ApplyChanges(shortCtx, createAccount(3))
	must.Error(t, err)

	// Once its disk is admitted, the instance votes again.
	must.NoError(t, fleet.StartDaemon(1))
	lostID := string(fleet.Layout.Instances[0].ID)
	fleet.waitUntil(t, "the admission of the disk", func() bool {
		_, err := fleet.Client.ChangeControlMember(fleet.ctx, lostID, "admit-disk", "")
		return err == nil
	})
	fleet.KillDaemon(1)
	lastVersion, err := fleet.ApplyChanges(fleet.ctx, createAccount(4))
	must.NoError(t, err)
	// The instance that responds may not have applied the last change yet, but must do so
	// eventually.
	var document *fleetconfig.Document
	fleet.waitUntil(t, "the document at the version of the last change", func() bool {
		var err error
		document, err = fleet.Client.Document(fleet.ctx)
		return err == nil && document.Version >= lastVersion
	})
	ids := make(map[fleetconfig.AccountID]bool)
	for _, account := range document.Accounts {
		ids[account.ID] = true
	}
	must.True(t, ids["account-1"] && ids["account-2"] && ids["account-4"])
}

// While all control instances are down, the proxies serve requests. After the control
// instances have restarted, changes are accepted again.
func TestRequestsAreServedWithoutControl(t *testing.T) {
	t.Parallel()
	fleet := startSpecs(t, testbed.SpecsWithDedicatedControl(3, 5, 3), false)
	for i := range 3 {
		fleet.KillDaemon(i)
	}
	// A proxy refuses requests with a key if other instances have not confirmed for some
	// time that its configuration is current. The requests are sent for longer than that.
	deadline := time.Now().Add(2 * withdrawalBound)
	served := 0
	fleet.waitUntil(t, "the end of the load while control is down", func() bool {
		if reply := fleet.send(3+served%5, http.MethodGet, "/orders", ""); reply.status == http.StatusOK {
			served++
		}
		return time.Now().After(deadline)
	})
	for i := 3; i < 8; i++ {
		fleet.waitUntil(t, "a served request with a key while control is down", func() bool {
			return fleet.send(i, http.MethodGet, "/orders", "").status == http.StatusOK
		})
	}
	for i := range 3 {
		must.NoError(t, fleet.StartDaemon(i))
	}
	version, err := fleet.ApplyChanges(fleet.ctx, createAccount(1))
	must.NoError(t, err)
	must.NoError(t, fleet.WaitServing(fleet.ctx, version))
}
