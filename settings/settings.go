package settings

import (
	"log/slog"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Role is a task that an instance takes on.
type Role string

const (
	// RoleProxy serves callers and the backend servers beside the instance.
	RoleProxy Role = "proxy"
	// RoleControl keeps the configuration on the instance's disk.
	RoleControl Role = "control"
)

// Settings are the settings of one process.
type Settings struct {
	// Instance says who and where the instance is.
	Instance Instance
	// Fleet is the port to other instances.
	Fleet Fleet
	// Callers is the port to callers.
	Callers Callers
	// Local is the port for backend servers, metrics and health checks.
	Local Local
	// Admin is the administration API of a control instance.
	Admin Admin
	// Control is the group of control instances.
	Control Control
	// Limits bound time and size.
	Limits Limits
	// Log sets the log.
	Log Log
	// Adapter are the keys of the section of a platform's adapter, as text. The
	// adapter checks them. It is nil when the file has no such section.
	Adapter map[string]string
}

// Instance says who and where an instance is.
type Instance struct {
	// ID is the instance's name; its certificate carries the same one.
	ID fleetconfig.InstanceID
	// FailureDomain is what fails together with the instance.
	FailureDomain fleetconfig.FailureDomain
	// Region is the region of the failure domain.
	Region string
	// Roles are what the instance does. Default proxy.
	Roles []Role
	// DataFolder holds the files of a control instance.
	DataFolder string
}

// HasRole reports whether the instance has the role.
func (i *Instance) HasRole(role Role) bool {
	for _, own := range i.Roles {
		if own == role {
			return true
		}
	}
	return false
}

// Trust says how instances know each other.
type Trust string

const (
	// TrustCertificates lets only instances in that show a certificate of the
	// fleet's authority.
	TrustCertificates Trust = "certificates"
	// TrustNetwork lets every process in that reaches the fleet port. It is for
	// networks that nobody else can send to.
	TrustNetwork Trust = "network"
)

// Fleet is the port to other instances.
type Fleet struct {
	// Address is the IP number and UDP port that other instances reach.
	Address string
	// Listen is the IP number and UDP port to listen on, when it is not Address.
	Listen string
	// Join are fleet addresses of a few other instances.
	Join []string
	// Trust says how instances know each other.
	Trust Trust
	// Certificate is the file with the instance's certificate.
	Certificate string
	// Key is the file with its private key.
	Key string
	// Authority is the file with the certificate of the fleet's authority.
	Authority string
	// GossipKey is the file with the key that seals membership datagrams.
	GossipKey string
}

// Callers is the port to callers.
type Callers struct {
	// Address is the IP number and TCP port that callers reach.
	Address string
	// Certificate and Key are files that turn TLS on. Default none: plain HTTP.
	Certificate string
	// Key is the private key's file.
	Key string
	// KeyHeader is a header besides Authorization that may carry a key.
	KeyHeader string
	// MaxHeaderBytes bounds the header of a request. Default 64 KiB.
	MaxHeaderBytes int
	// Service is the service that runs on the machines of the callers, empty when
	// they have none in common.
	Service fleetconfig.ServiceName
}

// Local is the port for what runs on the same machine.
type Local struct {
	// Address is the IP number and TCP port.
	Address string
}

// Admin is the administration API.
type Admin struct {
	// Address is the IP number and TCP port; empty turns the API off.
	Address string
	// Certificate is the API's certificate file; the fleet's one by default.
	Certificate string
	// Key is the private key's file.
	Key string
	// Operators is the file with the operators' names, roles and token digests.
	Operators string
}

// Control is the group of control instances.
type Control struct {
	// Members are the control instances with their fleet addresses. Without them
	// the group forms itself.
	Members []ControlMember
	// ToleratedFailures is how many control instances may be lost at once.
	ToleratedFailures int
	// ElectionTimeout is how long a silent leader keeps its role. Default 1.5 s.
	ElectionTimeout time.Duration
	// ShardLease is how long the owner of a shard keeps it in silence. Default 2 s.
	ShardLease time.Duration
	// RevocationBound is how soon a withdrawn key stops everywhere. Default 5 s.
	RevocationBound time.Duration
	// Bootstrap lets this instance take part in founding the group, with a blank disk.
	Bootstrap bool
}

// InitialVoters returns how many instances a group that forms itself starts with.
func (c *Control) InitialVoters() int { return 2*c.ToleratedFailures + 1 }

// SelfForming reports whether the control group forms itself.
func (c *Control) SelfForming() bool { return len(c.Members) == 0 }

// ControlMember is one control instance.
type ControlMember struct {
	// ID is the instance.
	ID fleetconfig.InstanceID
	// Address is its fleet address.
	Address string
}

// stopReservePart is the part of a planned stop that is kept for its last steps: what
// the instance holds for the fleet is handed over, and the last answers arrive.
const stopReservePart = 6

// DrainTimeout returns how long a planned stop waits for requests in flight.
func (l *Limits) DrainTimeout() time.Duration {
	return l.StopTimeout - l.StopTimeout/stopReservePart
}

// Limits bound time and size.
type Limits struct {
	// StopTimeout is how long a planned stop takes at most. Default 60 s.
	StopTimeout time.Duration
	// StopDelay is how long a planned stop still takes callers, so that whoever sends
	// them hears that the instance is not ready. It counts towards DrainTimeout. Default 0.
	StopDelay time.Duration
	// ReportInterval is how often a summary goes to the control instances. Default
	// 1 minute.
	ReportInterval time.Duration
}

// Log sets the log.
type Log struct {
	// Level is the least level that is written. Default info.
	Level slog.Level
}
