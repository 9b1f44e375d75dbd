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

// otherThan returns a running instance other than the excluded ones.
func (c *cluster) otherThan(excluded ...fleetconfig.InstanceID) fleetconfig.InstanceID {
next:
	for id := range c.nodes {
		for _, exclude := range excluded {
			if id == exclude {
				continue next
			}
		}
		return id
	}
	c.t.Fatal("no other instance runs")
	return ""
}

func TestCommittedCommandsSurviveLeaderFailures(t *testing.T) {
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
		c.waitUntilAllApplied(accepted...)
	}
}

func TestLaggingMemberReceivesSnapshot(t *testing.T) {
	c := newCluster(t, 3)
	c.snapshotBytes = 8 << 10
	c.startAll()
	c.propose("first")
	lagging := c.otherThan(c.leader().config.ID)
	c.kill(lagging)
	const commands = retainedEntries + 100
	for i := range commands {
		c.propose(fmt.Sprintf("command %d", i))
	}
	must.Less(t, commands, c.leader().Status().LogEntries)
	c.start(lagging, c.peers)
	c.waitUntilAllApplied("first", fmt.Sprintf("command %d", commands-1))
}

// A leader without a connection to the others loses its lease. The outcome of a command
// that it has already appended is reported as unknown, not as rejected; later commands
// are rejected.
func TestIsolatedLeaderCommitsNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	isolated := c.leader()
	c.setDisconnected(isolated.config.ID, true)
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
	c.setDisconnected(isolated.config.ID, false)
	c.waitUntilAllApplied("before", "meanwhile")
	must.SliceNotContains(t, isolated.machine.list(), "refused")
}

// A member that lost its disk receives the log, but does not count towards majorities
// until its new disk is admitted.
func TestBlankDiskDoesNotCountUntilAdmitted(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	leader := c.leader().config.ID
	blank := c.otherThan(leader)
	third := c.otherThan(leader, blank)
	c.kill(blank)
	must.NoError(t, os.RemoveAll(c.dataFolder(blank)))
	c.start(blank, c.peers)
	c.waitUntilAllApplied("before")

	// The leader and the member with the blank disk are not a majority.
	c.kill(third)
	c.waitUntil("the leader to step down", func() bool { return !c.nodes[leader].IsLeader() })
	c.waitUntil("no leader", func() bool {
		_, _, known := c.nodes[leader].Leader()
		return !known
	})
	c.start(third, c.peers)
	c.propose("after")

	currentLeader := c.leader()
	must.NotEq(t, blank, currentLeader.config.ID)
	must.NoError(t, currentLeader.AdmitDisk(t.Context(), blank))
	must.NoError(t, currentLeader.AdmitDisk(t.Context(), blank))
	c.kill(c.otherThan(currentLeader.config.ID, blank))
	c.propose("with the new disk")
	c.waitUntilAllApplied("before", "after", "with the new disk")
}

func TestAddAndRemoveMember(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	c.propose("alone")
	for _, id := range []fleetconfig.InstanceID{"d1", "d2"} {
		c.start(id, nil)
		must.NoError(t, c.leader().AddMember(t.Context(), id, string(id)))
	}
	c.waitUntilAllApplied("alone")
	must.NoError(t, c.leader().RemoveMember(t.Context(), "c0"))
	c.kill("c0")
	c.propose("without the first")
	c.waitUntilAllApplied("alone", "without the first")
	must.Len(t, 2, c.leader().Status().Members)
}

// A member that restarts at another address is reached there, since its own calls
// contain the address.
func TestMemberIsReachedAtNewAddress(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	id := c.otherThan(c.leader().config.ID)
	c.kill(id)
	c.newAddresses = map[fleetconfig.InstanceID]string{id: "elsewhere"}
	c.start(id, c.peers)
	c.propose("after")
	c.waitUntilAllApplied("before", "after")
	must.NoError(t, c.leader().AddMember(t.Context(), id, "elsewhere"))
	members := c.leader().Status().Members
	must.True(t, slices.ContainsFunc(members, func(m MemberStatus) bool { return m.Address == "elsewhere" && m.Voter }))
}

func TestPlannedStopTransfersLeadership(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll()
	c.propose("before")
	stopped := c.leader()
	term := stopped.Status().Term
	c.network.mu.Lock()
	c.network.delay = testHeartbeat / 10
	c.network.mu.Unlock()
	c.stop(stopped.config.ID)
	must.Eq(t, 1, c.network.leadershipTransfers)
	c.propose("after")
	// The transfer took one election: the term has grown by one.
	must.Eq(t, term+1, c.leader().Status().Term)
}

// A leader whose loop is blocked, for example because the process is suspended or the disk
// hangs, does not count as the leader once its lease has expired, although the loop handles
// no event.
func TestBlockedLeaderLosesLease(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	leader := c.leader()
	leader.machine.blocked = make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		_, err := leader.Propose(context.Background(), []byte("held up"))
		ended <- err
	}()
	c.waitUntil("the end of the lease", func() bool { return !leader.IsLeader() })
	must.Eq(t, "leader", leader.Status().Role)
	close(leader.machine.blocked)
	must.NoError(t, <-ended)
	c.waitUntil("a new lease", leader.IsLeader)
}

// When Serve is restarted with the same state machine, no command is applied twice.
func TestServeRestartDoesNotReapplyCommands(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	c.propose("once")
	node := c.nodes["c0"]
	node.stop()
	<-node.ended
	c.serve(node)
	c.propose("then")
	must.Eq(t, []string{"once", "then"}, node.machine.list())
}

// failingFS is a file system on which syncs of files that were opened by Append fail while
// fail is set.
type failingFS struct {
	storage.OSFS
	fail atomic.Bool
}

type failingFile struct {
	storage.File
	files *failingFS
}

func (f *failingFS) Append(name string) (storage.File, error) {
	file, err := f.OSFS.Append(name)
	return &failingFile{File: file, files: f}, err
}

func (f *failingFile) Sync() error {
	if f.files.fail.Load() {
		return errors.New("injected fault")
	}
	return f.File.Sync()
}

// A command whose sync failed may or may not be on the disk. Its outcome is unknown,
// and the node continues only after it has read the disk again.
func TestProposeReturnsOutcomeUnknownAfterFailedSync(t *testing.T) {
	c := newCluster(t, 1)
	files := &failingFS{}
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
	c.serve(node)
	c.propose("then")
	must.SliceContains(t, node.machine.list(), "then")
}

func TestCorruptLogTerminatesSupervisor(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	c.propose("once")
	c.propose("twice")
	c.kill("c0")
	name := filepath.Join(c.dataFolder("c0"), fmt.Sprintf("%016x.log", 1))
	data, err := os.ReadFile(name)
	must.NoError(t, err)
	data[26] ^= 1 // In the payload of the first record, whose header has 24 bytes.
	must.NoError(t, os.WriteFile(name, data, 0o600))
	c.start("c0", c.peers)
	err = <-c.nodes["c0"].ended
	must.ErrorIs(t, err, suture.ErrTerminateSupervisorTree)
	must.ErrorContains(t, err, "admit the new disk")
	delete(c.nodes, "c0")
}
