package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Role is what an operator may do. Each role includes the permissions of the lower
// ones.
type Role uint8

const (
	// RoleViewer may read.
	RoleViewer Role = iota + 1
	// RoleOperator may also change accounts, keys, routes, services and presets, and
	// evacuate failure domains.
	RoleOperator
	// RoleAdministrator may also change holders and shards, which are described at
	// fleetconfig.Document, and replace the whole configuration.
	RoleAdministrator
)

// rolesByName maps the names that are used in the operators' file to roles.
var rolesByName = map[string]Role{
	"viewer":        RoleViewer,
	"operator":      RoleOperator,
	"administrator": RoleAdministrator,
}

// ParseRole returns the role with the given name.
func ParseRole(name string) (Role, error) {
	role, found := rolesByName[name]
	if !found {
		return 0, errors.Newf("%q is not a role; use viewer, operator or administrator", name)
	}
	return role, nil
}

// String returns the name of the role.
func (r Role) String() string {
	for name, role := range rolesByName {
		if role == r {
			return name
		}
	}
	return "none"
}

// Operator is a user of the API.
type Operator struct {
	// Name identifies the operator in the history.
	Name string
	// Role is what the operator may do.
	Role Role
	// TokenHash is the SHA-256 digest of the operator's token.
	TokenHash [sha256.Size]byte
}

// HashToken returns the SHA-256 digest of a token.
func HashToken(token string) [sha256.Size]byte { return sha256.Sum256([]byte(token)) }

// authenticate returns the operator whose bearer token the request has, or nil. It
// compares the token with those of all operators, so that the time taken does not
// reveal a match.
func authenticate(operators []Operator, r *http.Request) *Operator {
	token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !isBearer || token == "" {
		return nil
	}
	hash := HashToken(token)
	var found *Operator
	for i := range operators {
		if subtle.ConstantTimeCompare(hash[:], operators[i].TokenHash[:]) == 1 {
			found = &operators[i]
		}
	}
	return found
}

// requiredRole returns the role that is required for a list of changes. A kind that
// is not listed here requires an administrator.
func requiredRole(changes []fleetconfig.Change) Role {
	for i := range changes {
		switch changes[i].Kind {
		case fleetconfig.CreateAccount, fleetconfig.UpdateAccount, fleetconfig.RemoveAccount,
			fleetconfig.GiveKey, fleetconfig.WithdrawKey,
			fleetconfig.CreateRoute, fleetconfig.UpdateRoute, fleetconfig.RemoveRoute,
			fleetconfig.CreateService, fleetconfig.UpdateService, fleetconfig.RemoveService,
			fleetconfig.CreatePreset, fleetconfig.UpdatePreset, fleetconfig.RemovePreset, fleetconfig.UsePreset,
			fleetconfig.EvacuateDomain, fleetconfig.EndEvacuation:
		default:
			return RoleAdministrator
		}
	}
	return RoleOperator
}
