package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// evacuate starts or ends the evacuation of a failure domain. An evacuation of a domain in which
// no instance is known is started too, since it holds for instances that join later; a warning
// says so.
func (s *session) evacuate(ctx context.Context, command *EvacuateCommand) error {
	kind := fleetconfig.EvacuateDomain
	if command.End {
		kind = fleetconfig.EndEvacuation
	}
	// The order of the log decides between evacuations, so they have no base version.
	const noBase = 0
	if err := s.change(ctx, noBase, []fleetconfig.Change{{Kind: kind, Name: command.Domain}}); err != nil {
		return err
	}
	if known, err := s.knowsDomain(ctx, command.Domain); err != nil {
		_, _ = fmt.Fprintf(s.stderr, "warning: whether failure domain %s exists was not checked: %v\n", command.Domain, err)
	} else if !known {
		_, _ = fmt.Fprintf(s.stderr, "warning: no instance in failure domain %s is known; check the name with hemlockctl members\n", command.Domain)
	}
	return nil
}

// knowsDomain reports whether the member list has an instance in the failure domain.
func (s *session) knowsDomain(ctx context.Context, domain string) (bool, error) {
	data, err := s.client.ReadRaw(ctx, "/v1/members")
	if err != nil {
		return false, err
	}
	var rows []memberRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return false, errors.Wrap(err, "decode member list")
	}
	return slices.ContainsFunc(rows, func(row memberRow) bool { return row.FailureDomain == domain }), nil
}
