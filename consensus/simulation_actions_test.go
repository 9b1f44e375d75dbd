package consensus

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

const simSteps = 250

// simAction is a kind of event with its relative frequency.
type simAction struct {
	weight int
	run    func(s *simulation)
}

var simActions = []simAction{
	{30, (*simulation).deliverAny},
	{14, (*simulation).runHealthyBriefly},
	{12, (*simulation).proposeOnAll},
	{8, (*simulation).advanceTimeRandomly},
	{4, (*simulation).duplicateAny},
	{4, (*simulation).dropSomeMessages},
	{4, (*simulation).crashAny},
	{8, (*simulation).restartSomeServers},
	{1, (*simulation).replaceDisk},
	{1, (*simulation).swapDiskBack},
	{3, (*simulation).toggleSuspended},
	{3, (*simulation).blockAny},
	{5, (*simulation).unblockAny},
	{6, (*simulation).proposeMembershipChange},
	{4, (*simulation).compactAny},
	{2, (*simulation).transfer},
}

// Members are subjected to random faults: lost, duplicated and reordered messages,
// crashes, blank and swapped disks, suspended processes, blocked networks, membership
// changes and leadership transfers. The invariants are checked after each event.
// At the end all faults are removed, and the members must commit a command if a
// majority of the voters have their admitted disks.
func TestSimulatedFaultsKeepLogConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.SampledFrom([]int{1, 3, 3, 5, 7}).Draw(t, "voters"))
		s.runHealthy(30)
		var weighted []func(*simulation)
		for _, action := range simActions {
			for range action.weight {
				weighted = append(weighted, action.run)
			}
		}
		for range simSteps {
			at := rapid.IntRange(0, len(weighted)-1).Draw(t, "action")
			weighted[at](s)
			s.invariants.checkNodes(s)
		}
		s.removeFaults()
		s.checkMakesProgress()
	})
}

func (s *simulation) deliverAny() {
	if len(s.messages) > 0 {
		s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message"), false)
	}
}

func (s *simulation) duplicateAny() {
	if len(s.messages) > 0 {
		s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message"), true)
	}
}

func (s *simulation) dropSomeMessages() {
	keep := s.messages[:0]
	for _, message := range s.messages {
		if s.rng.IntN(10) >= 3 {
			keep = append(keep, message)
		}
	}
	s.messages = keep
}

func (s *simulation) runHealthyBriefly() { s.runHealthy(rapid.IntRange(1, 8).Draw(s.t, "rounds")) }

func (s *simulation) advanceTimeRandomly() {
	s.advanceTime(time.Duration(rapid.IntRange(1, 700).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *simulation) proposeOnAll() {
	for _, server := range s.servers {
		if server.node == nil || server.suspended {
			continue
		}
		s.commands++
		_, _, _ = server.node.Propose(s.now, fmt.Appendf(nil, "command %d", s.commands))
		s.afterEvent(server)
	}
}

func (s *simulation) crashAny() { s.crash(s.anyServer()) }

func (s *simulation) restartSomeServers() {
	for _, server := range s.servers {
		if server.node == nil && s.chance("restart", 60) {
			s.start(server)
		}
	}
}

func (s *simulation) replaceDisk() {
	server := s.anyServer()
	s.crash(server)
	s.attachNewDisk(server)
	s.start(server)
}

// swapDiskBack replaces a server's disk by one that it had before.
func (s *simulation) swapDiskBack() {
	server := s.anyServer()
	for number := range len(s.disks) {
		disk := s.disks[diskID(number)]
		if disk != server.disk && disk.admits(server.id) {
			s.crash(server)
			server.disk = disk
			s.start(server)
			return
		}
	}
}

// toggleSuspended suspends a running process or resumes a suspended one.
func (s *simulation) toggleSuspended() {
	server := s.anyServer()
	server.suspended = !server.suspended && server.node != nil
}

// blockAny blocks messages from, to, or from and to a server.
func (s *simulation) blockAny() {
	server := s.anyServer()
	switch rapid.IntRange(0, 2).Draw(s.t, "direction") {
	case 0:
		server.sendBlockedSince = s.now
	case 1:
		server.receiveBlockedSince = s.now
	default:
		server.sendBlockedSince, server.receiveBlockedSince = s.now, s.now
	}
}

func (s *simulation) unblockAny() {
	server := s.anyServer()
	server.sendBlockedSince, server.receiveBlockedSince = time.Time{}, time.Time{}
}

func (s *simulation) compactAny() {
	server := s.anyServer()
	if server.node == nil || server.suspended {
		return
	}
	s.processReady(server)
	snapshot := server.node.SnapshotMetadata()
	stored := &server.disk.stored
	if snapshot.Index <= stored.Snapshot.Index {
		return
	}
	stored.Entries = stored.Entries[snapshot.Index-stored.Snapshot.Index:]
	stored.Snapshot = snapshot
	server.disk.hash = server.hash
	server.node.Compact(snapshot, uint64(rapid.IntRange(0, 5).Draw(s.t, "retain")))
}

func (s *simulation) transfer() {
	for _, server := range s.servers {
		if server.node != nil && !server.suspended && server.node.TransferLeadership(s.now) == nil {
			s.afterEvent(server)
		}
	}
}

// proposeMembershipChange proposes on every server to change the role of one
// target server: to admit the target's current disk as a learner, to make the
// target a voter, or to remove it. In some cases the proposal makes the target a
// voter and removes a random server in one step. Such a proposal must be rejected
// if it changes two voters.
func (s *simulation) proposeMembershipChange() {
	target := s.anyServer()
	kind := rapid.IntRange(0, 3).Draw(s.t, "change")
	for _, server := range s.servers {
		if server.node == nil || server.suspended {
			continue
		}
		current := server.node.Membership()
		learner := Member{ID: target.id, Disk: target.disk.id}
		next := current.With(learner)
		if current.Admits(target.id, target.disk.id) {
			learner.Voter = true
			next = current.With(learner)
		}
		if kind == 0 && current.VoterCount() > 2 {
			next = current.Without(target.id)
		}
		if kind == 1 {
			learner.Voter = true
			next = current.With(learner).Without(s.anyServer().id)
		}
		_, _, _ = server.node.ProposeMembership(s.now, next)
		s.afterEvent(server)
	}
}

// removeFaults unblocks, resumes and restarts all servers and runs them for 200 rounds.
func (s *simulation) removeFaults() {
	for _, server := range s.servers {
		server.sendBlockedSince, server.receiveBlockedSince = time.Time{}, time.Time{}
		server.suspended = false
		if server.node == nil {
			s.start(server)
		}
	}
	s.runHealthy(200)
}

// checkMakesProgress checks that a command is committed, provided that in every
// member's membership a majority of the voters have their admitted disks.
func (s *simulation) checkMakesProgress() {
	allBlank := true
	for _, server := range s.servers {
		if server.node.IsBlank() {
			continue
		}
		allBlank = false
		if !s.majorityHasAdmittedDisks(server.node.Membership()) {
			return
		}
	}
	if allBlank {
		return
	}
	before := len(s.invariants.log)
	s.proposeOnAll()
	s.runHealthy(40)
	if len(s.invariants.log) <= before {
		s.t.Fatalf("no command was committed after all faults were removed: %v", s.describe())
	}
}

func (s *simulation) majorityHasAdmittedDisks(membership Membership) bool {
	count := 0
	for _, member := range membership.Members {
		server := s.server(member.ID)
		if member.Voter && server.disk.id == member.Disk {
			count++
		}
	}
	return count >= membership.majority()
}

func (s *simulation) describe() (lines []string) {
	for _, server := range s.servers {
		lines = append(lines, fmt.Sprintf("server %s, disk %s: %+v\n", server.id, server.disk.id, server.node.Status()))
	}
	return lines
}
