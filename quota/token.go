package quota

import (
	"fmt"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Token permits one request of a client account.
type Token struct {
	// Account is the client account.
	Account fleetconfig.AccountID
	// Grant is the grant that the token belongs to.
	Grant GrantID
	// Expires is when the token expires by the clock of the ingress. The request must not
	// be dispatched to a backend server at or after that time.
	Expires time.Time
}

// Cause is the reason why a token was refused.
type Cause uint8

const (
	// CauseOverRate means that the account has used up its rate and burst.
	CauseOverRate Cause = iota
	// CauseOwnerUnknown means that no instance is known to own the account's shard now.
	CauseOwnerUnknown
	// CauseOwnerUnreachable means that the owner did not respond in time.
	CauseOwnerUnreachable
	// CauseIngressFull means that this ingress has reached its limit of accounts, grants or
	// waiting requests.
	CauseIngressFull
)

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	switch c {
	case CauseOverRate:
		return "over-rate"
	case CauseOwnerUnknown:
		return "owner-unknown"
	case CauseOwnerUnreachable:
		return "owner-unreachable"
	default:
		return "ingress-full"
	}
}

// remedy returns what a caller or operator can do about the cause.
func (c Cause) remedy() string {
	switch c {
	case CauseOverRate:
		return "send more slowly, or ask the operators for a higher rate or burst"
	case CauseOwnerUnknown:
		return "retry when the shard has an owner; if this persists, check that a majority of its replicas is running"
	case CauseOwnerUnreachable:
		return "retry; if this persists, check the network between this instance and the shard's owner"
	default:
		return "retry; if this persists, spread the accounts over more instances"
	}
}

// Refusal is the error for a request that gets no token. The request was not run.
type Refusal struct {
	// Account is the client account.
	Account fleetconfig.AccountID
	// Cause is the reason for the refusal.
	Cause Cause
	// RetryAfter is the estimated time until a token is available.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no quota token for account %q (%s): retry after %v; %s",
		r.Account, r.Cause, r.RetryAfter, r.Cause.remedy())
}
