package consensus

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

const soupSteps = 250

// soupAction is one kind of event with its weight.
type soupAction struct {
	weight int
	run    func(s *soup)
}

var soupActions = []soupAction{
	{30, (*soup).deliverAny},
	{14, (*soup).calmShort},
	{12, (*soup).proposeAnywhere},
	{8, (*soup).passAny},
	{4, (*soup).duplicateAny},
	{4, (*soup).dropAny},
	{4, (*soup).crashAny},
	{8, (*soup).restartAny},
	{1, (*soup).replaceDisk},
	{1, (*soup).swapDiskBack},
	{3, (*soup).freezeAny},
	{3, (*soup).cutAny},
	{5, (*soup).healAny},
	{6, (*soup).changeMembers},
	{4, (*soup).compactAny},
	{2, (*soup).transfer},
}

// TestLogSurvivesFaults drives the members through faults in any order. The
// checks run after each event; at the end, all is healed and the members must
// agree on a leader if a majority of the disks is left.
func TestLogSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSoup(t, rapid.SampledFrom([]int{1, 3, 3, 5, 7}).Draw(t, "voters"))
		s.calm(30)
		var weighted []func(*soup)
		for _, action := range soupActions {
			for range action.weight {
				weighted = append(weighted, action.run)
			}
		}
		for range soupSteps {
			at := rapid.IntRange(0, len(weighted)-1).Draw(t, "action")
			weighted[at](s)
			s.checks.state(s)
		}
		s.healAll()
		s.mustMakeProgress()
	})
}

func (s *soup) deliverAny() {
	if len(s.messages) > 0 {
		s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message"), false)
	}
}

func (s *soup) duplicateAny() {
	if len(s.messages) > 0 {
		s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message"), true)
	}
}

func (s *soup) dropAny() {
	keep := s.messages[:0]
	for _, message := range s.messages {
		if s.rng.IntN(10) >= 3 {
			keep = append(keep, message)
		}
	}
	s.messages = keep
}

func (s *soup) calmShort() { s.calm(rapid.IntRange(1, 8).Draw(s.t, "rounds")) }

func (s *soup) passAny() {
	s.pass(time.Duration(rapid.IntRange(1, 700).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *soup) proposeAnywhere() {
	for _, server := range s.servers {
		if server.node == nil || server.frozen {
			continue
		}
		s.commands++
		_, _, _ = server.node.Propose(s.now, fmt.Appendf(nil, "command %d", s.commands))
		s.afterEvent(server)
	}
}

func (s *soup) crashAny() { s.crash(s.anyServer()) }

func (s *soup) restartAny() {
	for _, server := range s.servers {
		if server.node == nil && s.chance("restart", 60) {
			s.start(server)
		}
	}
}

func (s *soup) replaceDisk() {
	server := s.anyServer()
	s.crash(server)
	s.blank(server)
	s.start(server)
}

// swapDiskBack puts a disk in that the server had before.
func (s *soup) swapDiskBack() {
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

// freezeAny stops a process for a while or lets it go on.
func (s *soup) freezeAny() {
	server := s.anyServer()
	server.frozen = !server.frozen && server.node != nil
}

func (s *soup) cutAny() {
	server := s.anyServer()
	switch rapid.IntRange(0, 2).Draw(s.t, "direction") {
	case 0:
		server.outCutAt = s.now
	case 1:
		server.inCutAt = s.now
	default:
		server.outCutAt, server.inCutAt = s.now, s.now
	}
}

func (s *soup) healAny() {
	server := s.anyServer()
	server.outCutAt, server.inCutAt = time.Time{}, time.Time{}
}

func (s *soup) compactAny() {
	server := s.anyServer()
	if server.node == nil || server.frozen {
		return
	}
	s.work(server)
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

func (s *soup) transfer() {
	for _, server := range s.servers {
		if server.node != nil && !server.frozen && server.node.TransferLeadership(s.now) == nil {
			s.afterEvent(server)
		}
	}
}

// changeMembers asks each member that leads to change the place of a server:
// admit its present disk as a receiver, make it a voter, or remove it. Now and
// then it asks for all in one step, which must be refused.
func (s *soup) changeMembers() {
	target := s.anyServer()
	kind := rapid.IntRange(0, 3).Draw(s.t, "change")
	for _, server := range s.servers {
		if server.node == nil || server.frozen {
			continue
		}
		current := server.node.Membership()
		receiver := Member{ID: target.id, Disk: target.disk.id}
		next := current.With(receiver)
		if current.Admits(target.id, target.disk.id) {
			receiver.Voter = true
			next = current.With(receiver)
		}
		if kind == 0 && current.VoterCount() > 2 {
			next = current.Without(target.id)
		}
		if kind == 1 {
			receiver.Voter = true
			next = current.With(receiver).Without(s.anyServer().id)
		}
		_, _, _ = server.node.ProposeMembership(s.now, next)
		s.afterEvent(server)
	}
}

func (s *soup) healAll() {
	for _, server := range s.servers {
		server.outCutAt, server.inCutAt = time.Time{}, time.Time{}
		server.frozen = false
		if server.node == nil {
			s.start(server)
		}
	}
	s.calm(200)
}

// mustMakeProgress checks that a command is committed, if every membership that
// a member goes by has a majority of its disks in place.
func (s *soup) mustMakeProgress() {
	allBlank := true
	for _, server := range s.servers {
		if server.node.IsBlank() {
			continue
		}
		allBlank = false
		if !s.majorityInPlace(server.node.Membership()) {
			return
		}
	}
	if allBlank {
		return
	}
	before := len(s.checks.log)
	s.proposeAnywhere()
	s.calm(40)
	if len(s.checks.log) <= before {
		s.t.Fatalf("the healed members commit nothing: %v", s.describe())
	}
}

func (s *soup) majorityInPlace(membership Membership) bool {
	inPlace := 0
	for _, member := range membership.Members {
		server := s.server(member.ID)
		if member.Voter && server.disk.id == member.Disk {
			inPlace++
		}
	}
	return inPlace >= membership.majority()
}

func (s *soup) describe() (lines []string) {
	for _, server := range s.servers {
		lines = append(lines, fmt.Sprintf("%s %s %+v\n", server.id, server.disk.id, server.node.Status()))
	}
	return lines
}
