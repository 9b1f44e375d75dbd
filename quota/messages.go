package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// GrantID identifies a grant. The borrower chooses it and never reuses it, not even after a
// restart.
type GrantID uint64

// TokenRequest requests tokens of one account. An ingress may send the same request again;
// while the grant of the request has outstanding tokens, the owner makes no second grant.
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

// UsageReport tells the owner how the tokens of a grant were used. Its counts are totals,
// so that a duplicate or late report has no effect.
type UsageReport struct {
	// Account is the client account.
	Account fleetconfig.AccountID `cbor:"1,keyasint"`
	// Grant identifies the grant.
	Grant GrantID `cbor:"2,keyasint"`
	// Spent is how many tokens were spent.
	Spent uint32 `cbor:"3,keyasint,omitempty"`
	// SinceLastSpent is a lower bound of the time since the last of them was spent.
	SinceLastSpent time.Duration `cbor:"4,keyasint,omitempty"`
	// Returned is how many tokens will never be used. ReturnedAll gives up all tokens that
	// are not spent.
	Returned uint32 `cbor:"5,keyasint,omitempty"`
}

// ReturnedAll in UsageReport.Returned gives up a grant whose reply never arrived.
const ReturnedAll = ^uint32(0)

// BorrowRequest is a message from one ingress to the owner of a shard.
type BorrowRequest struct {
	// Shard is the shard of all accounts in the message.
	Shard shard.ID `cbor:"1,keyasint"`
	// Reports are processed before TokenRequests.
	Reports []UsageReport `cbor:"2,keyasint,omitempty"`
	// TokenRequests has one entry for each account that needs tokens.
	TokenRequests []TokenRequest `cbor:"3,keyasint,omitempty"`
	// Idle is set if the ingress has used no token recently and will not use its
	// FallbackLimiter when it stops calling.
	Idle bool `cbor:"4,keyasint,omitempty"`
	// Abridge permits a reply whose grants lack what the token requests say (Restore).
	Abridge bool `cbor:"5,keyasint,omitempty"`
}

// TokenGrant answers one TokenRequest.
type TokenGrant struct {
	// Account is the client account.
	Account fleetconfig.AccountID `cbor:"1,keyasint,omitempty"`
	// Grant is copied from the TokenRequest.
	Grant GrantID `cbor:"2,keyasint,omitempty"`
	// Count is how many tokens are lent.
	Count uint32 `cbor:"3,keyasint,omitempty"`
	// Lifetime is how long the tokens are valid, counted from when the borrower requested
	// them.
	Lifetime time.Duration `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the estimated time until the next token can be lent. It is set if Count
	// is less than TokenRequest.Waiting.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// PrefetchLimit is how many unused tokens the borrower may hold.
	PrefetchLimit uint32 `cbor:"6,keyasint,omitempty"`
	// MaxReportDelay is how soon the borrower should report the use of the tokens.
	MaxReportDelay time.Duration `cbor:"7,keyasint,omitempty"`
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	// Shard is copied from the BorrowRequest.
	Shard shard.ID `cbor:"1,keyasint"`
	// IsOwner is false if the instance does not own the shard. Nothing was lent in this
	// case.
	IsOwner bool `cbor:"2,keyasint,omitempty"`
	// Owner is the instance that is believed to own the shard, or empty if it is unknown.
	Owner fleetconfig.InstanceID `cbor:"3,keyasint,omitempty"`
	// RetryAfter is how long the shard may remain without an owner, if Owner is empty.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Grants answer the token requests in the same order.
	Grants []TokenGrant `cbor:"5,keyasint,omitempty"`
	// OwnerAddress is the address of Owner for calls between instances, or empty if the
	// instance that replies does not know it.
	OwnerAddress string `cbor:"6,keyasint,omitempty"`
}

// Abridge removes from the grants what they repeat of the token requests, if the request permits
// it. Both are in the same order.
func (r *BorrowReply) Abridge(request *BorrowRequest) {
	if !request.Abridge || len(r.Grants) != len(request.TokenRequests) {
		return
	}
	for i := range r.Grants {
		if asked := &request.TokenRequests[i]; r.Grants[i].Account == asked.Account && r.Grants[i].Grant == asked.Grant {
			r.Grants[i].Account, r.Grants[i].Grant = "", 0
		}
	}
}

// Restore reverses Abridge.
func (r *BorrowReply) Restore(request *BorrowRequest) {
	if len(r.Grants) != len(request.TokenRequests) {
		return
	}
	for i := range r.Grants {
		if r.Grants[i].Account == "" && r.Grants[i].Grant == 0 {
			asked := &request.TokenRequests[i]
			r.Grants[i].Account, r.Grants[i].Grant = asked.Account, asked.Grant
		}
	}
}

// OpenGrant is a grant with outstanding tokens in a Snapshot.
type OpenGrant struct {
	Borrower fleetconfig.InstanceID `cbor:"1,keyasint"`
	Grant    GrantID                `cbor:"2,keyasint"`
	Count    uint32                 `cbor:"3,keyasint"`
	Spent    uint32                 `cbor:"4,keyasint"`
	Returned uint32                 `cbor:"5,keyasint"`
	// Remaining is how long the tokens can still be spent.
	Remaining time.Duration `cbor:"6,keyasint"`
	// Lifetime is the lifetime that the borrower was told.
	Lifetime time.Duration `cbor:"7,keyasint"`
}

// BucketState is the state of one bucket in a Snapshot.
type BucketState struct {
	Account fleetconfig.AccountID `cbor:"1,keyasint"`
	Level   float64               `cbor:"2,keyasint"`
	Grants  []OpenGrant           `cbor:"3,keyasint"`
}

// Snapshot is the state of a BucketTable that its owner hands over.
type Snapshot struct {
	// ConfigVersion is the version of the configuration that the limits came from.
	ConfigVersion uint64 `cbor:"1,keyasint"`
	// Age is how long the buckets that are not listed have been filling. A negative value
	// is the time left until any bucket may start to fill.
	Age time.Duration `cbor:"2,keyasint"`
	// Buckets are the buckets that were used.
	Buckets []BucketState `cbor:"3,keyasint"`
}
