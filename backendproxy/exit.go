package backendproxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/serverexit"
)

// ExitKeeper keeps exits of backend servers for a later process of this instance.
// Implementations must be safe for concurrent use.
type ExitKeeper interface {
	// Keep returns once the record outlives this process, or an error.
	Keep(ctx context.Context, record serverexit.Record) error
}

// KeepExits makes ConfirmExit keep exits with keeper. If awaitFormer is set, announcements are
// held back until RestoreExits is called with the exits that a former process of this instance
// has acknowledged. It must be called before the registry is used.
func (r *Registry) KeepExits(keeper ExitKeeper, awaitFormer bool) {
	r.exits = keeper
	if awaitFormer {
		r.held = make(map[fleetconfig.BackendServerID]Announcement)
	}
}

// ConfirmExit returns once the exit of a backend server, if it drains or has left, outlives this
// process. An announcement or departure may be acknowledged only after that. It returns an error
// if the exit could not be kept; the exit itself is in force.
func (r *Registry) ConfirmExit(ctx context.Context, id fleetconfig.BackendServerID) error {
	if r.exits == nil {
		return nil
	}
	record, unkept := r.unkeptExit(id)
	if !unkept {
		return nil
	}
	if err := r.exits.Keep(ctx, record); err != nil {
		return errors.Wrapf(err, "the exit of backend server %s is in force, but not kept", id)
	}
	r.markKept(id, record)
	return nil
}

// unkeptExit returns the exit of a server that has not been kept, if there is one.
func (r *Registry) unkeptExit(id fleetconfig.BackendServerID) (serverexit.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if announcement, found := r.held[id]; found {
		return exitOf(id, &announcement, false), announcement.State == StateDraining
	}
	if server := r.servers[id]; server != nil {
		return exitOf(id, &server.Announcement, server.leaving), server.draining && !server.exitKept
	}
	departed, found := r.departed[id]
	if !found || !departed.left || departed.kept {
		return serverexit.Record{}, false
	}
	record := exitOf(id, &departed.last, !departed.leavingStatedAt.IsZero())
	record.Final = departed.reason == departureLeft
	record.AgeMillis = uint64(max(0, clock.Since(departed.at)).Milliseconds())
	return record, true
}

func exitOf(id fleetconfig.BackendServerID, last *Announcement, leaving bool) serverexit.Record {
	return serverexit.Record{Server: id, ProcessStartUnixMilli: last.ProcessStartUnixMilli, Sequence: last.Sequence, Leaving: leaving}
}

// markKept records that an exit has been kept, unless another one of the same server has taken
// place meanwhile.
func (r *Registry) markKept(id fleetconfig.BackendServerID, record serverexit.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server := r.servers[id]; server != nil {
		server.exitKept = !record.Final && server.draining && server.Announcement.ProcessStartUnixMilli == record.ProcessStartUnixMilli
		return
	}
	departed, found := r.departed[id]
	if found && (departed.reason == departureLeft) == record.Final && departed.last.ProcessStartUnixMilli == record.ProcessStartUnixMilli {
		departed.kept = true
		r.departed[id] = departed
	}
}

// hold keeps an announcement until the exits of the former process are known. The caller must
// hold mu.
func (r *Registry) hold(id fleetconfig.BackendServerID, announcement *Announcement) error {
	known, found := r.held[id]
	if !found && len(r.held) >= MaxServers {
		return errors.Newf("this instance already has %d backend servers; announce the server to another instance", MaxServers)
	}
	if !found || announcement.isNewerThan(&known) {
		r.held[id] = *announcement
	}
	return nil
}

// RestoreExits adds the exits that a former process of this instance has acknowledged, removes
// servers that an outdated announcement has registered, and registers those whose announcements
// were held back. It returns the errors of announcements that could not be registered.
func (r *Registry) RestoreExits(records []serverexit.Record, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range records {
		record := &records[i]
		if known, found := r.departed[record.Server]; found && known.reason == departureLeft {
			continue
		}
		departed := departure{reason: departureSilent, at: now.Add(-record.Age()), left: true, kept: true, last: Announcement{
			ProcessStartUnixMilli: record.ProcessStartUnixMilli, Sequence: record.Sequence,
		}}
		if record.Final {
			departed.reason = departureLeft
		}
		if record.Leaving {
			departed.leavingStatedAt = departed.at
		}
		if server := r.servers[record.Server]; server != nil && departed.outdates(&server.Announcement, now) {
			server.admission.leave()
			delete(r.servers, record.Server)
			r.publish()
		}
		r.addDeparture(record.Server, departed)
	}
	held := r.held
	r.held = nil
	var err error
	for id := range held {
		announcement := held[id]
		err = errors.CombineErrors(err, r.announce(id, &announcement, now))
	}
	return err
}
