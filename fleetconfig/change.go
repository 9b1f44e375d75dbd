package fleetconfig

import "fmt"

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of change. Each comment names the field of Change that the kind uses.
const (
	// CreateAccount adds Account, which must not exist.
	CreateAccount ChangeKind = "create-account"
	// UpdateAccount replaces Account, which must exist.
	UpdateAccount ChangeKind = "update-account"
	// RemoveAccount removes the account with the ID in Name. The keys of the account
	// must have been withdrawn by an earlier command or by the same one.
	RemoveAccount ChangeKind = "remove-account"
	// GiveKey adds Key. A change contains only the hash of a key, never the key
	// itself.
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
	// RemoveService removes the service in Name. No route may refer to it.
	RemoveService ChangeKind = "remove-service"
	// CreatePreset adds Preset, which must not exist.
	CreatePreset ChangeKind = "create-preset"
	// UpdatePreset replaces Preset, which must exist.
	UpdatePreset ChangeKind = "update-preset"
	// RemovePreset removes the preset in Name, which must not be the active one.
	RemovePreset ChangeKind = "remove-preset"
	// UsePreset makes the preset in Name the active one.
	UsePreset ChangeKind = "use-preset"
	// PlaceShards sets the first shard map from Shards. It is refused if there is a
	// shard map already.
	PlaceShards ChangeKind = "place-shards"
	// OpenShards increments the epoch of the first shard map and leaves the placements
	// unchanged. In the initial epoch the replicas of package idempotency grant no
	// votes, so a replica that starts in that epoch cannot have lost a vote. From the
	// next epoch on the replicas vote.
	OpenShards ChangeKind = "open-shards"
	// StepShard changes the replicas of one shard as described by Step.
	StepShard ChangeKind = "step-shard"
	// SetHolders replaces the holders with Holders; see Document.Holders.
	SetHolders ChangeKind = "set-holders"
	// ReplaceAll replaces everything that operators configure with Replacement, except
	// the evacuations. It must be the only change of its command.
	ReplaceAll ChangeKind = "replace-all"
	// EvacuateDomain takes the failure domain in Name out of service. It changes nothing
	// if the domain is evacuated already.
	EvacuateDomain ChangeKind = "evacuate-domain"
	// EndEvacuation takes the failure domain in Name back into service. It changes
	// nothing if the domain is not evacuated.
	EndEvacuation ChangeKind = "end-evacuation"
)

// Change is one change of the document.
type Change struct {
	// Kind determines what the change does and which field it uses.
	Kind ChangeKind `cbor:"1,keyasint" json:"kind"`
	// Name is the ID or name of the item to remove, of the preset to use, or of the
	// failure domain.
	Name string `cbor:"2,keyasint,omitempty" json:"name,omitempty"`
	// Account is used by CreateAccount and UpdateAccount.
	Account *Account `cbor:"3,keyasint,omitempty" json:"account,omitempty"`
	// Key is used by GiveKey.
	Key *Key `cbor:"4,keyasint,omitempty" json:"key,omitempty"`
	// Route is used by CreateRoute and UpdateRoute.
	Route *Route `cbor:"5,keyasint,omitempty" json:"route,omitempty"`
	// Service is used by CreateService and UpdateService.
	Service *Service `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	// Preset is used by CreatePreset and UpdatePreset.
	Preset *Preset `cbor:"7,keyasint,omitempty" json:"preset,omitempty"`
	// Shards is used by PlaceShards.
	Shards []ShardPlacement `cbor:"8,keyasint,omitempty" json:"shards,omitempty"`
	// Step is used by StepShard.
	Step *ShardStep `cbor:"9,keyasint,omitempty" json:"step,omitempty"`
	// Holders is used by SetHolders.
	Holders []InstanceAddress `cbor:"10,keyasint,omitempty" json:"holders,omitempty"`
	// Replacement is used by ReplaceAll.
	Replacement *Replacement `cbor:"11,keyasint,omitempty" json:"replacement,omitempty"`
}

// Replacement is a complete configuration from operators who number their versions
// themselves. Shards and holders are assigned by the fleet and stay unchanged, and so do
// evacuations, which operators start and end by changes of their own.
type Replacement struct {
	// OperatorVersion is the version number that the operators assigned. It must be
	// greater than Document.OperatorVersion.
	OperatorVersion uint64 `cbor:"1,keyasint" json:"declared"`
	// BaseOperatorVersion is the operators' version number that the replacement is
	// based on. It is checked instead of Command.BaseVersion, because the fleet
	// itself increments the document version whenever it moves shards or holders.
	BaseOperatorVersion uint64 `cbor:"2,keyasint" json:"base_declared"`
	// Accounts, Keys, Routes and Services are the complete tables, in any order.
	Accounts []Account `cbor:"3,keyasint,omitempty" json:"accounts"`
	Keys     []Key     `cbor:"4,keyasint,omitempty" json:"keys"`
	Routes   []Route   `cbor:"5,keyasint,omitempty" json:"routes"`
	Services []Service `cbor:"6,keyasint,omitempty" json:"services"`
	// Preset is created or updated and becomes the active preset.
	Preset Preset `cbor:"7,keyasint" json:"preset"`
	// CallerLimits replaces the current limits.
	CallerLimits CallerLimits `cbor:"8,keyasint" json:"caller_limits"`
	// Source is the text that the operator sent. It is stored so that it can be read
	// back unchanged.
	Source []byte `cbor:"9,keyasint,omitempty" json:"-"`
}

// ShardStep changes the replicas of one shard. A step adds one replica, removes one,
// or changes the address of one. Replacing a replica in a single step is not allowed:
// a majority of the old replicas and a majority of the new ones could then have no
// replica in common.
type ShardStep struct {
	// Shard is the index of the shard.
	Shard uint32 `cbor:"1,keyasint" json:"shard"`
	// Epoch is the epoch of the map after the step, one above the current epoch.
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	// Replicas are the replicas of the shard after the step.
	Replicas []InstanceAddress `cbor:"3,keyasint" json:"replicas"`
}

// Subject returns a readable description of the item that the change affects. It is
// empty if the change names no item.
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

// Summary returns a one-line description of the change for the history.
func (c *Change) Summary() string {
	subject := c.Subject()
	if subject == "" {
		return string(c.Kind)
	}
	return string(c.Kind) + " " + subject
}
