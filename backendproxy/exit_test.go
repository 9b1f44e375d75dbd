package backendproxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/serverexit"
)

// recordingKeeper records what it is asked to keep, and fails with err.
type recordingKeeper struct {
	records []serverexit.Record
	err     error
}

// Keep implements ExitKeeper.
func (k *recordingKeeper) Keep(_ context.Context, record serverexit.Record) error {
	k.records = append(k.records, record)
	return k.err
}

func exitAnnouncement(state string, sequence uint64) Announcement {
	return Announcement{
		Service: "catalogue", Address: "127.0.0.1:80", Slots: 1, State: state,
		LifetimeMillis: MaxLifetime.Milliseconds(), ProcessStartUnixMilli: 1000, Sequence: sequence,
	}
}

// Guards against an exit that is acknowledged without being kept, and one that is sent to the witnesses again with each check-in.
func TestExitIsKeptOnceBeforeItIsAcknowledged(t *testing.T) {
	t.Parallel()
	now := clock.Now()
	registry, keeper := newTestRegistry(), &recordingKeeper{}
	registry.KeepExits(keeper, false)
	must.NoError(t, registry.Announce("b1", exitAnnouncement(StateReady, 1), now))
	must.NoError(t, registry.ConfirmExit(t.Context(), "b1"))
	must.SliceEmpty(t, keeper.records)

	keeper.err = errors.New("cut off")
	must.NoError(t, registry.Announce("b1", exitAnnouncement(StateDraining, 2), now))
	must.Error(t, registry.ConfirmExit(t.Context(), "b1"))
	must.Error(t, registry.ConfirmExit(t.Context(), "b1"))
	keeper.err = nil
	for sequence := range uint64(3) {
		must.NoError(t, registry.Announce("b1", exitAnnouncement(StateDraining, 3+sequence), now))
		must.NoError(t, registry.ConfirmExit(t.Context(), "b1"))
	}
	must.Len(t, 3, keeper.records)
	must.Eq(t, serverexit.Record{Server: "b1", ProcessStartUnixMilli: 1000, Sequence: 3}, keeper.records[2])

	for range 2 {
		registry.Leave("b1", now)
		must.NoError(t, registry.ConfirmExit(t.Context(), "b1"))
	}
	must.Len(t, 4, keeper.records)
	must.True(t, keeper.records[3].Final)
}

// Guards against a server that is registered, or lost, while the exits of the former process are not known yet.
func TestAnnouncementsWaitForExitsOfFormerProcess(t *testing.T) {
	t.Parallel()
	now := clock.Now()
	registry, keeper := newTestRegistry(), &recordingKeeper{}
	registry.KeepExits(keeper, true)
	announce := func(id fleetconfig.BackendServerID, state string, sequence uint64) {
		announcement := exitAnnouncement(state, sequence)
		announcement.Address = fmt.Sprintf("127.0.0.1:%d", 1000+len(id))
		must.NoError(t, registry.Announce(id, announcement, now))
	}
	announce("stays", StateReady, 2)
	announce("stays", StateReady, 1)
	announce("left", StateReady, 5)
	announce("drains", StateDraining, 5)
	announce("leaves soon", StateReady, 5)
	must.SliceEmpty(t, registry.servers)
	for _, id := range []fleetconfig.BackendServerID{"stays", "left", "leaves soon"} {
		must.NoError(t, registry.ConfirmExit(t.Context(), id))
	}
	must.SliceEmpty(t, keeper.records)
	registry.Leave("leaves soon", now)
	must.NoError(t, registry.ConfirmExit(t.Context(), "leaves soon"))
	must.NoError(t, registry.ConfirmExit(t.Context(), "drains"))
	must.Eq(t, []serverexit.Record{
		{Server: "leaves soon", Final: true, ProcessStartUnixMilli: 1000, Sequence: 5},
		{Server: "drains", ProcessStartUnixMilli: 1000, Sequence: 5},
	}, keeper.records)

	must.NoError(t, registry.RestoreExits([]serverexit.Record{{Server: "left", Final: true, ProcessStartUnixMilli: 1000, Sequence: 4}}, now))
	announce("leaves soon", StateReady, 6)
	registered := registry.Registry.servers
	must.MapLen(t, 2, registered)
	must.Eq(t, 2, registered["stays"].Announcement.Sequence)
	must.True(t, registered["drains"].draining)
}

// Guards against a server that stays in service although a witness that was learned of later knows its exit.
func TestExitThatIsRecalledLateEndsService(t *testing.T) {
	t.Parallel()
	now := clock.Now()
	registry := newTestRegistry()
	registry.KeepExits(&recordingKeeper{}, true)
	must.NoError(t, registry.RestoreExits(nil, now))
	must.NoError(t, registry.Announce("b1", exitAnnouncement(StateReady, 2), now))
	must.True(t, registry.acquires(t, "b1"))
	must.NoError(t, registry.RestoreExits([]serverexit.Record{{Server: "b1", ProcessStartUnixMilli: 1000, Sequence: 4, Leaving: true, AgeMillis: 700}}, now))
	must.SliceEmpty(t, registry.servers)
	must.NoError(t, registry.Announce("b1", exitAnnouncement(StateReady, 3), now.Add(time.Second)))
	must.SliceEmpty(t, registry.servers)
	// The process has stated its exit, so that it is only known as draining from then on.
	must.NoError(t, registry.Announce("b1", exitAnnouncement(StateReady, 5), now.Add(time.Second)))
	must.False(t, registry.acquires(t, "b1"))
	restarted := exitAnnouncement(StateReady, 1)
	restarted.ProcessStartUnixMilli++
	must.NoError(t, registry.Announce("b1", restarted, now.Add(time.Second)))
	must.True(t, registry.acquires(t, "b1"))
}
