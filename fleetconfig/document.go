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

// InstanceID names an instance. It is the common name of the instance's certificate.
type InstanceID string

// FailureDomain names a failure domain.
type FailureDomain string

// BackendServerID names a backend server. It is unique within its instance.
type BackendServerID string

// KeyID identifies a key without revealing it. It is the first bytes of the key's
// hash in hexadecimal.
type KeyID string

// KeyHash is the SHA-256 digest of a key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// keyIDBytes is the number of hash bytes that form the key id.
const keyIDBytes = 8

// HashKey returns the digest of a key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// ID returns the key id of the key with this digest.
func (h KeyHash) ID() KeyID {
	return KeyID(hex.EncodeToString(h[:keyIDBytes]))
}

// Document is one version of the whole configuration.
type Document struct {
	// Version is incremented by each accepted command. Version 0 is the initial
	// document of a new fleet; see NewDocument.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// ActivePreset is the name of the active preset. Exactly one preset is active.
	ActivePreset string `cbor:"2,keyasint" json:"preset_in_force"`
	// Accounts are the client accounts, ordered by ID.
	Accounts []Account `cbor:"3,keyasint" json:"accounts"`
	// Keys are the keys that have been given to accounts and not withdrawn, ordered
	// by hash.
	Keys []Key `cbor:"4,keyasint" json:"keys"`
	// Routes are the routes, ordered by ID.
	Routes []Route `cbor:"5,keyasint" json:"routes"`
	// Services are the services, ordered by name.
	Services []Service `cbor:"6,keyasint" json:"services"`
	// Presets are the presets, ordered by name.
	Presets []Preset `cbor:"7,keyasint" json:"presets"`
	// Shards assigns the shards to instances.
	Shards ShardMap `cbor:"8,keyasint" json:"shards"`
	// Holders are up to seven instances that keep the committed configuration in
	// memory. While the control instances are unreachable, a majority of the holders
	// confirms which version is the latest; see package currency.
	Holders []InstanceAddress `cbor:"9,keyasint" json:"holders"`
	// FormerHolders are the holders that this version replaces; it is empty if the
	// holders did not change. The version counts as accepted only when a majority of
	// the former holders has it too, so that every majority of the former holders
	// learns of it.
	FormerHolders []InstanceAddress `cbor:"10,keyasint,omitempty" json:"former_holders,omitempty"`
	// OperatorVersion is the version number that operators assigned to this
	// configuration if they replace it as a whole; see Replacement. It is 0 until the
	// first replacement.
	OperatorVersion uint64 `cbor:"11,keyasint,omitempty" json:"declared,omitempty"`
	// CallerLimits limits what callers may send.
	CallerLimits CallerLimits `cbor:"12,keyasint,omitempty" json:"caller_limits"`
	// EvacuatedDomains are the failure domains whose backend servers get no new requests,
	// in ascending order.
	EvacuatedDomains []FailureDomain `cbor:"13,keyasint,omitempty" json:"evacuated_domains,omitempty"`
}

// CallerLimits limits the size of requests and the time that callers may take. A
// field that is zero leaves the limit of the instance's own settings in effect.
type CallerLimits struct {
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int64 `cbor:"1,keyasint,omitempty" json:"header_bytes,omitempty"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `cbor:"2,keyasint,omitempty" json:"body_bytes,omitempty"`
	// HeaderTimeout is the maximum time to receive a request header.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty" json:"header_timeout,omitempty"`
	// IdleTimeout is the maximum time that a connection may stay idle.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty" json:"idle_timeout,omitempty"`
}

// InstanceAddress is an instance with the address of its port for traffic between
// instances.
type InstanceAddress struct {
	// ID is the instance's ID.
	ID InstanceID `cbor:"1,keyasint" json:"id"`
	// Address is the IP address and UDP port.
	Address string `cbor:"2,keyasint" json:"address"`
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain FailureDomain `cbor:"3,keyasint" json:"failure_domain"`
}

// Account is a client account.
type Account struct {
	// ID names the account.
	ID AccountID `cbor:"1,keyasint" json:"id"`
	// RatePerSecond is the number of requests per second that the account may make,
	// summed over all instances.
	RatePerSecond float64 `cbor:"2,keyasint" json:"rate_per_second"`
	// Burst is the number of requests that the account may make at once.
	Burst uint32 `cbor:"3,keyasint" json:"burst"`
	// Priority is the rank of the account's requests; 1 is the most urgent. With 0
	// the priority of the route applies.
	Priority uint32 `cbor:"4,keyasint,omitempty" json:"priority,omitempty"`
}

// Key authenticates requests of an account.
type Key struct {
	// Hash is the digest of the key.
	Hash KeyHash `cbor:"1,keyasint" json:"hash"`
	// Account is the account that the key belongs to.
	Account AccountID `cbor:"2,keyasint" json:"account"`
	// Label is the operator's note about who has the key.
	Label string `cbor:"3,keyasint,omitempty" json:"label,omitempty"`
}

// Idempotency determines which requests of a route may be executed more than once.
type Idempotency uint8

const (
	// IdempotentByMethod follows RFC 9110: GET, HEAD, OPTIONS, TRACE, PUT and DELETE
	// are idempotent, other methods are not.
	IdempotentByMethod Idempotency = iota
	// IdempotentAlways treats every request of the route as idempotent.
	IdempotentAlways
	// IdempotentNever treats no request of the route as idempotent.
	IdempotentNever
)

// Route maps requests for a host and path prefix to a service.
type Route struct {
	// ID names the route.
	ID string `cbor:"1,keyasint" json:"id"`
	// Host is the host name that the route matches, without a port. An empty Host
	// matches every host.
	Host string `cbor:"2,keyasint" json:"host"`
	// PathPrefix is the path prefix that the route matches. It matches whole path
	// segments only: "/orders" matches "/orders", "/orders/" and "/orders/7".
	PathPrefix string `cbor:"3,keyasint" json:"path_prefix"`
	// Service is the service that handles the requests.
	Service ServiceName `cbor:"4,keyasint" json:"service"`
	// OpenToAll admits requests without a key.
	OpenToAll bool `cbor:"5,keyasint" json:"open_to_all"`
	// Idempotency determines which requests may be executed more than once.
	Idempotency Idempotency `cbor:"6,keyasint" json:"idempotency"`
	// Timeout is the maximum duration of a request. Zero means DefaultRouteTimeout.
	Timeout time.Duration `cbor:"7,keyasint" json:"timeout"`
	// MaxAttempts is the maximum number of backend servers that one request is sent
	// to. With zero, only the retry budget limits the attempts.
	MaxAttempts uint32 `cbor:"8,keyasint,omitempty" json:"max_attempts,omitempty"`
	// LatencyTarget is the latency that callers expect; a slower response is less
	// useful to them. LatencyTarget limits how long a request waits for an unreachable
	// quota owner; see quota.MaxOwnerWait. Zero means no target.
	LatencyTarget time.Duration `cbor:"9,keyasint,omitempty" json:"objective,omitempty"`
	// Priority is the rank of the route's requests; 1 is the most urgent, 0 means
	// unranked.
	Priority uint32 `cbor:"10,keyasint,omitempty" json:"priority,omitempty"`
	// Split distributes the requests over several services by weight. If it is set,
	// Service is not used.
	Split []SplitPart `cbor:"11,keyasint,omitempty" json:"split,omitempty"`
	// LargeResponses marks a route whose responses are downloads of tens of kilobytes
	// or more. Between instances they are sent separately from small responses.
	LargeResponses bool `cbor:"12,keyasint,omitempty" json:"large_answers,omitempty"`
	// BelowPrefix compares the prefix and a slash with the path as the caller wrote it:
	// "/orders" then matches "/orders/" and "/orders/7", but neither "/orders" nor
	// "/%6frders/7". It has no effect on the prefix "/".
	BelowPrefix bool `cbor:"13,keyasint,omitempty" json:"below_prefix,omitempty"`
}

// SplitPart is the share of one service in a route's requests.
type SplitPart struct {
	// Service is the service that handles the share.
	Service ServiceName `cbor:"1,keyasint" json:"service"`
	// Weight is the size of the share, relative to the weights of the other parts.
	Weight uint32 `cbor:"2,keyasint" json:"weight"`
}

// Services returns the services that the route may send requests to.
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

// DefaultRouteTimeout is the timeout of a route that does not set one.
const DefaultRouteTimeout = 30 * time.Second

// Service is a group of backend servers that handle the same requests.
type Service struct {
	// Name names the service.
	Name ServiceName `cbor:"1,keyasint" json:"name"`
	// FloorSlots is the minimum healthy capacity, in slots, that ejection must leave.
	// A slot is one request that a backend server can run; each backend server
	// announces how many it runs concurrently.
	FloorSlots uint32 `cbor:"2,keyasint" json:"floor_slots"`
	// FloorPercent is the minimum healthy share of the announced slots, in percent,
	// that ejection must leave. If both minimums are set, the one that is more slots
	// applies.
	FloorPercent uint32 `cbor:"3,keyasint" json:"floor_percent"`
	// MaxConnections is the maximum number of connections that one backend server of
	// the service accepts, summed over all callers. Zero means that no limit is set.
	MaxConnections uint32 `cbor:"4,keyasint,omitempty" json:"max_connections,omitempty"`
	// ColdRate is the rate, in requests per second from all ingresses together, that a
	// backend server of the service tolerates while it is cold, that is, while it warms up.
	// Zero means that a cold server tolerates any rate.
	ColdRate float64 `cbor:"5,keyasint,omitempty" json:"cold_rate,omitempty"`
	// ColdStart is how long a backend server of the service is cold after it starts.
	ColdStart time.Duration `cbor:"6,keyasint,omitempty" json:"cold_start,omitempty"`
}

// Preset is a set of policies for one operating condition, such as peak load or
// maintenance.
type Preset struct {
	// Name names the preset.
	Name string `cbor:"1,keyasint" json:"name"`
	// RetryBudgetPercent is the maximum number of retries as a percentage of
	// requests.
	RetryBudgetPercent uint32 `cbor:"2,keyasint" json:"retry_budget_percent"`
	// RetryFloorPerSecond is the number of retries per second and service that the
	// whole fleet may make in addition to the percentage.
	RetryFloorPerSecond float64 `cbor:"7,keyasint,omitempty" json:"retry_floor_per_second,omitempty"`
	// RetryWindow is the time window in which the repeats that the backend servers of
	// each service receive, summed over the whole fleet, must stay within the percentage
	// and the floor: retries, and requests that repeated runs of other servers send. With
	// zero, each ingress limits its own retries without a window, and RetryFloorPerSecond
	// has no effect; see package retry.
	RetryWindow time.Duration `cbor:"11,keyasint,omitempty" json:"retry_window,omitempty"`
	// QuotaGracePeriod is how long an ingress may keep admitting requests of an
	// account, at the account's recent rate on that ingress, while the owner of the
	// account's quota is unreachable. With zero such requests are refused. Requests
	// admitted in the grace period come in addition to what was granted before.
	QuotaGracePeriod time.Duration `cbor:"9,keyasint,omitempty" json:"quota_bridge,omitempty"`
	// QuotaSlack is the number of requests by which an account may exceed its burst
	// while earlier requests are still running. Without it, an account with slow
	// responses cannot reach its rate.
	QuotaSlack uint32 `cbor:"10,keyasint,omitempty" json:"quota_slack,omitempty"`
	// QuotaSlackPercent adds to QuotaSlack a share, in percent, of what an account may run in
	// QuotaWindow. A large account has more requests running than a small one.
	QuotaSlackPercent float64 `cbor:"17,keyasint,omitempty" json:"quota_slack_percent,omitempty"`
	// QuotaWindow is the time that QuotaSlackPercent refers to.
	QuotaWindow time.Duration `cbor:"18,keyasint,omitempty" json:"quota_window,omitempty"`
	// RateOveragePercent is by how much the rate that a backend server advertises may
	// be exceeded, in percent of it, for requests that no other backend server can run
	// at once. With zero such requests are refused.
	RateOveragePercent uint32 `cbor:"12,keyasint,omitempty" json:"rate_overage_percent,omitempty"`
	// ColdOverage and ColdSlack bound the requests that a cold backend server gets in one
	// second: at most ColdOverage times its cold rate, and ColdSlack requests more. They
	// leave room for requests that were sent before the server was known to be cold. An
	// overage below 1 counts as 1.
	ColdOverage float64 `cbor:"13,keyasint,omitempty" json:"cold_overage,omitempty"`
	ColdSlack   uint32  `cbor:"14,keyasint,omitempty" json:"cold_slack,omitempty"`
	// AdmissionByRoom lets an ingress refuse a request at once when it knows that no backend
	// server would run it in time. Without it the request is sent to one server after another
	// until one accepts it.
	AdmissionByRoom bool `cbor:"15,keyasint,omitempty" json:"admission_by_room,omitempty"`
	// CallPrecedence gives a request that a run sends precedence over requests that have not
	// started, and keeps a request from starting while the calls that its run will need find no
	// room.
	CallPrecedence bool `cbor:"16,keyasint,omitempty" json:"call_precedence,omitempty"`
	// HedgeAfter is the delay after which an idempotent request is sent to a second
	// backend server. Zero disables hedging.
	HedgeAfter time.Duration `cbor:"3,keyasint" json:"hedge_after"`
	// QueueLength is the maximum number of waiting requests per backend server.
	QueueLength uint32 `cbor:"4,keyasint" json:"queue_length"`
	// EjectionEnabled allows the ejection of suspect backend servers.
	EjectionEnabled bool `cbor:"5,keyasint" json:"ejection_enabled"`
	// SlowStart is the time over which a new backend server ramps up to its full
	// share.
	SlowStart time.Duration `cbor:"6,keyasint" json:"slow_start"`
}

// ShardMap assigns shards to instances.
type ShardMap struct {
	// Epoch is incremented by each change of the map.
	Epoch uint64 `cbor:"1,keyasint" json:"epoch"`
	// Shards are the shards, indexed by shard number.
	Shards []ShardPlacement `cbor:"2,keyasint" json:"shards"`
}

// ShardPlacement is the replica set of one shard.
type ShardPlacement struct {
	// Replicas are the instances that vote in the shard.
	Replicas []InstanceAddress `cbor:"1,keyasint" json:"replicas"`
	// JoinEpochs holds, for each replica in the order of Replicas, the epoch in which
	// the replica was last added. An instance that missed epochs can tell from its
	// join epoch whether it was removed and added again meanwhile.
	JoinEpochs []uint64 `cbor:"2,keyasint,omitempty" json:"joined,omitempty"`
}
