package membership

import (
	"cmp"
	"slices"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// maxUpdateBytes bounds the updates on one datagram.
	maxUpdateBytes = 850
	// recordBytes and serverBytes estimate the encoded sizes of a record without
	// its servers and of one server.
	recordBytes = 110
	serverBytes = 40
	// retransmitFactor is how often each update is spread, times the number of
	// digits of the fleet's size.
	retransmitFactor = 4
)

// envelope addresses a message and loads it with the updates that were spread
// least.
func (s *State) envelope(address string, message Message) Envelope {
	message.From = s.self
	message.ReplyAddress = s.members[s.self].Record.Address
	own := s.members[s.self].Record
	if s.isStranger(message.Target) && updateBytes(&own) <= maxUpdateBytes {
		message.Updates = append(s.takeUpdates(message.Target, updateBytes(&own)), Update{Record: own})
	} else {
		message.Updates = s.takeUpdates(message.Target, 0)
	}
	return Envelope{Address: address, Message: message}
}

// isStranger reports whether the receiver may not know this instance: a seed whose
// name is not known, an instance that is not known here, or one that was taken for
// dead. Such a receiver is always told this instance's own record, however often
// that was spread before; otherwise two parts of the fleet that have nothing new
// to spread would never find each other.
func (s *State) isStranger(receiver fleetconfig.InstanceID) bool {
	member := s.members[receiver]
	return member == nil || member.Liveness == Dead
}

// updateBytes estimates the encoded size of a record.
func updateBytes(record *Record) int {
	return recordBytes + len(record.Servers)*serverBytes
}

// takeUpdates returns the updates to spread, next to reserved bytes. A doubt about the receiver goes
// first, so that it can refute it.
func (s *State) takeUpdates(receiver fleetconfig.InstanceID, reserved int) []Update {
	limit := retransmitFactor * log10Ceil(len(s.members))
	candidates := make([]*Member, 0, len(s.members))
	for _, member := range s.members {
		doubtedReceiver := member.Record.ID == receiver && member.Liveness != Alive
		if member.transmissions < limit || doubtedReceiver {
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b *Member) int {
		if a.Record.ID == receiver || b.Record.ID == receiver {
			return cmp.Compare(boolRank(b.Record.ID == receiver), boolRank(a.Record.ID == receiver))
		}
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.Record.ID, b.Record.ID))
	})
	var updates []Update
	size := reserved
	for _, member := range candidates {
		added := updateBytes(&member.Record)
		if size+added > maxUpdateBytes {
			continue
		}
		size += added
		member.transmissions++
		updates = append(updates, Update{Record: member.Record, Liveness: member.Liveness})
	}
	return updates
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
