package ctl

import (
	"context"
	"encoding/json"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// MembersCommand is hemlockctl members.
type MembersCommand struct{}

// ControlCommand is hemlockctl control.
type ControlCommand struct {
	Show      *ListCommand       `arg:"subcommand:show" help:"show the replicated log and its members"`
	AdmitDisk *NameCommand       `arg:"subcommand:admit-disk" help:"let a member vote again whose disk is blank or was replaced"`
	Add       *ControlAddCommand `arg:"subcommand:add" help:"add a control instance"`
	Remove    *NameCommand       `arg:"subcommand:remove" help:"remove a control instance"`
}

// ControlAddCommand is hemlockctl control add.
type ControlAddCommand struct {
	Name    string `arg:"positional,required"`
	Address string `arg:"positional,required" help:"fleet address of the instance"`
}

// ReportCommand is hemlockctl report.
type ReportCommand struct {
	Week   string `arg:"--week" help:"first day of the week, as in 2026-03-02; the last seven days by default" placeholder:"DATE"`
	Format string `arg:"--format" default:"text" help:"text, json or html"`
	Output string `arg:"--output,-o" help:"file to write; standard output by default" placeholder:"FILE"`
}

// week is the span of a report.
const week = 7 * 24 * time.Hour

// memberRow is what is printed of a member.
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

// serverRow is what is printed of a backend server.
type serverRow struct {
	Server   string `json:"backend_server"`
	Service  string `json:"service"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
	Ejected  bool   `json:"ejected"`
}

// members prints the members as one control instance sees them.
func (s *session) members(ctx context.Context) error {
	data, err := s.client.ReadRaw(ctx, "/v1/members")
	if err != nil {
		return err
	}
	if s.connection.JSON {
		_, err := s.stdout.Write(data)
		return errors.Wrap(err, "print")
	}
	var rows []memberRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return errors.Wrap(err, "read the members")
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
		state = "one-way cut: reached only through others"
	}
	role := ""
	if row.Control {
		role = " control"
	}
	s.printf("%-20s %-22s %-14s%s %s\n", row.Instance, row.Address, row.FailureDomain, role, state)
	for _, server := range row.Servers {
		var marks []string
		if server.Draining {
			marks = append(marks, "draining")
		}
		if server.Ejected {
			marks = append(marks, "ejected")
		}
		s.printf("    %-16s %-20s %3d slots %s\n", server.Server, server.Service, server.Slots, strings.Join(marks, ", "))
	}
}

// control shows the replicated log as one control instance sees it, or changes its
// members.
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
	return errors.Wrap(err, "print")
}

// report prints the weekly report.
func (s *session) report(ctx context.Context, command *ReportCommand) error {
	query := url.Values{"format": {command.Format}}
	if command.Week != "" {
		from, err := time.Parse(time.DateOnly, command.Week)
		if err != nil {
			return &UsageError{Problem: "--week must be a day as in 2026-03-02"}
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
		return errors.Wrap(os.WriteFile(command.Output, data, reportFileMode), "write the report")
	}
	_, err = s.stdout.Write(data)
	return errors.Wrap(err, "print")
}
