package fleetconfig

import "fmt"

// ChangeKind says what a Change does.
type ChangeKind string

// The kinds of change. Each names the field of Change that it reads.
const (
	// CreateAccount adds Account, which must not exist.
	CreateAccount ChangeKind = "create-account"
	// UpdateAccount replaces Account, which must exist.
	UpdateAccount ChangeKind = "update-account"
	// RemoveAccount removes the account with the ID in Name. Its keys must be
	// withdrawn before or by the same command.
	RemoveAccount ChangeKind = "remove-account"
	// GiveKey adds Key. Only the hash of a key is ever in a change.
	GiveKey ChangeKind = "give-key"
	// WithdrawKey removes the key with the KeyID in Name.
	WithdrawKey ChangeKind = "withdraw-key"
	// CreateRoute adds Route, which must not exist.
	CreateRoute ChangeKind = "create-route"
	// UpdateRoute replaces Route, which must exist.
	UpdateRoute ChangeKind = "update-route"
	// RemoveRoute removes the route with the ID in Name.
	RemoveRoute ChangeKind = "remove-route"
	// CreateService adds Service, which must not exist.
	CreateService ChangeKind = "create-service"
	// UpdateService replaces Service, which must exist.
	UpdateService ChangeKind = "update-service"
	// RemoveService removes the service in Name. No route may lead to it.
	RemoveService ChangeKind = "remove-service"
	// CreatePreset adds Preset, which must not exist.
	CreatePreset ChangeKind = "create-preset"
	// UpdatePreset replaces Preset, which must exist.
	UpdatePreset ChangeKind = "update-preset"
	// RemovePreset removes the preset in Name, which must not be in force.
	RemovePreset ChangeKind = "remove-preset"
	// UsePreset puts the preset in Name in force, and thereby takes the former
	// one out of force.
	UsePreset ChangeKind = "use-preset"
	// PlaceShards sets the first shard map from Shards. It is refused once there
	// is one.
	PlaceShards ChangeKind = "place-shards"
	// OpenShards raises the epoch of the first shard map without changing it. In the
	// founding epoch the replicas only make sure that nothing has been lost; from
	// the next one on they vote.
	OpenShards ChangeKind = "open-shards"
	// StepShard changes one shard of the map as Step says.
	StepShard ChangeKind = "step-shard"
	// SetHolders replaces the holders with Holders.
	SetHolders ChangeKind = "set-holders"
	// ReplaceAll replaces all that operators configure with Replacement. It must be
	// the only change of its command.
	ReplaceAll ChangeKind = "replace-all"
)

// Change is one typed change of the document.
type Change struct {
	// Kind says what the change does and which field it reads.
	Kind ChangeKind `cbor:"1,keyasint" json:"kind"`
	// Name is the ID or name of what is removed or put in force.
	Name string `cbor:"2,keyasint,omitempty" json:"name,omitempty"`
	// Account is read by CreateAccount and UpdateAccount.
	Account *Account `cbor:"3,keyasint,omitempty" json:"account,omitempty"`
	// Key is read by GiveKey.
	Key *Key `cbor:"4,keyasint,omitempty" json:"key,omitempty"`
	// Route is read by CreateRoute and UpdateRoute.
	Route *Route `cbor:"5,keyasint,omitempty" json:"route,omitempty"`
	// Service is read by CreateService and UpdateService.
	Service *Service `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	// Preset is read by CreatePreset and UpdatePreset.
	Preset *Preset `cbor:"7,keyasint,omitempty" json:"preset,omitempty"`
	// Shards is read by PlaceShards.
	Shards []ShardPlacement `cbor:"8,keyasint,omitempty" json:"shards,omitempty"`
	// Step is read by StepShard.
	Step *ShardStep `cbor:"9,keyasint,omitempty" json:"step,omitempty"`
	// Holders is read by SetHolders.
	Holders []InstanceAddress `cbor:"10,keyasint,omitempty" json:"holders,omitempty"`
	// Replacement is read by ReplaceAll.
	Replacement *Replacement `cbor:"11,keyasint,omitempty" json:"replacement,omitempty"`
}

// Replacement is a whole configuration by operators who number their versions
// themselves. Shards and holders, which the fleet places, stay as they are.
type Replacement struct {
	// OperatorVersion is the operators' number of this version. It must be above the number
	// in force.
	OperatorVersion uint64 `cbor:"1,keyasint" json:"declared"`
	// BaseOperatorVersion is the number in force that the replacement was made from. It
	// stands in place of Command.BaseVersion, which moves with every placement.
	BaseOperatorVersion uint64 `cbor:"2,keyasint" json:"base_declared"`
	// Accounts, Keys, Routes and Services are the whole tables, in any order.
	Accounts []Account `cbor:"3,keyasint,omitempty" json:"accounts"`
	Keys     []Key     `cbor:"4,keyasint,omitempty" json:"keys"`
	Routes   []Route   `cbor:"5,keyasint,omitempty" json:"routes"`
	Services []Service `cbor:"6,keyasint,omitempty" json:"services"`
	// Preset is created or updated and put in force.
	Preset Preset `cbor:"7,keyasint" json:"preset"`
	// CallerLimits replace those in force.
	CallerLimits CallerLimits `cbor:"8,keyasint" json:"caller_limits"`
	// Source is the text that the operator sent, kept to be read back as it was.
	Source []byte `cbor:"9,keyasint,omitempty" json:"-"`
}

// ShardStep changes the replicas of one shard. One step adds one replica,
// removes one, or gives one another address: a replacement in a single step
// would let two majorities miss each other.
type ShardStep struct {
	// Shard is the number of the shard.
	Shard uint32 `cbor:"1,keyasint" json:"shard"`
	// Epoch is the epoch that the map gets. It is one above the present one.
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	// Replicas are the replicas of the shard after the step.
	Replicas []InstanceAddress `cbor:"3,keyasint" json:"replicas"`
}

// Subject returns what the change is about, for people.
func (c *Change) Subject() string {
	switch {
	case c.Replacement != nil:
		return fmt.Sprintf("configuration %d", c.Replacement.OperatorVersion)
	case c.Account != nil:
		return "account " + string(c.Account.ID)
	case c.Key != nil:
		return "key " + string(c.Key.Hash.ID())
	case c.Route != nil:
		return "route " + c.Route.ID
	case c.Service != nil:
		return "service " + string(c.Service.Name)
	case c.Preset != nil:
		return "preset " + c.Preset.Name
	case c.Step != nil:
		return fmt.Sprintf("shard %d", c.Step.Shard)
	}
	return c.Name
}

// Summary returns the change in one line, for the history.
func (c *Change) Summary() string {
	subject := c.Subject()
	if subject == "" {
		return string(c.Kind)
	}
	return string(c.Kind) + " " + subject
}
