package membership

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/shard"
)

// maxUptimeAge is the maximum age of an uptime that is used or passed on. The possible drift
// of the clocks in this time, 0.12 s, is short beside the deadlines that are derived from it.
const maxUptimeAge = time.Minute

// uptime is a lower bound of the time since the start of an instance's process. The time
// that a message takes only makes the bound lower, so instances can pass it on.
type uptime struct {
	known bool
	// incarnation is that of the record with which the bound was received. Another process
	// of the instance has another one.
	incarnation uint64
	elapsed     time.Duration
	// observedAt is when the bound held, by the clock of this instance.
	observedAt time.Time
}

// at returns the bound at a later time, lowered by the possible drift of the clocks.
func (u *uptime) at(now time.Time) (time.Duration, bool) {
	age := now.Sub(u.observedAt)
	if !u.known || age > maxUptimeAge {
		return 0, false
	}
	return u.elapsed + shard.SubtractClockDrift(max(0, age)), true
}

// observe records a bound that has just been received, unless the known bound of the same
// process is higher.
func (u *uptime) observe(incarnation uint64, elapsed time.Duration, now time.Time) {
	if u.known && u.incarnation == incarnation {
		if known, valid := u.at(now); valid && known >= elapsed {
			return
		}
	}
	*u = uptime{known: true, incarnation: incarnation, elapsed: elapsed, observedAt: now}
}

// Uptime returns a lower bound of the time since the start of a member's process of the given
// incarnation, which held at observedAt by this instance's clock. It returns false if none
// is known that is recent enough.
func (s *State) Uptime(id fleetconfig.InstanceID, incarnation uint64, now time.Time) (elapsed time.Duration, observedAt time.Time, known bool) {
	member := s.members[id]
	if member == nil || member.uptime.incarnation != incarnation {
		return 0, time.Time{}, false
	}
	if _, valid := member.uptime.at(now); !valid {
		return 0, time.Time{}, false
	}
	return member.uptime.elapsed, member.uptime.observedAt, true
}

// newUpdate returns an update with the member's record, this instance's view of its
// liveness, and the uptime of its process.
func (s *State) newUpdate(member *Member) Update {
	update := Update{Record: member.Record, Liveness: member.Liveness}
	if elapsed, known := s.uptimeOf(member); known {
		update.UptimeMillis = uint64(elapsed.Milliseconds())
	}
	return update
}

// uptimeOf returns a lower bound of the uptime of the member's process at the last event.
func (s *State) uptimeOf(member *Member) (time.Duration, bool) {
	if member.Record.ID == s.self {
		return s.lastEventAt.Sub(s.startedAt), member.Record.Incarnation == s.incarnation
	}
	if member.uptime.incarnation != member.Record.Incarnation {
		return 0, false
	}
	return member.uptime.at(s.lastEventAt)
}

// observeUptime records the uptime in an update of a member whose record has already been
// merged.
func (s *State) observeUptime(update *Update, now time.Time) {
	member := s.members[update.Record.ID]
	if update.UptimeMillis == 0 || member == nil || update.Record.ID == s.self || update.Record.Incarnation != member.Record.Incarnation {
		return
	}
	member.uptime.observe(update.Record.Incarnation, time.Duration(update.UptimeMillis)*time.Millisecond, now)
}

// observeSender records the uptime of the sender of a message.
func (s *State) observeSender(message *Message, now time.Time) {
	member := s.members[message.From]
	if message.UptimeMillis == 0 || member == nil || message.From == s.self || message.Incarnation != member.Record.Incarnation {
		return
	}
	member.uptime.observe(message.Incarnation, time.Duration(message.UptimeMillis)*time.Millisecond, now)
}
