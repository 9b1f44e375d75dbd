package backendproxy

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// departureRetention is how long a departure is kept to recognize stale announcements.
	departureRetention = time.Minute
	// maxDepartures bounds how many departures are kept.
	maxDepartures = 4 * MaxServers
	// lateAnnouncementTime is how long after a crash announcements that the process sent
	// before may still arrive.
	lateAnnouncementTime = 3 * time.Second
	// lateLeaveTime is how long after the start of a process, or after its first announcement, a
	// message that its server leaves may still come from the process before. Such a message names
	// no process.
	lateLeaveTime = 3 * time.Second
)

// departureReason says why a backend server was removed from the registry.
type departureReason uint8

const (
	// departureLeft means that the server said that it leaves. Its process does not return.
	departureLeft departureReason = iota
	// departureReplaced means that a process that started later uses the server's address.
	departureReplaced
	// departureCrashed means that the server's process seems to have ended.
	departureCrashed
	// departureSilent means that the server has not renewed its announcement, or that it is
	// not certain which process left. It returns with its next announcement.
	departureSilent
)

// departure is what is remembered of a backend server that was removed, so that an
// announcement that it sent before does not return it to service.
type departure struct {
	reason departureReason
	at     time.Time
	// last is the last announcement that was received. It is the zero value if none was
	// received since the start of this instance.
	last Announcement
	// leavingStatedAt is when a response of the server's process last stated its exit, or the
	// zero time if none did.
	leavingStatedAt time.Time
	// left says that the server itself said that it leaves, whatever the reason became; kept
	// that this has been kept beyond this process (Registry.ConfirmExit).
	left, kept bool
}

// outdates reports whether an announcement of the same backend server must be ignored,
// because the departure is newer.
func (d *departure) outdates(announcement *Announcement, now time.Time) bool {
	if !announcement.isOrdered() {
		// A server that never says in which order its announcements were sent is believed.
		return d.last.isOrdered()
	}
	if d.endedBefore(announcement) {
		return false
	}
	switch d.reason {
	case departureLeft, departureReplaced:
		return true
	case departureCrashed:
		if announcement.ProcessStartUnixMilli != 0 && now.Sub(d.at) < lateAnnouncementTime {
			return true
		}
	case departureSilent:
	}
	return !announcement.isNewerThan(&d.last)
}

// endedBefore reports whether the process that sent the announcement started after the one
// that departed.
func (d *departure) endedBefore(announcement *Announcement) bool {
	if d.last.ProcessStartUnixMilli == 0 {
		return announcement.ProcessStartUnixMilli > d.at.Add(-lateLeaveTime).UnixMilli()
	}
	return announcement.ProcessStartUnixMilli > d.last.ProcessStartUnixMilli
}

// recordDeparture records that a server was removed. The caller must hold mu.
func (r *Registry) recordDeparture(server *Server, reason departureReason, now time.Time) {
	departed := departure{reason: reason, at: now, last: server.Announcement}
	if server.leaving {
		departed.leavingStatedAt = server.leavingStatedAt
	}
	r.addDeparture(server.ID, departed)
}

// recordUnknownDeparture records that a server has left that is not registered. It may have
// been removed before for another reason, or have registered before this instance started. A
// repeated message changes nothing, since the server may have started again in between. The
// caller must hold mu.
func (r *Registry) recordUnknownDeparture(id fleetconfig.BackendServerID, now time.Time) {
	departed, found := r.departed[id]
	if found && departed.reason == departureLeft {
		return
	}
	if held, waits := r.held[id]; waits {
		departed.last = held
		delete(r.held, id)
	}
	departed.reason, departed.at, departed.left, departed.kept = departureLeft, now, true, false
	r.addDeparture(id, departed)
}

// markLeft records that a server said itself that it leaves. The caller must hold mu.
func (r *Registry) markLeft(id fleetconfig.BackendServerID) {
	departed := r.departed[id]
	departed.left = true
	r.departed[id] = departed
}

// addDeparture replaces the oldest departure when there is no room for another one. The caller
// must hold mu.
func (r *Registry) addDeparture(id fleetconfig.BackendServerID, departed departure) {
	if _, known := r.departed[id]; !known && len(r.departed) >= maxDepartures {
		var oldest fleetconfig.BackendServerID
		for other := range r.departed {
			if oldest == "" || r.departed[other].at.Before(r.departed[oldest].at) {
				oldest = other
			}
		}
		delete(r.departed, oldest)
	}
	r.departed[id] = departed
}

// forgetDepartures removes the departures that no announcement needs to be compared with any
// more. The caller must hold mu.
func (r *Registry) forgetDepartures(now time.Time) {
	for id := range r.departed {
		if now.Sub(r.departed[id].at) > departureRetention {
			delete(r.departed, id)
		}
	}
}
