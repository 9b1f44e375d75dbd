package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// AccountID names a client account.
type AccountID string

// ServiceName names a service.
type ServiceName string

// InstanceID names an instance. It is the common name of its certificate.
type InstanceID string

// FailureDomain names a failure domain.
type FailureDomain string

// BackendServerID names a backend server. It is unique in its instance.
type BackendServerID string

// KeyID identifies a key without revealing it: the first bytes of its hash, in
// hexadecimal digits.
type KeyID string

// KeyHash is the SHA-256 digest of a key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// keyIDBytes is how many bytes of the hash form the key id.
const keyIDBytes = 8

// HashKey returns the digest of a key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// ID returns the key id that belongs to the digest.
func (h KeyHash) ID() KeyID {
	return KeyID(hex.EncodeToString(h[:keyIDBytes]))
}

// Document is one version of the whole configuration.
type Document struct {
	// Version grows by one with each accepted change. Version 0 is the initial
	// document of a new fleet, see NewDocument.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// ActivePreset names the one preset that is in force.
	ActivePreset string `cbor:"2,keyasint" json:"preset_in_force"`
	// Accounts are the client accounts, ordered by ID.
	Accounts []Account `cbor:"3,keyasint" json:"accounts"`
	// Keys are the keys that are given out and not withdrawn, ordered by hash.
	Keys []Key `cbor:"4,keyasint" json:"keys"`
	// Routes are the routes, ordered by ID.
	Routes []Route `cbor:"5,keyasint" json:"routes"`
	// Services are the services, ordered by name.
	Services []Service `cbor:"6,keyasint" json:"services"`
	// Presets are the presets, ordered by name.
	Presets []Preset `cbor:"7,keyasint" json:"presets"`
	// Shards places the shards on instances.
	Shards ShardMap `cbor:"8,keyasint" json:"shards"`
	// Holders are the instances, up to seven, that hold the configuration in
	// memory and vouch that it is current while control is away.
	Holders []InstanceAddress `cbor:"9,keyasint" json:"holders"`
	// FormerHolders are the holders that this version replaces, empty when it
	// replaces none. This version needs a majority of them too before it counts
	// as accepted, so that no majority of the former holders misses it.
	FormerHolders []InstanceAddress `cbor:"10,keyasint,omitempty" json:"former_holders,omitempty"`
	// OperatorVersion is the number that operators gave to this configuration, where they
	// replace it as a whole; see Replacement. It is 0 until they first do.
	OperatorVersion uint64 `cbor:"11,keyasint,omitempty" json:"declared,omitempty"`
	// CallerLimits bound what callers may send.
	CallerLimits CallerLimits `cbor:"12,keyasint,omitempty" json:"caller_limits"`
}

// CallerLimits bound what callers may send, and how long they may take. A zero
// leaves the limit of the instance's settings in force.
type CallerLimits struct {
	// HeaderBytes is the largest header of a request.
	HeaderBytes int64 `cbor:"1,keyasint,omitempty" json:"header_bytes,omitempty"`
	// BodyBytes is the largest body of a request.
	BodyBytes int64 `cbor:"2,keyasint,omitempty" json:"body_bytes,omitempty"`
	// HeaderTimeout is how long the header of a request may take.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty" json:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection may stay unused.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty" json:"idle_timeout,omitempty"`
}

// InstanceAddress is an instance with the address of its fleet port.
type InstanceAddress struct {
	// ID is the instance.
	ID InstanceID `cbor:"1,keyasint" json:"id"`
	// Address is host and UDP port, by IP number.
	Address string `cbor:"2,keyasint" json:"address"`
	// FailureDomain is where the instance runs.
	FailureDomain FailureDomain `cbor:"3,keyasint" json:"failure_domain"`
}

// Account is a client account.
type Account struct {
	// ID names the account.
	ID AccountID `cbor:"1,keyasint" json:"id"`
	// RatePerSecond is how many requests a second the account may run, counted
	// over all instances.
	RatePerSecond float64 `cbor:"2,keyasint" json:"rate_per_second"`
	// Burst is how many requests the account may run at once.
	Burst uint32 `cbor:"3,keyasint" json:"burst"`
	// Priority is the rank of the account's requests, 1 the most urgent. 0 leaves
	// that to the route.
	Priority uint32 `cbor:"4,keyasint,omitempty" json:"priority,omitempty"`
}

// Key grants the use of an account.
type Key struct {
	// Hash is the digest of the key.
	Hash KeyHash `cbor:"1,keyasint" json:"hash"`
	// Account is the account that the key belongs to.
	Account AccountID `cbor:"2,keyasint" json:"account"`
	// Label is the operator's note on who has the key.
	Label string `cbor:"3,keyasint,omitempty" json:"label,omitempty"`
}

// Idempotency says which requests of a route may be run more than once.
type Idempotency uint8

const (
	// IdempotentByMethod follows RFC 9110: GET, HEAD, OPTIONS, TRACE, PUT and
	// DELETE are idempotent, other methods are not.
	IdempotentByMethod Idempotency = iota
	// IdempotentAlways declares every request of the route idempotent.
	IdempotentAlways
	// IdempotentNever declares no request of the route idempotent.
	IdempotentNever
)

// Route sends requests of a host and path prefix to a service.
type Route struct {
	// ID names the route.
	ID string `cbor:"1,keyasint" json:"id"`
	// Host is the host name that the route serves, without a port. Empty serves
	// every host.
	Host string `cbor:"2,keyasint" json:"host"`
	// PathPrefix is the path prefix that the route serves. It matches whole path
	// segments.
	PathPrefix string `cbor:"3,keyasint" json:"path_prefix"`
	// Service is the service that runs the requests.
	Service ServiceName `cbor:"4,keyasint" json:"service"`
	// OpenToAll lets requests in without a key.
	OpenToAll bool `cbor:"5,keyasint" json:"open_to_all"`
	// Idempotency says which requests may be run more than once.
	Idempotency Idempotency `cbor:"6,keyasint" json:"idempotency"`
	// Timeout is the longest time that a request may take. Zero is
	// DefaultRouteTimeout.
	Timeout time.Duration `cbor:"7,keyasint" json:"timeout"`
	// MaxAttempts is how many backend servers one request may be sent to. Zero is
	// as many as the retry budget allows.
	MaxAttempts uint32 `cbor:"8,keyasint,omitempty" json:"max_attempts,omitempty"`
	// LatencyTarget is the time within which an answer is worth most to the caller.
	// Zero is none.
	LatencyTarget time.Duration `cbor:"9,keyasint,omitempty" json:"objective,omitempty"`
	// Priority is the rank of the route's requests, 1 the most urgent and 0 unranked.
	Priority uint32 `cbor:"10,keyasint,omitempty" json:"priority,omitempty"`
	// Split divides the requests between services by weight, in place of Service.
	Split []SplitPart `cbor:"11,keyasint,omitempty" json:"split,omitempty"`
	// LargeResponses says that the answers are downloads, of tens of kilobytes and more.
	// They are kept apart from small answers on their way between instances.
	LargeResponses bool `cbor:"12,keyasint,omitempty" json:"large_answers,omitempty"`
}

// SplitPart is one service's part of a route's requests.
type SplitPart struct {
	// Service runs the part.
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	// Weight is the size of the part, relative to the other parts' weights.
	Weight uint32 `cbor:"2,keyasint" json:"weight"`
}

// Services returns the services that the route may lead to.
func (r *Route) Services() []ServiceName {
	if len(r.Split) == 0 {
		return []ServiceName{r.Service}
	}
	services := make([]ServiceName, 0, len(r.Split))
	for _, part := range r.Split {
		services = append(services, part.Service)
	}
	return services
}

// DefaultRouteTimeout is the timeout of a route that states none.
const DefaultRouteTimeout = 30 * time.Second

// Service is a group of backend servers that run the same requests.
type Service struct {
	// Name names the service.
	Name ServiceName `cbor:"1,keyasint" json:"name"`
	// FloorSlots is the healthy capacity, in slots, that ejection never goes
	// below.
	FloorSlots uint32 `cbor:"2,keyasint" json:"floor_slots"`
	// FloorPercent is the healthy share of the announced slots, in percent, that
	// ejection never goes below. The greater of both floors holds.
	FloorPercent uint32 `cbor:"3,keyasint" json:"floor_percent"`
	// MaxConnections is how many connections a backend server of the service takes
	// from all callers together. Zero is no stated limit.
	MaxConnections uint32 `cbor:"4,keyasint,omitempty" json:"max_connections,omitempty"`
}

// Preset is a set of policies for one kind of day.
type Preset struct {
	// Name names the preset.
	Name string `cbor:"1,keyasint" json:"name"`
	// RetryBudgetPercent is how many retries are allowed, in percent of requests.
	RetryBudgetPercent uint32 `cbor:"2,keyasint" json:"retry_budget_percent"`
	// RetryFloorPerSecond is how many retries a second of each service the whole fleet
	// may make besides the percentage. The proxies share it evenly.
	RetryFloorPerSecond float64 `cbor:"7,keyasint,omitempty" json:"retry_floor_per_second,omitempty"`
	// RetryWindow is the time in which the retries of each service over the whole fleet
	// must stay within the percentage and the floor, however they come. Zero bounds what
	// each proxy makes over time.
	RetryWindow time.Duration `cbor:"11,keyasint,omitempty" json:"retry_window,omitempty"`
	// QuotaGracePeriod is how long an ingress may go on with an account at its own recent
	// rate while the account's owner can not be reached. Zero refuses the account's
	// requests meanwhile. What is bridged comes on top of what was granted before.
	QuotaGracePeriod time.Duration `cbor:"9,keyasint,omitempty" json:"quota_bridge,omitempty"`
	// QuotaSlack is by how many requests an account may exceed its burst while earlier
	// ones are under way. Without it, slow answers keep an account under its rate.
	QuotaSlack uint32 `cbor:"10,keyasint,omitempty" json:"quota_slack,omitempty"`
	// HedgeAfter is how long an idempotent request waits before a second attempt
	// starts. Zero turns hedging off.
	HedgeAfter time.Duration `cbor:"3,keyasint" json:"hedge_after"`
	// QueueLength is how many requests may wait per backend server.
	QueueLength uint32 `cbor:"4,keyasint" json:"queue_length"`
	// EjectionEnabled permits the ejection of suspect backend servers.
	EjectionEnabled bool `cbor:"5,keyasint" json:"ejection_enabled"`
	// SlowStart is how long a new backend server takes to reach its full share.
	SlowStart time.Duration `cbor:"6,keyasint" json:"slow_start"`
}

// ShardMap places shards on instances.
type ShardMap struct {
	// Epoch grows with each step of a change of the map.
	Epoch uint64 `cbor:"1,keyasint" json:"epoch"`
	// Shards are the shards in the order of their numbers.
	Shards []ShardPlacement `cbor:"2,keyasint" json:"shards"`
}

// ShardPlacement is the replicas of one shard.
type ShardPlacement struct {
	// Replicas are the instances that vote for the shard.
	Replicas []InstanceAddress `cbor:"1,keyasint" json:"replicas"`
	// JoinEpochs are the epochs in which the replicas were last added, in the same
	// order. An instance that missed epochs learns from them whether it was away.
	JoinEpochs []uint64 `cbor:"2,keyasint,omitempty" json:"joined,omitempty"`
}
