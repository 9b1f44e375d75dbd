package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MembersCommand holds the arguments of "hemlockctl members".
type MembersCommand struct{}

// ControlCommand holds the subcommands of "hemlockctl control".
type ControlCommand struct {
	Show      *ListCommand       `arg:"subcommand:show" help:"show the replicated log and its members"`
	AdmitDisk *NameCommand       `arg:"subcommand:admit-disk" help:"let a member whose disk was replaced or erased vote again"`
	Add       *ControlAddCommand `arg:"subcommand:add" help:"add a control instance"`
	Remove    *NameCommand       `arg:"subcommand:remove" help:"remove a control instance"`
}

// ControlAddCommand holds the arguments of "hemlockctl control add".
type ControlAddCommand struct {
	Name    string `arg:"positional,required"`
	Address string `arg:"positional,required" help:"address of the instance in the fleet, HOST:PORT"`
}

// ReportCommand holds the arguments of "hemlockctl report".
type ReportCommand struct {
	Week   string `arg:"--week" help:"first day of the week, such as 2026-03-02; default: the last seven days" placeholder:"DATE"`
	Format string `arg:"--format" default:"text" help:"output format: text, json or html"`
	Output string `arg:"--output,-o" help:"output file; default: standard output" placeholder:"FILE"`
}

// week is the period that a report covers.
const week = 7 * 24 * time.Hour

// memberRow holds the fields of a member in the response of the API.
type memberRow struct {
	Instance      string      `json:"instance"`
	Address       string      `json:"address"`
	FailureDomain string      `json:"failure_domain"`
	Control       bool        `json:"control"`
	Liveness      string      `json:"liveness"`
	Path          string      `json:"path"`
	Draining      bool        `json:"draining"`
	Left          bool        `json:"left"`
	Servers       []serverRow `json:"backend_servers"`
}

// serverRow holds the fields of a backend server in the response of the API.
type serverRow struct {
	Server   string `json:"backend_server"`
	Service  string `json:"service"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
	Ejected  bool   `json:"ejected"`
	Leaving  bool   `json:"leaving"`
	// AdvertisedRate is in requests per second, or nil.
	AdvertisedRate *float64 `json:"advertised_rate"`
	// ColdRate is in requests per second, or nil.
	ColdRate *float64 `json:"cold_rate"`
}

// members prints the member list of one control instance.
func (s *session) members(ctx context.Context) error {
	data, err := s.client.ReadRaw(ctx, "/v1/members")
	if err != nil {
		return err
	}
	if s.connection.JSON {
		_, err := s.stdout.Write(data)
		return errors.Wrap(err, "write output")
	}
	var rows []memberRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return errors.Wrap(err, "decode member list")
	}
	for i := range rows {
		s.printMember(&rows[i])
	}
	return nil
}

func (s *session) printMember(row *memberRow) {
	state := row.Liveness
	switch {
	case row.Left:
		state = "left"
	case row.Draining:
		state = "draining"
	case row.Path != "direct" && row.Liveness == "alive":
		state = "path fails in one direction: reached only through other instances"
	}
	role := ""
	if row.Control {
		role = " control"
	}
	s.printf("%-20s %-22s %-14s%s %s\n", row.Instance, row.Address, row.FailureDomain, role, state)
	for _, server := range row.Servers {
		var states []string
		if server.Draining {
			states = append(states, "draining")
		}
		if server.Ejected {
			states = append(states, "ejected")
		}
		if server.Leaving {
			states = append(states, "leaving by its own statement")
		}
		if server.AdvertisedRate != nil {
			states = append(states, fmt.Sprintf("advertises %.1f requests/s", *server.AdvertisedRate))
		}
		if server.ColdRate != nil {
			states = append(states, fmt.Sprintf("cold: at most %.1f requests/s", *server.ColdRate))
		}
		s.printf("    %-16s %-20s %3d slots %s\n", server.Server, server.Service, server.Slots, strings.Join(states, ", "))
	}
}

// control shows the state of the replicated log at one control instance, or changes the
// members of the log.
func (s *session) control(ctx context.Context, command *ControlCommand) error {
	var data []byte
	var err error
	switch {
	case command.AdmitDisk != nil:
		data, err = s.client.ChangeControlMember(ctx, command.AdmitDisk.Name, "admit-disk", "")
	case command.Add != nil:
		data, err = s.client.ChangeControlMember(ctx, command.Add.Name, "add", command.Add.Address)
	case command.Remove != nil:
		data, err = s.client.ChangeControlMember(ctx, command.Remove.Name, "remove", "")
	default:
		data, err = s.client.ReadRaw(ctx, "/v1/control")
	}
	if err != nil {
		return err
	}
	_, err = s.stdout.Write(data)
	return errors.Wrap(err, "write output")
}

// report prints the weekly report or writes it to a file.
func (s *session) report(ctx context.Context, command *ReportCommand) error {
	query := url.Values{"format": {command.Format}}
	if command.Week != "" {
		from, err := time.Parse(time.DateOnly, command.Week)
		if err != nil {
			return &UsageError{Message: "--week is not a date; use the form 2026-03-02"}
		}
		query.Set("from", from.Format(time.RFC3339))
		query.Set("to", from.Add(week).Format(time.RFC3339))
	}
	data, err := s.client.ReadRaw(ctx, "/v1/report?"+query.Encode())
	if err != nil {
		return err
	}
	if command.Output != "" {
		const reportFileMode = 0o644
		return errors.Wrap(os.WriteFile(command.Output, data, reportFileMode), "write report")
	}
	_, err = s.stdout.Write(data)
	return errors.Wrap(err, "write output")
}
