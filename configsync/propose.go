package configsync

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Propose proposes a command on this instance, which must be the leader of control, and
// returns the result once a majority of the holders has the new version. The result may
// be a conflict or a list of faults; see fleetconfig.Result. It fails with
// *control.NotLeaderError or *control.BusyError if the command was certainly not
// proposed, and with *control.OutcomeUnknownError if it may have been applied.
func (s *Service) Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	if s.config.Log == nil {
		return nil, &control.NotLeaderError{}
	}
	if err := s.waitForProposal(ctx, command); err != nil {
		return nil, err
	}
	entry, err := fleetconfig.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	if len(entry) > control.MaxCommandBytes {
		return tooLargeResult(command, len(entry)), nil
	}
	data, err := s.config.Log.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	result, err := fleetconfig.DecodeResult(data)
	if err != nil {
		return nil, &control.OutcomeUnknownError{Reason: err.Error()}
	}
	if result.Verdict != fleetconfig.VerdictAccepted {
		return result, nil
	}
	s.triggerRound()
	if err := s.waitAccepted(ctx, result.Version); err != nil {
		return nil, err
	}
	return result, nil
}

// tooLargeResult returns the result for a command that exceeds the size limit of the
// log.
func tooLargeResult(command *fleetconfig.Command, size int) *fleetconfig.Result {
	return &fleetconfig.Result{
		ChangeID:    command.ChangeID,
		Verdict:     fleetconfig.VerdictInvalid,
		BaseVersion: command.BaseVersion,
		Faults: []fleetconfig.Fault{{
			Subject: "change",
			Problem: fmt.Sprintf("has %d bytes, more than the maximum of %d", size, control.MaxCommandBytes),
			Remedy:  "split the changes into several commands, as hemlockctl apply does",
		}},
	}
}

const (
	// maxUnbasedWait is how long a command without a base version waits until it may be
	// proposed. Its operator can not name the version to wait for, unlike that of another
	// command.
	maxUnbasedWait = 500 * time.Millisecond
	// proposalCheckInterval is the time between two checks whether it may be proposed.
	proposalCheckInterval = 20 * time.Millisecond
)

// waitForProposal returns nil if the command may be proposed now. A command without a base
// version waits for that for a short time.
func (s *Service) waitForProposal(ctx context.Context, command *fleetconfig.Command) error {
	err := s.checkProposal(command)
	for started := clock.Now(); command.IgnoresBaseVersion() && clock.Since(started) < maxUnbasedWait; {
		var busy *control.BusyError
		if !errors.As(err, &busy) {
			return err
		}
		select {
		case <-time.After(proposalCheckInterval):
		case <-ctx.Done():
			return err
		}
		err = s.checkProposal(command)
	}
	return err
}

// checkProposal returns nil if the command may be proposed now.
func (s *Service) checkProposal(command *fleetconfig.Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return s.notLeaderError()
	}
	var err error
	if now := clock.Now(); command.IgnoresBaseVersion() {
		err = s.leader.CheckReplacement(now)
	} else {
		err = s.leader.CheckProposal(command.BaseVersion, now)
	}
	var notReady *currency.NotReadyError
	if errors.As(err, &notReady) {
		return &control.BusyError{Reason: notReady.Reason}
	}
	return err
}

// notLeaderError returns why this instance does not accept commands. If the log says
// that this instance leads, the service has not processed the election yet; the caller
// may retry.
func (s *Service) notLeaderError() error {
	known := s.config.Log.Leadership()
	if known.Leads || known.Leader == s.config.Self.ID {
		s.triggerRound()
		return &control.BusyError{Reason: "this instance was just elected leader and is not ready yet"}
	}
	return &control.NotLeaderError{Leader: known.Leader, Address: known.Address}
}

// waitAccepted waits until a majority of the holders has the version. If ctx ends
// first, the outcome is unknown.
func (s *Service) waitAccepted(ctx context.Context, version uint64) error {
	for {
		s.mu.Lock()
		accepted := s.currencyNode.Accepted()
		if s.leader != nil {
			acceptedByLeader, _ := s.leader.Accepted()
			accepted = max(accepted, acceptedByLeader)
		}
		signal := s.acceptedChanged
		s.mu.Unlock()
		if accepted >= version {
			return nil
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return &control.OutcomeUnknownError{Reason: fmt.Sprintf("version %d is committed, "+
				"but a majority of the holders has not confirmed it yet", version)}
		}
	}
}

// signalAccepted wakes the goroutines in waitAccepted. The caller holds mu.
func (s *Service) signalAccepted() {
	close(s.acceptedChanged)
	s.acceptedChanged = make(chan struct{})
}
