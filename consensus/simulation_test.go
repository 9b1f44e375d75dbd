package consensus

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	testElectionTimeout = 500 * time.Millisecond
	testHeartbeat       = 100 * time.Millisecond
	simServers          = 8
	maxInTransit        = 400
)

// simDisk is the synced state of one disk.
type simDisk struct {
	id     DiskID
	stored StoredState
	hash   uint64 // hash of the application's state at the snapshot
}

// has reports whether the disk stores the entry, in its log or in its snapshot.
func (d *simDisk) has(index, term uint64) bool {
	if index <= d.stored.Snapshot.Index {
		return true
	}
	at := index - d.stored.Snapshot.Index - 1
	return at < uint64(len(d.stored.Entries)) && d.stored.Entries[at].Term == term
}

// admits reports whether any membership on the disk lists the member with this
// disk.
func (d *simDisk) admits(id MemberID) bool {
	if d.stored.Snapshot.Membership.Admits(id, d.id) {
		return true
	}
	return slices.ContainsFunc(d.stored.Entries, func(entry Entry) bool {
		return entry.Membership != nil && entry.Membership.Admits(id, d.id)
	})
}

// simServer is one process with its current disk.
type simServer struct {
	id        MemberID
	disk      *simDisk
	node      *Node // nil while the process is stopped
	suspended bool
	hash      uint64 // hash of all applied entries, in place of the application's state
	// sendBlockedSince and receiveBlockedSince are when the messages from and to the
	// server were blocked, or zero if they are not blocked.
	sendBlockedSince, receiveBlockedSince time.Time
}

// simulation runs a set of members. It holds all messages in transit and delivers
// them in any order.
type simulation struct {
	t          *rapid.T
	now        time.Time
	rng        *rand.Rand
	servers    []*simServer
	disks      map[DiskID]*simDisk
	messages   []Message
	commands   int
	invariants simInvariants
}

func newSimulation(t *rapid.T, voters int) *simulation {
	s := &simulation{
		t:          t,
		now:        time.Unix(1_700_000_000, 0),
		rng:        rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "random seed"), 1)),
		disks:      map[DiskID]*simDisk{},
		invariants: newSimInvariants(),
	}
	members := make([]Member, 0, voters)
	for i := range simServers {
		server := &simServer{id: MemberID(fmt.Sprintf("m%d", i))}
		s.servers = append(s.servers, server)
		s.attachNewDisk(server)
		if i < voters {
			members = append(members, Member{ID: server.id, Disk: server.disk.id, Voter: true})
		}
	}
	for _, server := range s.servers {
		s.start(server)
		server.node.Bootstrap(s.now, InitialSnapshot(NewMembership(members...)))
		s.processReady(server)
	}
	return s
}

func diskID(number int) DiskID { return DiskID(fmt.Sprintf("d%d", number)) }

// attachNewDisk replaces a server's disk by a blank one.
func (s *simulation) attachNewDisk(server *simServer) {
	disk := &simDisk{id: diskID(len(s.disks))}
	s.disks[disk.id] = disk
	server.disk = disk
}

func (s *simulation) start(server *simServer) {
	node, err := New(Config{
		ID:                  server.id,
		Disk:                server.disk.id,
		ElectionTimeout:     testElectionTimeout,
		HeartbeatInterval:   testHeartbeat,
		MaxMessageBytes:     300,
		MaxUncommittedBytes: 1 << 16,
		Rand:                s.rng,
	}, server.disk.stored, s.now)
	if err != nil {
		s.t.Fatalf("restarting %s: %v", server.id, err)
	}
	server.node = node
	server.suspended = false
	server.hash = server.disk.hash
}

// processReady carries out the node's pending work.
func (s *simulation) processReady(server *simServer) {
	for server.node != nil && server.node.HasReady() {
		ready := server.node.Ready()
		s.enqueue(server, ready.Messages)
		server.disk.save(ready, len(ready.Entries))
		if ready.Snapshot != nil {
			server.hash = server.disk.hash
		}
		s.enqueue(server, ready.MessagesAfterSync)
		for _, entry := range ready.Committed {
			s.apply(server, entry)
		}
		server.node.Advance()
	}
}

// save syncs a Ready, but only the given number of its entries.
func (d *simDisk) save(ready Ready, entries int) {
	if ready.Snapshot != nil {
		d.stored = StoredState{Snapshot: *ready.Snapshot}
		d.hash = decodeHash(ready.Snapshot.Data)
		d.stored.Snapshot.Data = nil
	}
	if ready.HardState != nil {
		d.stored.HardState = *ready.HardState
	}
	for _, entry := range ready.Entries[:entries] {
		keep := entry.Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(slices.Clone(d.stored.Entries[:keep]), entry)
	}
}

// crash stops a process. It syncs either nothing of the pending Ready, or the
// snapshot, the hard state and a prefix of the entries.
func (s *simulation) crash(server *simServer) {
	if server.node == nil {
		return
	}
	if server.node.HasReady() {
		ready := server.node.Ready()
		s.enqueue(server, ready.Messages)
		if s.chance("synced part", 50) {
			server.disk.save(ready, rapid.IntRange(0, len(ready.Entries)).Draw(s.t, "synced entries"))
		}
	}
	server.node = nil
}

func (s *simulation) apply(server *simServer, entry Entry) {
	server.hash = extendHash(server.hash, entry)
	s.invariants.checkApplied(s, server, entry)
}

func extendHash(hash uint64, entry Entry) uint64 {
	digest := fnv.New64a()
	_, _ = fmt.Fprint(digest, hash, entry.Index, entry.Term, entry.Kind, string(entry.Data))
	return digest.Sum64()
}

func encodeHash(hash uint64) []byte { return fmt.Append(nil, hash) }

func decodeHash(data []byte) (hash uint64) {
	_, _ = fmt.Sscan(string(data), &hash)
	return hash
}

// enqueue adds messages to those in transit, and drops the oldest ones above
// maxInTransit. Like a driver, it fills in the data of a snapshot.
func (s *simulation) enqueue(server *simServer, messages []Message) {
	for _, message := range messages {
		if message.Snapshot != nil {
			snapshot := server.disk.stored.Snapshot
			snapshot.Data = encodeHash(server.disk.hash)
			message.Snapshot = &snapshot
		}
		s.invariants.checkSent(s, server, message)
		s.messages = append(s.messages, message)
	}
	if excess := len(s.messages) - maxInTransit; excess > 0 {
		s.messages = slices.Delete(s.messages, 0, excess)
	}
}

func (s *simulation) server(id MemberID) *simServer {
	for _, server := range s.servers {
		if server.id == id {
			return server
		}
	}
	return nil
}

// deliver passes the message at an index to its receiver. The message stays in
// transit if the receiver is suspended, or if keep is set, so that it is delivered
// more than once. It is lost if the receiver is stopped or the path is blocked.
func (s *simulation) deliver(at int, keep bool) {
	message := s.messages[at]
	from, to := s.server(message.From), s.server(message.To)
	if to.suspended {
		return
	}
	if !keep {
		s.messages = slices.Delete(s.messages, at, at+1)
	}
	if to.node == nil || !from.sendBlockedSince.IsZero() || !to.receiveBlockedSince.IsZero() {
		return
	}
	to.node.Step(s.now, message)
	s.afterEvent(to)
}

// afterEvent carries out the server's pending work in nine of ten cases. Otherwise
// the work is left for later events, so that a crash can lose it.
func (s *simulation) afterEvent(server *simServer) {
	s.invariants.checkNodes(s)
	if s.rng.IntN(10) != 0 {
		s.processReady(server)
	}
	s.invariants.checkNodes(s)
}

// advanceTime advances the clock and ticks all running processes.
func (s *simulation) advanceTime(duration time.Duration) {
	s.now = s.now.Add(duration)
	for _, server := range s.servers {
		if server.node != nil && !server.suspended {
			server.node.Tick(s.now)
			s.afterEvent(server)
		}
	}
}

// runHealthy advances the time and delivers the messages in order for a number of
// rounds, as a healthy network does. Servers that are stopped, suspended or blocked
// stay so.
func (s *simulation) runHealthy(rounds int) {
	for range rounds {
		s.advanceTime(testHeartbeat / 2)
		for range 12 * len(s.servers) {
			if len(s.messages) == 0 {
				break
			}
			at := slices.IndexFunc(s.messages, func(m Message) bool { return !s.server(m.To).suspended })
			if at < 0 {
				break
			}
			s.deliver(at, false)
		}
	}
}

func (s *simulation) chance(label string, percent int) bool {
	return rapid.IntRange(1, 100).Draw(s.t, label) > 100-percent
}

func (s *simulation) anyServer() *simServer {
	return rapid.SampledFrom(s.servers).Draw(s.t, "server")
}

// GoString keeps rapid's traces of failed cases short.
func (server *simServer) GoString() string { return string(server.id) }
