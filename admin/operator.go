package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Role says what an operator may do. Each role may do all that the ones below it
// may.
type Role uint8

const (
	// RoleViewer may read.
	RoleViewer Role = iota + 1
	// RoleOperator may change accounts, keys, routes, services and presets.
	RoleOperator
	// RoleAdministrator may change holders and shards.
	RoleAdministrator
)

// roleNames are the names of the roles in the settings.
var roleNames = map[string]Role{
	"viewer":        RoleViewer,
	"operator":      RoleOperator,
	"administrator": RoleAdministrator,
}

// ParseRole returns the role with a name.
func ParseRole(name string) (Role, error) {
	role, found := roleNames[name]
	if !found {
		return 0, errors.Newf("%q is not a role; use viewer, operator or administrator", name)
	}
	return role, nil
}

// String returns the name of the role.
func (r Role) String() string {
	for name, role := range roleNames {
		if role == r {
			return name
		}
	}
	return "none"
}

// Operator is who may use the API.
type Operator struct {
	// Name stands in the history.
	Name string
	// Role says what the operator may do.
	Role Role
	// TokenHash is the SHA-256 digest of the operator's token.
	TokenHash [sha256.Size]byte
}

// HashToken returns the digest of a token.
func HashToken(token string) [sha256.Size]byte { return sha256.Sum256([]byte(token)) }

// authenticate returns the operator whose token the request shows, or nil. It
// compares with every operator's, so that the time tells nothing.
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

// roleFor returns the role that a list of changes needs. A kind that is not named
// here needs an administrator.
func roleFor(changes []fleetconfig.Change) Role {
	for i := range changes {
		switch changes[i].Kind {
		case fleetconfig.CreateAccount, fleetconfig.UpdateAccount, fleetconfig.RemoveAccount,
			fleetconfig.GiveKey, fleetconfig.WithdrawKey,
			fleetconfig.CreateRoute, fleetconfig.UpdateRoute, fleetconfig.RemoveRoute,
			fleetconfig.CreateService, fleetconfig.UpdateService, fleetconfig.RemoveService,
			fleetconfig.CreatePreset, fleetconfig.UpdatePreset, fleetconfig.RemovePreset, fleetconfig.UsePreset:
		default:
			return RoleAdministrator
		}
	}
	return RoleOperator
}
