package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// QuarantineCommand holds the subcommands of "hemlockctl quarantine".
type QuarantineCommand struct {
	List    *ListCommand `arg:"subcommand:list" help:"list the requests that were under way in crashes of backend servers"`
	Release *NameCommand `arg:"subcommand:release" help:"let the request with the given fingerprint run again"`
}

// quarantineRow holds the fields of a request in the response of the API.
type quarantineRow struct {
	Fingerprint      string   `json:"fingerprint"`
	Account          string   `json:"account"`
	Service          string   `json:"service"`
	State            string   `json:"state"`
	Crashes          int      `json:"crashes"`
	LastCrashSeconds float64  `json:"last_crash_seconds_ago"`
	TrialInSeconds   *float64 `json:"trial_in_seconds"`
}

// quarantine lists the requests that one control instance knows, or releases one.
func (s *session) quarantine(ctx context.Context, command *QuarantineCommand) error {
	if command.Release != nil {
		if err := s.client.ReleaseQuarantined(ctx, command.Release.Name); err != nil {
			return err
		}
		s.printf("released %s\n", command.Release.Name)
		return nil
	}
	data, err := s.client.ReadRaw(ctx, "/v1/quarantine")
	if err != nil {
		return err
	}
	if s.connection.JSON {
		_, err := s.stdout.Write(data)
		return errors.Wrap(err, "write output")
	}
	var rows []quarantineRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return errors.Wrap(err, "decode the list of requests")
	}
	for i := range rows {
		s.printQuarantined(&rows[i])
	}
	return nil
}

func (s *session) printQuarantined(row *quarantineRow) {
	trial := ""
	if row.TrialInSeconds != nil {
		trial = fmt.Sprintf(", trial run in %s", seconds(*row.TrialInSeconds))
	}
	account := row.Account
	if account == "" {
		account = "(no account)"
	}
	s.printf("%s %-11s %-16s %-16s %d crashes, last %s ago%s\n", row.Fingerprint, row.State, account, row.Service,
		row.Crashes, seconds(row.LastCrashSeconds), trial)
}

func seconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Second)).Round(time.Second)
}
