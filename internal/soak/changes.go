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

// changeTimeout is how long an operator tries to make a change.
const changeTimeout = 20 * time.Second

// operators make changes and remember what became of them. They are safe for
// concurrent use.
type operators struct {
	findings *findings
	client   *client.Client

	mu   sync.Mutex
	next int
	// accepted are the accounts that were accepted, lost those that certainly were not.
	accepted, lost []fleetconfig.AccountID
	newest         uint64
}

// race sends two changes on the same version at once. At most one may be accepted.
func (o *operators) race(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	status, err := o.client.Status(ctx)
	if err != nil {
		return
	}
	o.mu.Lock()
	o.next++
	round := o.next
	o.mu.Unlock()
	won := make([]bool, 2)
	var both sync.WaitGroup
	for i := range won {
		both.Go(func() {
			id := fleetconfig.AccountID(fmt.Sprintf("raced-%d-%c", round, 'a'+i))
			won[i] = o.create(ctx, id, status.Version)
		})
	}
	both.Wait()
	if won[0] && won[1] {
		o.findings.broke("both changes of round %d were accepted on version %d", round, status.Version)
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
		o.newest = max(o.newest, version)
		return true
	case errors.As(err, &problem) && problem.HasType(api.ProblemConflict):
		o.lost = append(o.lost, id)
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

// check compares the configuration at the end with what operators were told.
func (o *operators) check(document *fleetconfig.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := fleetconfig.NewView(document)
	if document.Version < o.newest {
		o.findings.broke("version %d was accepted, and %d is in force at the end", o.newest, document.Version)
	}
	for _, id := range o.accepted {
		if view.Account(id) == nil {
			o.findings.broke("the accepted account %s is not there at the end", id)
		}
	}
	for _, id := range o.lost {
		if view.Account(id) != nil {
			o.findings.broke("the account %s, said to be in conflict, is there at the end", id)
		}
	}
	o.findings.say("changes: %d accepted, %d in conflict, version %d at the end", len(o.accepted), len(o.lost), document.Version)
}
