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
	// Expires is when the token ends, by the clock of the ingress. The request must
	// not be dispatched to a backend server at or after that time.
	Expires time.Time
}

// Cause says why a token was refused.
type Cause uint8

const (
	// CauseOverRate means that the account has used its rate and burst.
	CauseOverRate Cause = iota
	// CauseOwnerUnknown means that no instance owns the account's shard now.
	CauseOwnerUnknown
	// CauseOwnerUnreachable means that the owner did not answer in time.
	CauseOwnerUnreachable
	// CauseIngressFull means that this ingress holds as many accounts or waiting
	// requests as its bound allows.
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

// remedy is what a caller or operator can do about the cause.
func (c Cause) remedy() string {
	switch c {
	case CauseOverRate:
		return "send more slowly, or ask the operators for a higher rate or burst"
	case CauseOwnerUnknown:
		return "ask again when the shard has an owner; if this lasts, check that a majority of its replicas runs"
	case CauseOwnerUnreachable:
		return "ask again; if this lasts, check the network between this instance and the shard's owner"
	default:
		return "ask again; if this lasts, spread the accounts over more instances"
	}
}

// Refusal is the error for a request that gets no token. The request was not run.
type Refusal struct {
	// Account is the client account.
	Account fleetconfig.AccountID
	// Cause says why.
	Cause Cause
	// RetryAfter is how long it takes until a token can be had, as far as is known.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no quota token for account %q (%s): come back after %v; %s",
		r.Account, r.Cause, r.RetryAfter, r.Cause.remedy())
}
