package ctl

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Connection holds the flags for the connection to the administration API.
type Connection struct {
	Servers   []string      `arg:"--server,separate,env:HEMLOCKRING_SERVERS" help:"base URL of the administration port of a control instance; repeat for each instance" placeholder:"URL"`
	TokenFile string        `arg:"--token-file,env:HEMLOCKRING_TOKEN_FILE" help:"file that contains the operator token" placeholder:"FILE"`
	CA        string        `arg:"--ca,env:HEMLOCKRING_CA" help:"file of trusted CA certificates in PEM format" placeholder:"FILE"`
	Timeout   time.Duration `arg:"--timeout" default:"30s" help:"time limit of a command, including retries; watch has none"`
	JSON      bool          `arg:"--json" help:"print output as JSON"`
}

// Commands holds the commands that use the administration API. At most one is set.
type Commands struct {
	Status     *StatusCommand     `arg:"subcommand:status" help:"show the configuration version, the active preset and the number of items"`
	Account    *AccountCommand    `arg:"subcommand:account" help:"list, set or remove client accounts"`
	Key        *KeyCommand        `arg:"subcommand:key" help:"list, give or withdraw API keys"`
	Route      *RouteCommand      `arg:"subcommand:route" help:"list, set or remove routes"`
	Service    *ServiceCommand    `arg:"subcommand:service" help:"list, set or remove services"`
	Preset     *PresetCommand     `arg:"subcommand:preset" help:"list presets or activate one"`
	Apply      *FileCommand       `arg:"subcommand:apply" help:"apply a configuration file to the fleet"`
	Diff       *FileCommand       `arg:"subcommand:diff" help:"show what apply would change; exit with code 6 if there are changes"`
	Resend     *FileCommand       `arg:"subcommand:resend" help:"resend a change whose outcome is unknown, from the file named in the error message"`
	Evacuate   *EvacuateCommand   `arg:"subcommand:evacuate" help:"send no new requests to the backend servers of a failure domain, or take it back into service"`
	Members    *MembersCommand    `arg:"subcommand:members" help:"show instances, their backend servers and network paths that fail in one direction"`
	Control    *ControlCommand    `arg:"subcommand:control" help:"show the replicated log of the control instances or change its members"`
	Quarantine *QuarantineCommand `arg:"subcommand:quarantine" help:"list requests that crash backend servers or let one run again"`
	Report     *ReportCommand     `arg:"subcommand:report" help:"print the weekly report on late responses and on whether each order was counted once"`
	History    *HistoryCommand    `arg:"subcommand:history" help:"show the history of configuration changes"`
	Watch      *WatchCommand      `arg:"subcommand:watch" help:"print each new configuration version"`
}

// StatusCommand holds the arguments of "hemlockctl status".
type StatusCommand struct{}

// HistoryCommand holds the arguments of "hemlockctl history".
type HistoryCommand struct{}

// WatchCommand holds the arguments of "hemlockctl watch".
type WatchCommand struct{}

// ListCommand is a subcommand without arguments that lists items or shows a state.
type ListCommand struct{}

// NameCommand holds the arguments of a subcommand that takes the name of one item.
type NameCommand struct {
	Name string `arg:"positional,required"`
}

// FileCommand holds the arguments of a command that reads a file.
type FileCommand struct {
	File string `arg:"positional,required" placeholder:"FILE"`
}

// EvacuateCommand holds the arguments of "hemlockctl evacuate".
type EvacuateCommand struct {
	Domain string `arg:"positional,required" help:"name of the failure domain"`
	End    bool   `arg:"--end" help:"take the failure domain back into service"`
}

// AccountCommand holds the subcommands of "hemlockctl account".
type AccountCommand struct {
	List   *ListCommand       `arg:"subcommand:list" help:"list the accounts"`
	Set    *AccountSetCommand `arg:"subcommand:set" help:"create or update an account"`
	Remove *NameCommand       `arg:"subcommand:remove" help:"remove an account"`
}

// AccountSetCommand holds the arguments of "hemlockctl account set". Settings of an
// existing account whose flags are not given stay unchanged.
type AccountSetCommand struct {
	Name  string   `arg:"positional,required"`
	Rate  *float64 `arg:"--rate" help:"rate limit in requests per second, over all instances"`
	Burst *uint32  `arg:"--burst" help:"burst size in requests"`
}

// KeyCommand holds the subcommands of "hemlockctl key".
type KeyCommand struct {
	List     *ListCommand    `arg:"subcommand:list" help:"list the API keys"`
	Give     *KeyGiveCommand `arg:"subcommand:give" help:"create a key for an account and print it; it cannot be shown again"`
	Withdraw *NameCommand    `arg:"subcommand:withdraw" help:"withdraw the key with the given id"`
}

// KeyGiveCommand holds the arguments of "hemlockctl key give".
type KeyGiveCommand struct {
	Account string `arg:"positional,required"`
	Label   string `arg:"--label" help:"description of the key, such as its holder"`
}

// RouteCommand holds the subcommands of "hemlockctl route".
type RouteCommand struct {
	List   *ListCommand     `arg:"subcommand:list" help:"list the routes"`
	Set    *RouteSetCommand `arg:"subcommand:set" help:"create or update a route"`
	Remove *NameCommand     `arg:"subcommand:remove" help:"remove a route"`
}

// RouteSetCommand holds the arguments of "hemlockctl route set". Settings of an existing
// route whose flags are not given stay unchanged.
type RouteSetCommand struct {
	Name        string                   `arg:"positional,required"`
	Host        *string                  `arg:"--host" help:"host name that requests must match"`
	PathPrefix  *string                  `arg:"--path-prefix" help:"path prefix that requests must match"`
	BelowPrefix *bool                    `arg:"--below-prefix" help:"true if the path that equals the prefix does not match, else false"`
	Service     *string                  `arg:"--service" help:"name of the service that handles the requests"`
	OpenToAll   *bool                    `arg:"--open-to-all" help:"true if requests need no API key, else false"`
	Idempotency *fleetconfig.Idempotency `arg:"--idempotency" help:"which requests are idempotent: by-method, always or never"`
	Timeout     *time.Duration           `arg:"--route-timeout" help:"time limit of a request, such as 30s"`

	LargeAnswers *bool `arg:"--large-answers" help:"true if responses are tens of kilobytes or larger, else false"`
}

// ServiceCommand holds the subcommands of "hemlockctl service".
type ServiceCommand struct {
	List   *ListCommand       `arg:"subcommand:list" help:"list the services"`
	Set    *ServiceSetCommand `arg:"subcommand:set" help:"create or update a service"`
	Remove *NameCommand       `arg:"subcommand:remove" help:"remove a service"`
}

// ServiceSetCommand holds the arguments of "hemlockctl service set". Settings of an
// existing service whose flags are not given stay unchanged.
type ServiceSetCommand struct {
	Name         string  `arg:"positional,required"`
	FloorSlots   *uint32 `arg:"--floor-slots" help:"minimum healthy capacity that ejection must leave, in slots"`
	FloorPercent *uint32 `arg:"--floor-percent" help:"minimum healthy capacity that ejection must leave, in percent of the announced slots"`
}

// PresetCommand holds the subcommands of "hemlockctl preset".
type PresetCommand struct {
	List *ListCommand `arg:"subcommand:list" help:"list the presets"`
	Use  *NameCommand `arg:"subcommand:use" help:"activate a preset in place of the current one"`
}
