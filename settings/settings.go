package settings

import (
	"log/slog"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Role is a task of an instance.
type Role string

const (
	// RoleProxy accepts requests from callers and forwards requests to the backend servers
	// on the same machine.
	RoleProxy Role = "proxy"
	// RoleControl stores the configuration on the instance's disk and replicates it.
	RoleControl Role = "control"
)

// Settings are the settings of one process.
type Settings struct {
	// Instance identifies the instance.
	Instance Instance
	// Fleet configures the port for other instances.
	Fleet Fleet
	// Callers configures the port for callers.
	Callers Callers
	// Local configures the port for backend servers, metrics and health checks.
	Local Local
	// Admin configures the administration API of a control instance.
	Admin Admin
	// Control configures the group of control instances.
	Control Control
	// Limits sets the durations of a stop and the interval of reports.
	Limits Limits
	// Log configures the log.
	Log Log
	// Adapter contains the keys of the section for the platform adapter (see package
	// platform) as text. The adapter validates them. It is nil if the file has no such
	// section.
	Adapter map[string]string
}

// Instance identifies an instance and its location.
type Instance struct {
	// ID is the name of the instance. Its certificate must contain the same name.
	ID fleetconfig.InstanceID
	// FailureDomain is the unit, such as a rack or a site, that fails as a whole and
	// that contains the instance.
	FailureDomain fleetconfig.FailureDomain
	// Region is the region of the failure domain.
	Region string
	// Roles are the tasks of the instance. Default proxy.
	Roles []Role
	// DataFolder contains the files of a control instance.
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

// Trust determines which processes are accepted as instances of the fleet.
type Trust string

const (
	// TrustCertificates accepts instances that present a certificate issued by the
	// fleet's authority.
	TrustCertificates Trust = "certificates"
	// TrustNetwork accepts every process that can reach the fleet port. It is for
	// networks to which nobody else can send.
	TrustNetwork Trust = "network"
)

// Fleet configures the port for other instances.
type Fleet struct {
	// Address is the IP address and UDP port at which other instances reach this one.
	Address string
	// Listen is the IP address and UDP port to listen on, if it differs from Address.
	Listen string
	// Join contains the fleet addresses of a few instances of the fleet. They may include
	// the address of this instance.
	Join []string
	// LinkMbps is the capacity of the instance's link in Mbit/s, rounded down but not below 1,
	// or 0 if it is not known.
	LinkMbps uint32
	// Trust determines which processes are accepted as instances.
	Trust Trust
	// Certificate is the file with the instance's certificate.
	Certificate string
	// Key is the file with the private key of Certificate.
	Key string
	// Authority is the file with the certificate of the fleet's certificate authority.
	Authority string
	// GossipKey is the file with the key that encrypts membership datagrams.
	GossipKey string
}

// Callers configures the port for callers.
type Callers struct {
	// Address is the IP address and TCP port at which callers reach the instance.
	Address string
	// Certificate is the file with the certificate for callers. Without it the port serves
	// plain HTTP.
	Certificate string
	// Key is the file with the private key.
	Key string
	// KeyHeader is a header that may carry the key of a client account, in addition to
	// Authorization. Empty means none.
	KeyHeader string
	// MaxHeaderBytes is the maximum size of a request header. Default 64 KiB.
	MaxHeaderBytes int
	// Service is the service that runs on the callers' machines. It is empty if the
	// callers' machines run different services.
	Service fleetconfig.ServiceName
}

// Local configures the port for processes on the same machine.
type Local struct {
	// Address is the IP address and TCP port.
	Address string
}

// Admin configures the administration API.
type Admin struct {
	// Address is the IP address and TCP port. Empty disables the API.
	Address string
	// Certificate is the file with the certificate of the API. If it is empty,
	// Fleet.Certificate is used.
	Certificate string
	// Key is the file with the private key.
	Key string
	// Operators is the file with the names, roles and token digests of the operators.
	Operators string
}

// Control configures the group of control instances.
type Control struct {
	// Members are the control instances with their fleet addresses. If it is empty, the
	// group forms itself.
	Members []ControlMember
	// ToleratedFailures is the number of control instances that may fail at the same
	// time.
	ToleratedFailures int
	// ElectionTimeout is the time without heartbeats from the leader after which
	// another leader is elected. Default 1.5 s.
	ElectionTimeout time.Duration
	// ShardLease is the time for which an unreachable owner keeps its lease on a shard.
	// Default 2 s.
	ShardLease time.Duration
	// RevocationBound is the maximum time until a withdrawn key is refused on every
	// instance. Default 5 s.
	RevocationBound time.Duration
	// Bootstrap allows this instance, if its disk is empty, to take part in creating
	// the group.
	Bootstrap bool
}

// InitialVoters returns the initial size of a group that forms itself.
func (c *Control) InitialVoters() int { return 2*c.ToleratedFailures + 1 }

// SelfForming reports whether the control group forms itself.
func (c *Control) SelfForming() bool { return len(c.Members) == 0 }

// ControlMember is one control instance.
type ControlMember struct {
	// ID is the instance.
	ID fleetconfig.InstanceID
	// Address is the fleet address of the instance.
	Address string
}

// stopReserveDivisor reserves one sixth of the stop timeout for the last steps of a
// stop, in which the instance hands over its state and the last replies are delivered.
const stopReserveDivisor = 6

// DrainTimeout returns the maximum time that a planned stop waits for requests in
// flight.
func (l *Limits) DrainTimeout() time.Duration {
	return l.StopTimeout - l.StopTimeout/stopReserveDivisor
}

// Limits sets the durations of a stop and the interval of reports.
type Limits struct {
	// StopTimeout is the maximum duration of a planned stop. Default 60 s.
	StopTimeout time.Duration
	// StopDelay is the time during which a stopping instance still accepts callers, so
	// that load balancers can learn that it is not ready. It is part of DrainTimeout.
	// Default 0.
	StopDelay time.Duration
	// ReportInterval is the interval at which summaries are sent to the control
	// instances. Default 1 minute.
	ReportInterval time.Duration
}

// Log configures the log.
type Log struct {
	// Level is the minimum level of messages that are written. Default info.
	Level slog.Level
}
