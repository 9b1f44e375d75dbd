package ctl

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Connection says how to reach the administration API.
type Connection struct {
	Servers   []string      `arg:"--server,separate,env:HEMLOCKRING_SERVERS" help:"base URL of a control instance's administration port; give it once for each" placeholder:"URL"`
	TokenFile string        `arg:"--token-file,env:HEMLOCKRING_TOKEN_FILE" help:"file with the operator's token" placeholder:"FILE"`
	CA        string        `arg:"--ca,env:HEMLOCKRING_CA" help:"certificates to trust, in PEM" placeholder:"FILE"`
	Timeout   time.Duration `arg:"--timeout" default:"30s" help:"how long to try, resends included"`
	JSON      bool          `arg:"--json" help:"print JSON"`
}

// Commands are the configuration commands. Exactly one is set.
type Commands struct {
	Status  *StatusCommand  `arg:"subcommand:status" help:"show version, preset in force and sizes"`
	Account *AccountCommand `arg:"subcommand:account" help:"list, set or remove client accounts"`
	Key     *KeyCommand     `arg:"subcommand:key" help:"list, give or withdraw keys"`
	Route   *RouteCommand   `arg:"subcommand:route" help:"list, set or remove routes"`
	Service *ServiceCommand `arg:"subcommand:service" help:"list, set or remove services"`
	Preset  *PresetCommand  `arg:"subcommand:preset" help:"list presets or put one in force"`
	Apply   *FileCommand    `arg:"subcommand:apply" help:"make the configuration that a file states"`
	Diff    *FileCommand    `arg:"subcommand:diff" help:"show what apply would change; exit code 6 if anything"`
	Resend  *FileCommand    `arg:"subcommand:resend" help:"send a change again whose outcome is unknown, from the file that the earlier command has named"`
	Members *MembersCommand `arg:"subcommand:members" help:"show instances and backend servers, and paths that are cut"`
	Control *ControlCommand `arg:"subcommand:control" help:"show the replicated log of the control instances"`
	Report  *ReportCommand  `arg:"subcommand:report" help:"print the weekly report: late answers and orders counted once"`
	History *HistoryCommand `arg:"subcommand:history" help:"show who changed what"`
	Watch   *WatchCommand   `arg:"subcommand:watch" help:"print each new version as it comes into force"`
}

// StatusCommand is hemlockctl status.
type StatusCommand struct{}

// HistoryCommand is hemlockctl history.
type HistoryCommand struct{}

// WatchCommand is hemlockctl watch.
type WatchCommand struct{}

// ListCommand lists a table.
type ListCommand struct{}

// NameCommand names one item.
type NameCommand struct {
	Name string `arg:"positional,required"`
}

// FileCommand names a file.
type FileCommand struct {
	File string `arg:"positional,required" placeholder:"FILE"`
}

// AccountCommand is hemlockctl account.
type AccountCommand struct {
	List   *ListCommand       `arg:"subcommand:list"`
	Set    *AccountSetCommand `arg:"subcommand:set" help:"create or update an account"`
	Remove *NameCommand       `arg:"subcommand:remove"`
}

// AccountSetCommand is hemlockctl account set. What is not given stays as it is.
type AccountSetCommand struct {
	Name  string   `arg:"positional,required"`
	Rate  *float64 `arg:"--rate" help:"requests a second, over all instances"`
	Burst *uint32  `arg:"--burst" help:"requests at once"`
}

// KeyCommand is hemlockctl key.
type KeyCommand struct {
	List     *ListCommand    `arg:"subcommand:list"`
	Give     *KeyGiveCommand `arg:"subcommand:give" help:"make a key for an account and print it, once"`
	Withdraw *NameCommand    `arg:"subcommand:withdraw" help:"withdraw the key with an id"`
}

// KeyGiveCommand is hemlockctl key give.
type KeyGiveCommand struct {
	Account string `arg:"positional,required"`
	Label   string `arg:"--label" help:"note on who has the key"`
}

// RouteCommand is hemlockctl route.
type RouteCommand struct {
	List   *ListCommand     `arg:"subcommand:list"`
	Set    *RouteSetCommand `arg:"subcommand:set" help:"create or update a route"`
	Remove *NameCommand     `arg:"subcommand:remove"`
}

// RouteSetCommand is hemlockctl route set. What is not given stays as it is.
type RouteSetCommand struct {
	Name        string                   `arg:"positional,required"`
	Host        *string                  `arg:"--host"`
	PathPrefix  *string                  `arg:"--path-prefix"`
	Service     *string                  `arg:"--service"`
	OpenToAll   *bool                    `arg:"--open-to-all" help:"true or false"`
	Idempotency *fleetconfig.Idempotency `arg:"--idempotency" help:"by-method, always or never"`
	Timeout     *time.Duration           `arg:"--route-timeout" help:"such as 30s"`

	LargeAnswers *bool `arg:"--large-answers" help:"true or false: answers of tens of kilobytes and more"`
}

// ServiceCommand is hemlockctl service.
type ServiceCommand struct {
	List   *ListCommand       `arg:"subcommand:list"`
	Set    *ServiceSetCommand `arg:"subcommand:set" help:"create or update a service"`
	Remove *NameCommand       `arg:"subcommand:remove"`
}

// ServiceSetCommand is hemlockctl service set. What is not given stays as it is.
type ServiceSetCommand struct {
	Name         string  `arg:"positional,required"`
	FloorSlots   *uint32 `arg:"--floor-slots"`
	FloorPercent *uint32 `arg:"--floor-percent"`
}

// PresetCommand is hemlockctl preset.
type PresetCommand struct {
	List *ListCommand `arg:"subcommand:list"`
	Use  *NameCommand `arg:"subcommand:use" help:"put a preset in force, in place of the present one"`
}
