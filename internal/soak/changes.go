package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// changeTimeout is the timeout of a configuration change.
const changeTimeout = 20 * time.Second

// operators make configuration changes and record their results. They are safe for
// concurrent use.
type operators struct {
	findings *findings
	client   *client.Client

	mu sync.Mutex
	// races is the number of calls of raceChanges.
	races int
	// accepted holds the accounts whose creation was accepted, conflicting those whose
	// creation was rejected with a conflict. A change with another error is in neither:
	// it may or may not have been made.
	accepted, conflicting []fleetconfig.AccountID
	latestVersion         uint64
	// evacuated holds for each failure domain what the last order set, if that is certain.
	evacuated map[fleetconfig.FailureDomain]bool
}

// raceChanges sends two changes concurrently with the same base version. At most one may
// be accepted.
func (o *operators) raceChanges(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := o.client.Status(ctx)
	if err != nil {
		return
	}
	o.mu.Lock()
	o.races++
	race := o.races
	o.mu.Unlock()
	accepted := make([]bool, 2)
	var both sync.WaitGroup
	for i := range accepted {
		both.Go(func() {
			id := fleetconfig.AccountID(fmt.Sprintf("raced-%d-%c", race, 'a'+i))
			accepted[i] = o.create(ctx, id, status.Version)
		})
	}
	both.Wait()
	if accepted[0] && accepted[1] {
		o.findings.violated("both concurrent changes of race %d were accepted on base version %d", race, status.Version)
	}
}

func (o *operators) create(ctx context.Context, id fleetconfig.AccountID, base uint64) (accepted bool) {
	change := fleetconfig.Change{Kind: fleetconfig.CreateAccount, Account: &fleetconfig.Account{ID: id, RatePerSecond: 1, Burst: 1}}
	version, err := o.change(ctx, base, change)
	o.mu.Lock()
	defer o.mu.Unlock()
	var problem *api.Problem
	switch {
	case err == nil:
		o.accepted = append(o.accepted, id)
		o.latestVersion = max(o.latestVersion, version)
		return true
	case errors.As(err, &problem) && problem.HasType(api.ProblemConflict):
		o.conflicting = append(o.conflicting, id)
	}
	return false
}

func (o *operators) change(ctx context.Context, base uint64, changes ...fleetconfig.Change) (uint64, error) {
	reply, err := o.client.Change(ctx, &api.ChangeRequest{ChangeID: client.NewChangeID(), BaseVersion: base, Changes: changes})
	if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// check compares the final configuration with the replies that operators got.
func (o *operators) check(document *fleetconfig.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := fleetconfig.NewView(document)
	if document.Version < o.latestVersion {
		o.findings.violated("version %d was accepted, but the final version is %d", o.latestVersion, document.Version)
	}
	for _, id := range o.accepted {
		if view.Account(id) == nil {
			o.findings.violated("the accepted account %s is missing from the final configuration", id)
		}
	}
	for _, id := range o.conflicting {
		if view.Account(id) != nil {
			o.findings.violated("the account %s, rejected with a conflict, is in the final configuration", id)
		}
	}
	o.checkEvacuations(view)
	o.findings.printf("changes: %d accepted, %d in conflict, final version %d", len(o.accepted), len(o.conflicting), document.Version)
}
