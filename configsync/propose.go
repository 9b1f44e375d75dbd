package configsync

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Propose makes a command on the leader of control and returns its result once a
// majority of the holders has it too. The result may be a conflict or a list of
// faults, see fleetconfig.Result. It fails with *NotLeaderError or
// *NotProposedError if the command was certainly not proposed, and with
// *OutcomeUnknownError if it may have been made.
func (s *Service) Propose(ctx context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	if s.config.Log == nil {
		return nil, &NotLeaderError{}
	}
	if err := s.mayPropose(command.BaseVersion); err != nil {
		return nil, err
	}
	entry, err := fleetconfig.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	data, err := s.config.Log.Propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	result, err := fleetconfig.DecodeResult(data)
	if err != nil {
		return nil, &OutcomeUnknownError{Reason: err.Error()}
	}
	if result.Verdict != fleetconfig.VerdictAccepted {
		return result, nil
	}
	s.wakeUp()
	if err := s.awaitAcceptance(ctx, result.Version); err != nil {
		return nil, err
	}
	return result, nil
}

func (s *Service) mayPropose(baseVersion uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil {
		return &NotLeaderError{Leader: s.leaderID, Address: s.addressOf(s.leaderID)}
	}
	err := s.leader.MayPropose(baseVersion, time.Now())
	var notReady *currency.NotReadyError
	if errors.As(err, &notReady) {
		return &NotProposedError{Reason: notReady.Reason}
	}
	return err
}

func (s *Service) addressOf(id fleetconfig.InstanceID) string {
	for _, peer := range s.config.Peers.Peers() {
		if peer.ID == id {
			return peer.Address
		}
	}
	return ""
}

// awaitAcceptance waits until a majority of the holders has the version.
func (s *Service) awaitAcceptance(ctx context.Context, version uint64) error {
	for {
		s.mu.Lock()
		accepted := s.node.Accepted()
		if s.leader != nil {
			own, _ := s.leader.Accepted()
			accepted = max(accepted, own)
		}
		signal := s.accepted
		s.mu.Unlock()
		if accepted >= version {
			return nil
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return &OutcomeUnknownError{Reason: fmt.Sprintf("version %d is committed, "+
				"but a majority of the holders has not confirmed it yet", version)}
		}
	}
}

// announceAccepted wakes those that wait for an acceptance. The caller holds mu.
func (s *Service) announceAccepted() {
	close(s.accepted)
	s.accepted = make(chan struct{})
}
