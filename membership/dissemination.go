package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// maxUpdateBytes bounds the estimated size of the updates in one datagram.
	maxUpdateBytes = 850
	// recordBytes and serverBytes estimate the encoded sizes of a record without
	// its servers and of one server.
	recordBytes = 110
	serverBytes = 40
	// retransmitFactor is the number of times that each update is sent, per
	// decimal digit of the fleet's size.
	retransmitFactor = 4
	// messagesPerPeriod is the number of messages with updates that an instance sends on
	// average in a probe period: a ping and an answer.
	messagesPerPeriod = 2
)

// newEnvelope addresses a message and adds the updates that have been sent least
// often.
func (s *State) newEnvelope(address string, message Message) Envelope {
	message.From = s.self
	message.ReplyAddress = s.members[s.self].Record.Address
	own := s.members[s.self].Record
	if elapsed, known := s.uptimeOf(s.members[s.self]); known {
		message.Incarnation, message.UptimeMillis = own.Incarnation, uint64(elapsed.Milliseconds())
	}
	if s.maybeUnknownTo(message.Target) && estimatedBytes(&own) <= maxUpdateBytes {
		message.Updates = append(s.selectUpdates(message.Target, s.isFar(address), estimatedBytes(&own)), s.newUpdate(s.members[s.self]))
	} else {
		message.Updates = s.selectUpdates(message.Target, s.isFar(address), 0)
	}
	return Envelope{Address: address, Message: message}
}

// maybeUnknownTo reports whether the receiver might not know this instance: it is a
// seed whose ID is not known, an instance that this one does not know, or a dead
// one. Messages to such a receiver always carry this instance's own record, if it
// fits in a datagram, however often it has been sent before. Otherwise two parts of
// the fleet that have no new updates would never discover each other.
func (s *State) maybeUnknownTo(receiver fleetconfig.InstanceID) bool {
	member := s.members[receiver]
	return member == nil || member.Liveness == Dead
}

// estimatedBytes estimates the encoded size of a record.
func estimatedBytes(record *Record) int {
	return recordBytes + len(record.Servers)*serverBytes
}

// isFar reports whether the instance at an address is known to be in another failure domain.
func (s *State) isFar(address string) bool {
	for _, member := range s.members {
		if member.Record.Address == address {
			return member.Record.FailureDomain != s.members[s.self].Record.FailureDomain
		}
	}
	return false
}

// transmissionLimit returns how often each update is sent.
func (s *State) transmissionLimit() int { return retransmitFactor * decimalDigits(len(s.members)) }

// settle is called when another instance has proved to know all that this one knows. Updates
// that are older than the time in which an update is usually sent transmissionLimit times are
// no longer sent to other failure domains. Only updates that do not fit in the datagrams of that
// time are left then, as those of all instances after the start of a fleet.
func (s *State) settle(now time.Time) {
	spread := time.Duration(s.transmissionLimit()) * s.config.ProbePeriod / messagesPerPeriod
	for _, member := range s.members {
		member.settled = member.settled || now.Sub(member.updatedAt) >= spread
	}
}

// selectUpdates returns the updates to send to the receiver, which may be far (isFar), that fit
// in a datagram in addition to the reserved bytes. A suspicion of the receiver comes first, so
// that the receiver can refute it. newEnvelope passes Message.Target as the
// receiver, although in a PingRequest and in an IndirectAck Message.Target is not
// the instance that receives the message.
func (s *State) selectUpdates(receiver fleetconfig.InstanceID, far bool, reserved int) []Update {
	limit := s.transmissionLimit()
	candidates := make([]*Member, 0, len(s.members))
	for _, member := range s.members {
		suspectedReceiver := member.Record.ID == receiver && member.Liveness != Alive
		pending := member.transmissions < limit && (!far || !member.settled)
		if pending || suspectedReceiver {
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b *Member) int {
		if a.Record.ID == receiver || b.Record.ID == receiver {
			return cmp.Compare(boolToInt(b.Record.ID == receiver), boolToInt(a.Record.ID == receiver))
		}
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), cmp.Compare(a.Record.ID, b.Record.ID))
	})
	var updates []Update
	size := reserved
	for _, member := range candidates {
		added := estimatedBytes(&member.Record)
		if size+added > maxUpdateBytes {
			continue
		}
		size += added
		member.transmissions++
		updates = append(updates, s.newUpdate(member))
	}
	return updates
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
