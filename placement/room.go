package placement

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/queue"
)

const (
	// NewsLifetime is the age at which the news of a server says nothing any more. A server
	// under load works off its queue and fills it again in less.
	NewsLifetime = 3 * time.Second
	// freshFor is the age up to which the news counts in full: about the time between two
	// load reports of a server of the same failure domain.
	freshFor = time.Second
	// believedRefusals is the number of refusals for want of room after which a request is
	// sent only to servers that are known to have room.
	believedRefusals = 2
	// minWitnesses is how many servers must be known to have no room before those of which
	// nothing is known are presumed to have none either, but for the trials.
	minWitnesses = 4
	// TrialInterval is the minimum time between two trials of this ingress: requests of a
	// service that are sent to servers of which nothing is known although the others have no
	// room. Whatever an ingress believes, it finds room that has come back within this time.
	TrialInterval = 200 * time.Millisecond
)

// Server is what an ingress knows of one backend server.
type Server struct {
	// Outlook is that of the last news, Slowness its slowness, 0 if unknown.
	Outlook  queue.Outlook
	Slowness float64
	// Slots is the number of requests that it runs concurrently, InFlight the number of those
	// that ran or waited at the time of the news.
	Slots, InFlight uint32
	// Sent is the number of requests that this ingress has sent since the news and that have
	// not ended.
	Sent uint32
	// HeardAt is when the news was received, zero if there is none.
	HeardAt time.Time
}

// Request is a request that needs room at a server.
type Request struct {
	Urgency fleetconfig.Urgency
	// ServiceTime is the usual service time of such requests, zero if unknown.
	ServiceTime time.Duration
	// Deadline is when the request is abandoned, TargetTime when it misses its latency
	// target, zero if it has none.
	Deadline, TargetTime time.Time
	// StartBy is the latest time at which it may start.
	StartBy time.Time
	// Yielding says that all requests that are at least as urgent go first, and that none of the
	// slots that are left to less urgent requests is for this one.
	Yielding bool
	// BusyRefusals is how many servers have refused it for want of room.
	BusyRefusals int
}

// Wait returns the expected wait of the request for a slot of the server, and false if
// nothing is known of it.
func (s *Server) Wait(r *Request, now time.Time) (time.Duration, bool) {
	age := now.Sub(s.HeardAt)
	if s.HeardAt.IsZero() || age >= NewsLifetime {
		return 0, false
	}
	slots := max(1, s.Slots)
	if s.Outlook.NextSlot == 0 {
		free := slots - min(s.InFlight, slots)
		if s.Sent < free {
			return 0, true
		}
		return time.Duration(s.Sent-free+1) * r.ServiceTime / time.Duration(slots), true
	}
	wait := s.Outlook.Wait(r.Urgency)
	if r.Yielding {
		wait = s.Outlook.BacklogAhead(r.Urgency)
	}
	wait += time.Duration(s.Sent) * r.ServiceTime / time.Duration(slots)
	if age > freshFor {
		wait = time.Duration(float64(wait) * float64(NewsLifetime-age) / float64(NewsLifetime-freshFor))
	}
	return wait, true
}

// lateBy returns by how much the request would miss its limit at the server after the wait,
// by the rules of the server's queue. It is zero or negative if the server would run it.
func (s *Server) lateBy(r *Request, wait time.Duration, now time.Time) time.Duration {
	if wait == 0 {
		return 0
	}
	limit := r.Deadline
	if s.Outlook.Overloaded && !r.TargetTime.IsZero() && r.TargetTime.Before(limit) {
		limit = r.TargetTime
	}
	runs := r.ServiceTime
	if s.Slowness > 0 {
		runs = time.Duration(s.Slowness * float64(runs))
	}
	late := max(now.Add(wait+runs).Sub(limit), now.Add(wait).Sub(r.StartBy))
	if s.Outlook.Full && !s.Outlook.Displaces(r.Urgency) {
		late = max(late, s.Outlook.NextSlot)
	}
	return late
}

// HasRoom reports whether the server is known to run the request in time.
func (s *Server) HasRoom(r *Request, now time.Time) bool {
	wait, known := s.Wait(r, now)
	return known && s.lateBy(r, wait, now) <= 0
}

// Survey is the result of asking several servers for room.
type Survey struct {
	// room, unknown and full count the servers by what is known of them.
	room, unknown, full int
	// roomIn is the shortest time until a full server is expected to have room.
	roomIn time.Duration
	// wait is the shortest known wait.
	wait time.Duration
}

// Add adds a server that may be selected for the request.
func (v *Survey) Add(s *Server, r *Request, now time.Time) {
	wait, known := s.Wait(r, now)
	if !known {
		v.unknown++
		return
	}
	if v.room+v.full == 0 || wait < v.wait {
		v.wait = wait
	}
	late := s.lateBy(r, wait, now)
	if late <= 0 {
		v.room++
		return
	}
	if v.full == 0 || late < v.roomIn {
		v.roomIn = late
	}
	v.full++
}

// Wait returns the shortest expected wait for a slot of the servers whose news is known.
func (v *Survey) Wait() time.Duration { return v.wait }

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Admit means that the request is sent to a server.
	Admit Verdict = iota
	// Trial means that it may be sent to a server of which nothing is known if the last trial
	// is TrialInterval ago, and is refused otherwise.
	Trial
	// Refuse means that it is refused.
	Refuse
)

// Decide returns the decision, and for a refusal the time until there is room, as far as is
// known. A request for which no server may be selected is admitted: why there is none is not
// decided here.
func (v *Survey) Decide(r *Request) (Verdict, time.Duration) {
	switch {
	case v.room > 0 || v.full == 0:
		return Admit, 0
	case r.BusyRefusals >= believedRefusals:
		return Refuse, v.roomIn
	case v.unknown == 0:
		return Refuse, v.roomIn
	case v.full < minWitnesses:
		return Admit, 0
	}
	return Trial, v.roomIn
}
