package settings

import ()

// Sections of the settings file.
const (
	sectionInstance = "instance"
	sectionFleet    = "fleet"
	sectionCallers  = "callers"
	sectionLocal    = "local"
	sectionAdmin    = "admin"
	sectionControl  = "control"
	sectionLimits   = "limits"
	sectionLog      = "log"
	sectionAdapter  = "platform"
)

// field describes one key of the settings file. It is the only place that defines how
// the key is parsed, validated, defaulted and documented.
type field struct {
	section string
	key     string
	// defaultValue is the default as text. A required field has an example instead. An
	// optional field with an example is written to the default file with the example.
	defaultValue string
	example      string
	required     bool
	help         string
	set          func(settings *Settings, text string) error
}

// fields lists every key in the order of the default file.
var fields = []field{
	{
		section: sectionInstance, key: "id", required: true, example: "trnava-a-1",
		help: "Name of the instance. Its certificate must carry the same name.",
		set:  func(s *Settings, text string) error { return setName(&s.Instance.ID, text) },
	},
	{
		section: sectionInstance, key: "failure_domain", required: true, example: "trnava-a",
		help: "Unit that fails as a whole and that contains this instance: a rack, a room, a site.",
		set:  func(s *Settings, text string) error { return setName(&s.Instance.FailureDomain, text) },
	},
	{
		section: sectionInstance, key: "region", defaultValue: "",
		help: "Region of the failure domain. Leave empty if there is only one region.",
		set:  func(s *Settings, text string) error { s.Instance.Region = text; return nil },
	},
	{
		section: sectionInstance, key: "roles", defaultValue: "proxy",
		help: "Roles of the instance: proxy, control, or both, separated by commas.",
		set:  func(s *Settings, text string) error { return setRoles(&s.Instance.Roles, text) },
	},
	{
		section: sectionInstance, key: "data_folder", defaultValue: "",
		help: "Folder for the files of a control instance. Required with the role control.",
		set:  func(s *Settings, text string) error { s.Instance.DataFolder = text; return nil },
	},
	{
		section: sectionFleet, key: "address", required: true, example: "127.0.0.1:7400",
		help: "IP address and UDP port at which other instances reach this one.",
		set:  func(s *Settings, text string) error { return setAddress(&s.Fleet.Address, text) },
	},
	{
		section: sectionFleet, key: "listen", defaultValue: "",
		help: "IP address and UDP port to listen on, if packets to the address above are forwarded there. If empty, the instance listens on the address above.",
		set:  func(s *Settings, text string) error { return setOptionalAddress(&s.Fleet.Listen, text) },
	},
	{
		section: sectionFleet, key: "join", defaultValue: "",
		help: "Fleet addresses of a few other instances, separated by commas.",
		set:  func(s *Settings, text string) error { return setAddresses(&s.Fleet.Join, text) },
	},
	{
		section: sectionFleet, key: "join_port", defaultValue: "0",
		help: "UDP port that replaces the ports given in join. 0 leaves them unchanged.",
		set:  func(s *Settings, text string) error { return setJoinPort(&s.Fleet.Join, text) },
	},
	{
		section: sectionFleet, key: "link_mbps", defaultValue: "0",
		help: "Capacity of the instance's network link in Mbit/s. Control instances with a larger link send the configuration to more instances themselves. 0 means unknown.",
		set:  func(s *Settings, text string) error { return setLinkMbps(&s.Fleet.LinkMbps, text) },
	},
	{
		section: sectionFleet, key: "trust", defaultValue: string(TrustCertificates),
		help: "certificates admits instances by their certificate; network admits every process that can reach the fleet port and is only for networks to which nobody else can send.",
		set:  func(s *Settings, text string) error { return setTrust(&s.Fleet.Trust, text) },
	},
	{
		section: sectionFleet, key: "certificate", defaultValue: "", example: "tls/trnava-a-1.crt",
		help: "Certificate of the instance, created by 'hemlockctl ca issue'. Required with trust = certificates.",
		set:  func(s *Settings, text string) error { s.Fleet.Certificate = text; return nil },
	},
	{
		section: sectionFleet, key: "key", defaultValue: "", example: "tls/trnava-a-1.key",
		help: "Private key of the certificate.",
		set:  func(s *Settings, text string) error { s.Fleet.Key = text; return nil },
	},
	{
		section: sectionFleet, key: "authority", defaultValue: "", example: "tls/ca.crt",
		help: "Certificate of the fleet's certificate authority, created by 'hemlockctl ca init'.",
		set:  func(s *Settings, text string) error { s.Fleet.Authority = text; return nil },
	},
	{
		section: sectionFleet, key: "gossip_key", defaultValue: "", example: "tls/gossip.key",
		help: "Key that encrypts membership datagrams, created by 'hemlockctl ca init'.",
		set:  func(s *Settings, text string) error { s.Fleet.GossipKey = text; return nil },
	},
	{
		section: sectionCallers, key: "address", defaultValue: "",
		help: "IP address and TCP port at which callers reach the instance. Required with the role proxy.",
		set:  func(s *Settings, text string) error { return setOptionalAddress(&s.Callers.Address, text) },
	},
	{
		section: sectionCallers, key: "certificate", defaultValue: "",
		help: "Certificate for callers. If empty, the instance serves plain HTTP.",
		set:  func(s *Settings, text string) error { s.Callers.Certificate = text; return nil },
	},
	{
		section: sectionCallers, key: "key", defaultValue: "",
		help: "Private key of the certificate for callers.",
		set:  func(s *Settings, text string) error { s.Callers.Key = text; return nil },
	},
	{
		section: sectionCallers, key: "key_header", defaultValue: "X-Api-Key",
		help: "Header that may carry a client account's key, in addition to 'Authorization: Bearer'. Empty means none.",
		set:  func(s *Settings, text string) error { return setHeaderName(&s.Callers.KeyHeader, text) },
	},
	{
		section: sectionCallers, key: "max_header_bytes", defaultValue: "65536",
		help: "Maximum size of a request header in bytes, from 4096 to 1048576.",
		set:  func(s *Settings, text string) error { return setInt(&s.Callers.MaxHeaderBytes, text, 4096, 1<<20) },
	},
	{
		section: sectionCallers, key: "service", defaultValue: "",
		help: "Service that runs on the callers' machines. It is reported to backend servers as the origin of requests.",
		set:  func(s *Settings, text string) error { return setOptionalName(&s.Callers.Service, text) },
	},
	{
		section: sectionLocal, key: "address", required: true, example: "127.0.0.1:7401",
		help: "IP address and TCP port for announcements of backend servers, /metrics, /healthz and /readyz.",
		set:  func(s *Settings, text string) error { return setAddress(&s.Local.Address, text) },
	},
	{
		section: sectionAdmin, key: "address", defaultValue: "",
		help: "IP address and TCP port of the administration API. Only allowed with the role control.",
		set:  func(s *Settings, text string) error { return setOptionalAddress(&s.Admin.Address, text) },
	},
	{
		section: sectionAdmin, key: "certificate", defaultValue: "",
		help: "Certificate of the administration API. If empty, the fleet certificate is used.",
		set:  func(s *Settings, text string) error { s.Admin.Certificate = text; return nil },
	},
	{
		section: sectionAdmin, key: "key", defaultValue: "",
		help: "Private key of the administration API's certificate.",
		set:  func(s *Settings, text string) error { s.Admin.Key = text; return nil },
	},
	{
		section: sectionAdmin, key: "operators", defaultValue: "",
		help: "File with the names, roles and token digests of the operators. Required if address is set.",
		set:  func(s *Settings, text string) error { s.Admin.Operators = text; return nil },
	},
	{
		section: sectionControl, key: "members", defaultValue: "",
		example: "trnava-a-1=127.0.0.1:7400, trnava-b-1=127.0.0.2:7400, trnava-c-1=127.0.0.3:7400",
		help:    "The 1, 3, 5 or 7 control instances with their fleet addresses; must be the same on every instance. If empty, the group forms itself from the instances with the role control.",
		set:     func(s *Settings, text string) error { return setMembers(&s.Control.Members, text) },
	},
	{
		section: sectionControl, key: "losses", defaultValue: "1",
		help: "Number of control instances that may fail at the same time, from 0 to 3. A group that forms itself starts with 2 * losses + 1 instances.",
		set: func(s *Settings, text string) error {
			return setInt(&s.Control.ToleratedFailures, text, 0, maxToleratedFailures)
		},
	},
	{
		section: sectionControl, key: "election_timeout", defaultValue: "1.5s",
		help: "Time without heartbeats from the leader of the control group after which another one is elected, from 300ms to 1m. Must be the same on every control instance.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Control.ElectionTimeout, text, minElectionTimeout, maxElectionTimeout)
		},
	},
	{
		section: sectionControl, key: "shard_lease", defaultValue: "2s",
		help: "Time for which an unreachable owner keeps its lease on a shard, from 500ms to 1m. Must be the same on every instance.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Control.ShardLease, text, minShardLease, maxShardLease)
		},
	},
	{
		section: sectionControl, key: "withdrawal", defaultValue: "5s",
		help: "Maximum time until a withdrawn key is refused on every instance, from 1s to 1h. Must be the same on every instance. An instance whose configuration is not attested to be current refuses requests with keys after four fifths of this time.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Control.RevocationBound, text, minRevocationBound, maxRevocationBound)
		},
	},
	{
		section: sectionControl, key: "found", defaultValue: "false",
		help: "Set to true only while the whole fleet starts for the first time: instances with empty disks then create the group.",
		set:  func(s *Settings, text string) error { return setBool(&s.Control.Bootstrap, text) },
	},
	{
		section: sectionLimits, key: "stop_timeout", defaultValue: "60s",
		help: "Maximum duration of a planned stop, from 1s to 1h. Set it to the time after which the service manager kills the process. Requests in flight may use five sixths of it.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Limits.StopTimeout, text, minStopTimeout, maxStopTimeout)
		},
	},
	{
		section: sectionLimits, key: "stop_linger", defaultValue: "0s",
		help: "Time during which a stopping instance still accepts callers while it reports that it is not ready, from 0s to 1h. It counts towards the time for requests in flight.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Limits.StopDelay, text, 0, maxStopTimeout)
		},
	},
	{
		section: sectionLimits, key: "report_interval", defaultValue: "1m",
		help: "Interval at which summaries for the weekly report are sent to the control instances, from 1s to 1h.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Limits.ReportInterval, text, minReportInterval, maxReportInterval)
		},
	},
	{
		section: sectionLog, key: "level", defaultValue: "info",
		help: "Minimum level of log messages: debug, info, warn or error.",
		set:  func(s *Settings, text string) error { return setLevel(&s.Log.Level, text) },
	},
}

// nameType is a string type whose values are names, for example of instances.
type nameType interface {
	~string
}

func setName[T nameType](target *T, text string) error {
	if err := checkName(text); err != nil {
		return err
	}
	*target = T(text)
	return nil
}

func setOptionalName[T nameType](target *T, text string) error {
	if text == "" {
		return nil
	}
	return setName(target, text)
}
