package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// GrantID identifies a grant. The borrower chooses it and never uses it again,
// not even after a restart.
type GrantID uint64

// TokenRequest asks for tokens of one account. The same TokenRequest may be sent again; the owner
// answers it once.
type TokenRequest struct {
	// Account is the client account.
	Account fleetconfig.AccountID `cbor:"1,keyasint"`
	// Grant identifies the grant that the owner makes.
	Grant GrantID `cbor:"2,keyasint"`
	// Waiting is how many requests wait for a token now.
	Waiting uint32 `cbor:"3,keyasint"`
	// Prefetch is how many more tokens the ingress expects to use soon.
	Prefetch uint32 `cbor:"4,keyasint,omitempty"`
}

// UsageReport tells what became of the tokens of a grant. Its counts are totals, so
// that a report that comes twice or late changes nothing.
type UsageReport struct {
	// Account is the client account.
	Account fleetconfig.AccountID `cbor:"1,keyasint"`
	// Grant identifies the grant.
	Grant GrantID `cbor:"2,keyasint"`
	// Spent is how many tokens were spent.
	Spent uint32 `cbor:"3,keyasint,omitempty"`
	// SinceLastSpent is how long ago the last of them was spent, at least.
	SinceLastSpent time.Duration `cbor:"4,keyasint,omitempty"`
	// Returned is how many tokens will never be used. ReturnedAll gives up whatever
	// is not spent.
	Returned uint32 `cbor:"5,keyasint,omitempty"`
}

// ReturnedAll in Report.Returned gives up a grant whose answer never came.
const ReturnedAll = ^uint32(0)

// BorrowRequest is one ingress's message to the owner of a shard.
type BorrowRequest struct {
	// Shard is the shard.
	Shard shard.ID `cbor:"1,keyasint"`
	// Reports are handled before Asks.
	Reports []UsageReport `cbor:"2,keyasint,omitempty"`
	// TokenRequests are the accounts that need tokens.
	TokenRequests []TokenRequest `cbor:"3,keyasint,omitempty"`
	// Idle says that the ingress has used no token lately and bridges nothing when it
	// falls silent.
	Idle bool `cbor:"4,keyasint,omitempty"`
}

// TokenGrant answers one Ask.
type TokenGrant struct {
	// Account is the client account.
	Account fleetconfig.AccountID `cbor:"1,keyasint"`
	// Grant is copied from the Ask.
	Grant GrantID `cbor:"2,keyasint"`
	// Count is how many tokens are lent.
	Count uint32 `cbor:"3,keyasint,omitempty"`
	// Lifetime is how long they live, counted from when the borrower asked.
	Lifetime time.Duration `cbor:"4,keyasint,omitempty"`
	// RetryAfter is when the next token can be had, if fewer are lent than wanted.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// PrefetchLimit is how many unused tokens the borrower may hold.
	PrefetchLimit uint32 `cbor:"6,keyasint,omitempty"`
	// MaxReportDelay is how soon the owner should hear what became of the tokens.
	MaxReportDelay time.Duration `cbor:"7,keyasint,omitempty"`
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	// Shard is the shard.
	Shard shard.ID `cbor:"1,keyasint"`
	// IsOwner is false when the instance does not own the shard. Nothing was lent.
	IsOwner bool `cbor:"2,keyasint,omitempty"`
	// Owner is the instance that is believed to own the shard, empty when unknown.
	Owner fleetconfig.InstanceID `cbor:"3,keyasint,omitempty"`
	// RetryAfter is how long the shard may stay without an owner, if Owner is empty.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Grants answer the asks in their order.
	Grants []TokenGrant `cbor:"5,keyasint,omitempty"`
}

// OpenGrant is a grant in a Snapshot.
type OpenGrant struct {
	Borrower fleetconfig.InstanceID `cbor:"1,keyasint"`
	Grant    GrantID                `cbor:"2,keyasint"`
	Count    uint32                 `cbor:"3,keyasint"`
	Spent    uint32                 `cbor:"4,keyasint"`
	Returned uint32                 `cbor:"5,keyasint"`
	// Remaining is how long the tokens can still be dispatched.
	Remaining time.Duration `cbor:"6,keyasint"`
	// Lifetime is the life that the borrower was told.
	Lifetime time.Duration `cbor:"7,keyasint"`
}

// BucketState is a bucket in a Snapshot.
type BucketState struct {
	Account fleetconfig.AccountID `cbor:"1,keyasint"`
	Level   float64               `cbor:"2,keyasint"`
	Grants  []OpenGrant           `cbor:"3,keyasint"`
}

// Snapshot is the state of a Ledger that its owner hands over.
type Snapshot struct {
	// ConfigVersion is the version of the configuration that the rates came from.
	ConfigVersion uint64 `cbor:"1,keyasint"`
	// Age is how long the buckets that are not listed have been filling. A negative
	// one is the time left until any bucket may start to fill.
	Age time.Duration `cbor:"2,keyasint"`
	// Buckets are the buckets that were used.
	Buckets []BucketState `cbor:"3,keyasint"`
}
