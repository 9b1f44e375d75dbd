package settings

import (
	"github.com/hemlockring/hemlockring/fleetconfig"
)

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

// field describes one key of the settings file: it is read, checked, given its
// default and documented from this one place.
type field struct {
	section string
	key     string
	// standard is the default as text; required fields have an example instead.
	standard string
	example  string
	required bool
	help     string
	set      func(settings *Settings, text string) error
}

// fields lists every key in the order of the printed default file.
var fields = []field{
	{
		section: sectionInstance, key: "id", required: true, example: "trnava-a-1",
		help: "Name of the instance. Its certificate must carry the same name.",
		set:  func(s *Settings, text string) error { return setName(&s.Instance.ID, text) },
	},
	{
		section: sectionInstance, key: "failure_domain", required: true, example: "trnava-a",
		help: "What fails together with this instance: a rack, a room, a site.",
		set:  func(s *Settings, text string) error { return setName(&s.Instance.FailureDomain, text) },
	},
	{
		section: sectionInstance, key: "region", standard: "",
		help: "Region of the failure domain. Empty when there is only one.",
		set:  func(s *Settings, text string) error { s.Instance.Region = text; return nil },
	},
	{
		section: sectionInstance, key: "roles", standard: "proxy",
		help: "What the instance does: proxy, control, or both, divided by commas.",
		set:  func(s *Settings, text string) error { return setRoles(&s.Instance.Roles, text) },
	},
	{
		section: sectionInstance, key: "data_folder", standard: "",
		help: "Folder for the files of a control instance. Needed with the role control.",
		set:  func(s *Settings, text string) error { s.Instance.DataFolder = text; return nil },
	},
	{
		section: sectionFleet, key: "address", required: true, example: "127.0.0.1:7400",
		help: "IP number and UDP port that other instances reach.",
		set:  func(s *Settings, text string) error { return setAddress(&s.Fleet.Address, text) },
	},
	{
		section: sectionFleet, key: "listen", standard: "",
		help: "IP number and UDP port to listen on, when packets to the address above are passed on to it. Empty listens on the address.",
		set:  func(s *Settings, text string) error { return setOptionalAddress(&s.Fleet.Listen, text) },
	},
	{
		section: sectionFleet, key: "join", standard: "",
		help: "Fleet addresses of a few other instances, divided by commas.",
		set:  func(s *Settings, text string) error { return setAddresses(&s.Fleet.Join, text) },
	},
	{
		section: sectionFleet, key: "join_port", standard: "0",
		help: "UDP port that replaces the ports of join, when these name another one. 0 keeps them.",
		set:  func(s *Settings, text string) error { return setJoinPort(&s.Fleet.Join, text) },
	},
	{
		section: sectionFleet, key: "trust", standard: string(TrustCertificates),
		help: "certificates admits instances by certificate; network admits whoever reaches the fleet port, for networks that nobody else can send to.",
		set:  func(s *Settings, text string) error { return setTrust(&s.Fleet.Trust, text) },
	},
	{
		section: sectionFleet, key: "certificate", standard: "", example: "tls/trnava-a-1.crt",
		help: "Certificate of the instance, made by 'hemlockctl ca issue'. Needed with the trust certificates.",
		set:  func(s *Settings, text string) error { s.Fleet.Certificate = text; return nil },
	},
	{
		section: sectionFleet, key: "key", standard: "", example: "tls/trnava-a-1.key",
		help: "Private key of the certificate.",
		set:  func(s *Settings, text string) error { s.Fleet.Key = text; return nil },
	},
	{
		section: sectionFleet, key: "authority", standard: "", example: "tls/ca.crt",
		help: "Certificate of the fleet's authority, made by 'hemlockctl ca init'.",
		set:  func(s *Settings, text string) error { s.Fleet.Authority = text; return nil },
	},
	{
		section: sectionFleet, key: "gossip_key", standard: "", example: "tls/gossip.key",
		help: "Key that seals membership datagrams, made by 'hemlockctl ca init'.",
		set:  func(s *Settings, text string) error { s.Fleet.GossipKey = text; return nil },
	},
	{
		section: sectionCallers, key: "address", standard: "",
		help: "IP number and TCP port that callers reach. Needed with the role proxy.",
		set:  func(s *Settings, text string) error { return setOptionalAddress(&s.Callers.Address, text) },
	},
	{
		section: sectionCallers, key: "certificate", standard: "",
		help: "Certificate for callers. Empty serves plain HTTP.",
		set:  func(s *Settings, text string) error { s.Callers.Certificate = text; return nil },
	},
	{
		section: sectionCallers, key: "key", standard: "",
		help: "Private key of the certificate for callers.",
		set:  func(s *Settings, text string) error { s.Callers.Key = text; return nil },
	},
	{
		section: sectionCallers, key: "key_header", standard: "X-Api-Key",
		help: "Header that may carry a client account's key besides 'Authorization: Bearer'. Empty means none.",
		set:  func(s *Settings, text string) error { return setHeaderName(&s.Callers.KeyHeader, text) },
	},
	{
		section: sectionCallers, key: "max_header_bytes", standard: "65536",
		help: "Largest header of a request, in bytes, from 4096 to 1048576.",
		set:  func(s *Settings, text string) error { return setInt(&s.Callers.MaxHeaderBytes, text, 4096, 1<<20) },
	},
	{
		section: sectionCallers, key: "service", standard: "",
		help: "Service that runs on the callers' machines, told to backend servers as the origin of requests.",
		set:  func(s *Settings, text string) error { return setOptionalName(&s.Callers.Service, text) },
	},
	{
		section: sectionLocal, key: "address", required: true, example: "127.0.0.1:7401",
		help: "IP number and TCP port for backend servers' announcements, /metrics, /healthz and /readyz.",
		set:  func(s *Settings, text string) error { return setAddress(&s.Local.Address, text) },
	},
	{
		section: sectionAdmin, key: "address", standard: "",
		help: "IP number and TCP port of the administration API. Only with the role control.",
		set:  func(s *Settings, text string) error { return setOptionalAddress(&s.Admin.Address, text) },
	},
	{
		section: sectionAdmin, key: "certificate", standard: "",
		help: "Certificate of the administration API. Empty uses the fleet certificate.",
		set:  func(s *Settings, text string) error { s.Admin.Certificate = text; return nil },
	},
	{
		section: sectionAdmin, key: "key", standard: "",
		help: "Private key of the administration API's certificate.",
		set:  func(s *Settings, text string) error { s.Admin.Key = text; return nil },
	},
	{
		section: sectionAdmin, key: "operators", standard: "",
		help: "File with the operators' names, roles and token digests. Needed with an address.",
		set:  func(s *Settings, text string) error { s.Admin.Operators = text; return nil },
	},
	{
		section: sectionControl, key: "members", standard: "",
		example: "trnava-a-1=127.0.0.1:7400, trnava-b-1=127.0.0.2:7400, trnava-c-1=127.0.0.3:7400",
		help:    "The 1, 3, 5 or 7 control instances with their fleet addresses, the same on every instance. Empty lets the group form itself from the instances with the role control.",
		set:     func(s *Settings, text string) error { return setMembers(&s.Control.Members, text) },
	},
	{
		section: sectionControl, key: "losses", standard: "1",
		help: "How many control instances may be lost at once, from 0 to 3. A group that forms itself starts with one more than twice as many.",
		set:  func(s *Settings, text string) error { return setInt(&s.Control.ToleratedFailures, text, 0, maxLosses) },
	},
	{
		section: sectionControl, key: "election_timeout", standard: "1.5s",
		help: "How long a silent leader of the control group keeps its role, from 300ms to 1m. The same on every control instance.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Control.ElectionTimeout, text, minElection, maxElection)
		},
	},
	{
		section: sectionControl, key: "shard_lease", standard: "2s",
		help: "How long a silent owner keeps a shard, from 500ms to 1m. The same on every instance.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Control.ShardLease, text, minLease, maxLease)
		},
	},
	{
		section: sectionControl, key: "withdrawal", standard: "5s",
		help: "How soon a withdrawn key stops on every instance, from 1s to 1h. The same on every instance. An instance that nobody vouches for refuses keyed requests after four fifths of it.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Control.RevocationBound, text, minWithdrawal, maxWithdrawal)
		},
	},
	{
		section: sectionControl, key: "found", standard: "false",
		help: "true while the whole fleet starts for the first time: instances with blank disks then found the group.",
		set:  func(s *Settings, text string) error { return setBool(&s.Control.Bootstrap, text) },
	},
	{
		section: sectionLimits, key: "stop_timeout", standard: "60s",
		help: "How long a planned stop takes at most, from 1s to 1h: the time after which whoever stops the process kills it. Requests in flight get five sixths of it.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Limits.StopTimeout, text, minStop, maxStop)
		},
	},
	{
		section: sectionLimits, key: "stop_linger", standard: "0s",
		help: "How long a planned stop still takes callers while the instance is not ready, from 0s to 1h. It counts towards the time of requests in flight.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Limits.StopDelay, text, 0, maxStop)
		},
	},
	{
		section: sectionLimits, key: "report_interval", standard: "1m",
		help: "How often a summary for the weekly report goes to the control instances, from 1s to 1h.",
		set: func(s *Settings, text string) error {
			return setDuration(&s.Limits.ReportInterval, text, minReport, maxReport)
		},
	},
	{
		section: sectionLog, key: "level", standard: "info",
		help: "Least level that is written: debug, info, warn or error.",
		set:  func(s *Settings, text string) error { return setLevel(&s.Log.Level, text) },
	},
}

// name is a string type that identifies something.
type name interface {
	~string
}

func setName[T name](target *T, text string) error {
	if err := checkName(text); err != nil {
		return err
	}
	*target = T(text)
	return nil
}

func setOptionalName[T name](target *T, text string) error {
	if text == "" {
		return nil
	}
	return setName(target, text)
}

// CheckInstanceID reports whether the text can name an instance.
func CheckInstanceID(id fleetconfig.InstanceID) error { return checkName(string(id)) }
