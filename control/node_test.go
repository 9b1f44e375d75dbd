package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/thejerf/suture/v4"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/storage"
)

// other returns an instance that runs and is none of the given ones.
func (c *cluster) other(not ...fleetconfig.InstanceID) fleetconfig.InstanceID {
next:
	for id := range c.nodes {
		for _, excluded := range not {
			if id == excluded {
				continue next
			}
		}
		return id
	}
	c.t.Fatal("no other instance runs")
	return ""
}

func TestAcceptedCommandsOutliveKilledLeaders(t *testing.T) {
	c := newCluster(t, 3)
	c.snapshotBytes = 4 << 10
	c.startAll()
	var accepted []string
	for round := range 4 {
		var group sync.WaitGroup
		for i := range 30 {
			command := fmt.Sprintf("round %d command %d", round, i)
			accepted = append(accepted, command)
			group.Go(func() { c.propose(command) })
		}
		group.Wait()
		killed := c.leader().config.ID
		c.kill(killed)
		command := fmt.Sprintf("round %d without %s", round, killed)
		accepted = append(accepted, command)
		c.propose(command)
		c.start(killed, c.peers)
		c.untilAllHave(accepted...)
	}
}

func TestMemberThatLaggedGetsASnapshot(t *testing.T) {
	c := newCluster(t, 3)
	c.snapshotBytes = 8 << 10
	c.startAll()
	c.propose("first")
	lagging := c.other(c.leader().config.ID)
	c.kill(lagging)
	const commands = retainedEntries + 100
	for i := range commands {
		c.propose(fmt.Sprintf("command %d", i))
	}
	must.Less(t, commands, c.leader().Status().LogEntries)
	c.start(lagging, c.peers)
	c.untilAllHave("first", fmt.Sprintf("command %d", commands-1))
}

// A leader that nobody hears claims nothing: what is proposed to it is never
// accepted, and never called rejected once it is in the log.
func TestIsolatedLeaderStopsAccepting(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	isolated := c.leader()
	c.cut(isolated.config.ID, true)
	_, err := isolated.Propose(context.Background(), []byte("lost"))
	var unknown *OutcomeUnknownError
	must.True(t, errors.As(err, &unknown))
	must.False(t, isolated.IsLeader())
	must.Error(t, isolated.ReadBarrier(context.Background()))
	_, err = isolated.Propose(context.Background(), []byte("refused"))
	var notLeader *NotLeaderError
	must.True(t, errors.As(err, &notLeader))
	must.Eq(t, fleetconfig.InstanceID(""), notLeader.Leader)

	c.propose("meanwhile")
	c.cut(isolated.config.ID, false)
	c.untilAllHave("before", "meanwhile")
	must.SliceNotContains(t, isolated.machine.list(), "refused")
}

// A member that lost its disk receives the log and counts for nothing until its
// new disk is admitted.
func TestBlankDiskCountsOnlyOnceAdmitted(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	leader := c.leader().config.ID
	blank := c.other(leader)
	third := c.other(leader, blank)
	c.kill(blank)
	must.NoError(t, os.RemoveAll(c.dataFolder(blank)))
	c.start(blank, c.peers)
	c.untilAllHave("before")

	// The blank disk and the leader are no majority.
	c.kill(third)
	c.until("the leader to step down", func() bool { return !c.nodes[leader].IsLeader() })
	c.until("no leader", func() bool {
		_, _, known := c.nodes[leader].Leader()
		return !known
	})
	c.start(third, c.peers)
	c.propose("after")

	admitted := c.leader()
	must.NotEq(t, blank, admitted.config.ID)
	must.NoError(t, admitted.AdmitDisk(t.Context(), blank))
	must.NoError(t, admitted.AdmitDisk(t.Context(), blank))
	c.kill(c.other(admitted.config.ID, blank))
	c.propose("with the new disk")
	c.untilAllHave("before", "after", "with the new disk")
}

func TestMembersAreAddedAndRemoved(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	c.propose("alone")
	for _, id := range []fleetconfig.InstanceID{"d1", "d2"} {
		c.start(id, nil)
		must.NoError(t, c.leader().AddMember(t.Context(), id, string(id)))
	}
	c.untilAllHave("alone")
	must.NoError(t, c.leader().RemoveMember(t.Context(), "c0"))
	c.kill("c0")
	c.propose("without the first")
	c.untilAllHave("alone", "without the first")
	must.Len(t, 2, c.leader().Status().Members)
}

// A member that starts again at another address is found by its own calls.
func TestMemberThatMovedIsFoundAgain(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	id := c.other(c.leader().config.ID)
	c.kill(id)
	c.moved = map[fleetconfig.InstanceID]string{id: "elsewhere"}
	c.start(id, c.peers)
	c.propose("after")
	c.untilAllHave("before", "after")
	must.NoError(t, c.leader().AddMember(t.Context(), id, "elsewhere"))
	member := c.leader().Status().Members
	must.True(t, slices.ContainsFunc(member, func(m MemberStatus) bool { return m.Address == "elsewhere" && m.Voter }))
}

func TestPlannedStopHandsOver(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	stopped := c.leader()
	term := stopped.Status().Term
	c.network.mu.Lock()
	c.network.delay = testHeartbeat / 10
	c.network.mu.Unlock()
	c.stop(stopped.config.ID)
	must.Eq(t, 1, c.network.handedOver)
	c.propose("after")
	// One campaign, without a failed one before it.
	must.Eq(t, term+1, c.leader().Status().Term)
}

// A leader whose loop stands still, as that of a frozen process or one with a hung
// disk does, is no longer certain of its role, although it does nothing.
func TestLeaderThatStandsStillIsNotCertain(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	leader := c.leader()
	leader.machine.blocked = make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		_, err := leader.Propose(context.Background(), []byte("held up"))
		ended <- err
	}()
	c.until("the end of certainty", func() bool { return !leader.IsLeader() })
	must.Eq(t, "leader", leader.Status().Role)
	close(leader.machine.blocked)
	must.NoError(t, <-ended)
	c.until("certainty again", leader.IsLeader)
}

// TestServeGoesOnFromTheFiles serves a node again whose state machine kept its
// state: no command is applied twice.
func TestServeGoesOnFromTheFiles(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	c.propose("once")
	node := c.nodes["c0"]
	node.stop()
	<-node.ended
	c.serveAgain(node)
	c.propose("then")
	must.Eq(t, []string{"once", "then"}, node.machine.list())
}

// failingFiles is a file system whose log cannot be synced while fail is set.
type failingFiles struct {
	storage.OSFS
	fail atomic.Bool
}

type failingFile struct {
	storage.File
	files *failingFiles
}

func (f *failingFiles) Append(name string) (storage.File, error) {
	file, err := f.OSFS.Append(name)
	return &failingFile{File: file, files: f}, err
}

func (f *failingFile) Sync() error {
	if f.files.fail.Load() {
		return errors.New("injected fault")
	}
	return f.File.Sync()
}

// A command whose sync failed may be on the disk or not: its outcome is unknown,
// and the node goes on only from what it reads again.
func TestFailedSyncLeavesTheOutcomeUnknown(t *testing.T) {
	c := newCluster(t, 1)
	files := &failingFiles{}
	c.files = files
	c.startAll()
	c.propose("once")
	node := c.leader()
	files.fail.Store(true)
	_, err := node.Propose(t.Context(), []byte("unsynced"))
	var unknown *OutcomeUnknownError
	must.True(t, errors.As(err, &unknown))
	must.ErrorContains(t, <-node.ended, "injected fault")
	must.Eq(t, []string{"once"}, node.machine.list())
	files.fail.Store(false)
	c.serveAgain(node)
	c.propose("then")
	must.SliceContains(t, node.machine.list(), "then")
}

func TestDamagedLogEndsTheSupervisor(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	c.propose("once")
	c.propose("twice")
	c.kill("c0")
	name := filepath.Join(c.dataFolder("c0"), fmt.Sprintf("%016x.log", 1))
	data, err := os.ReadFile(name)
	must.NoError(t, err)
	data[26] ^= 1
	must.NoError(t, os.WriteFile(name, data, 0o600))
	c.start("c0", c.peers)
	err = <-c.nodes["c0"].ended
	must.ErrorIs(t, err, suture.ErrTerminateSupervisorTree)
	must.ErrorContains(t, err, "admit the new disk")
	delete(c.nodes, "c0")
}
