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
	soupServers         = 8
	maxSoupMessages     = 400
)

// soupDisk is what has been synced on one disk.
type soupDisk struct {
	id     DiskID
	stored StoredState
	hash   uint64 // the application's state at the snapshot
}

// has tells whether the disk holds the entry, in its log or in its snapshot.
func (d *soupDisk) has(index, term uint64) bool {
	if index <= d.stored.Snapshot.Index {
		return true
	}
	at := index - d.stored.Snapshot.Index - 1
	return at < uint64(len(d.stored.Entries)) && d.stored.Entries[at].Term == term
}

// admits tells whether any membership on the disk lists the member with the disk.
func (d *soupDisk) admits(id MemberID) bool {
	if d.stored.Snapshot.Membership.Admits(id, d.id) {
		return true
	}
	return slices.ContainsFunc(d.stored.Entries, func(entry Entry) bool {
		return entry.Membership != nil && entry.Membership.Admits(id, d.id)
	})
}

// soupServer is one process with its present disk.
type soupServer struct {
	id     MemberID
	disk   *soupDisk
	node   *Node // nil while the process is down
	frozen bool
	hash   uint64 // the application's state: a digest of all commands applied
	// outCutAt and inCutAt are since when nothing gets out or in.
	outCutAt, inCutAt time.Time
}

// soup is a set of members with all their messages in one pot.
type soup struct {
	t        *rapid.T
	now      time.Time
	rng      *rand.Rand
	servers  []*soupServer
	disks    map[DiskID]*soupDisk
	messages []Message
	commands int
	checks   soupChecks
}

func newSoup(t *rapid.T, voters int) *soup {
	s := &soup{
		t:      t,
		now:    time.Unix(1_700_000_000, 0),
		rng:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "timeouts"), 1)),
		disks:  map[DiskID]*soupDisk{},
		checks: newSoupChecks(),
	}
	members := make([]Member, 0, voters)
	for i := range soupServers {
		server := &soupServer{id: MemberID(fmt.Sprintf("m%d", i))}
		s.servers = append(s.servers, server)
		s.blank(server)
		if i < voters {
			members = append(members, Member{ID: server.id, Disk: server.disk.id, Voter: true})
		}
	}
	for _, server := range s.servers {
		s.start(server)
		server.node.Bootstrap(s.now, InitialSnapshot(NewMembership(members...)))
		s.work(server)
	}
	return s
}

func diskID(number int) DiskID { return DiskID(fmt.Sprintf("d%d", number)) }

// blank gives a server a new disk.
func (s *soup) blank(server *soupServer) {
	disk := &soupDisk{id: diskID(len(s.disks))}
	s.disks[disk.id] = disk
	server.disk = disk
}

func (s *soup) start(server *soupServer) {
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
		s.t.Fatalf("restart of %s: %v", server.id, err)
	}
	server.node = node
	server.frozen = false
	server.hash = server.disk.hash
}

// work does what the node asks for.
func (s *soup) work(server *soupServer) {
	for server.node != nil && server.node.HasReady() {
		ready := server.node.Ready()
		s.post(server, ready.Messages)
		server.disk.save(ready, len(ready.Entries))
		if ready.Snapshot != nil {
			server.hash = server.disk.hash
		}
		s.post(server, ready.MessagesAfterSync)
		for _, entry := range ready.Committed {
			s.apply(server, entry)
		}
		server.node.Advance()
	}
}

// save syncs a Ready, but only the first of its entries.
func (d *soupDisk) save(ready Ready, entries int) {
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

// crash stops a process while it stores its last Ready. Nothing of that Ready
// was synced but a part.
func (s *soup) crash(server *soupServer) {
	if server.node == nil {
		return
	}
	if server.node.HasReady() {
		ready := server.node.Ready()
		s.post(server, ready.Messages)
		if s.chance("synced part", 50) {
			server.disk.save(ready, rapid.IntRange(0, len(ready.Entries)).Draw(s.t, "synced entries"))
		}
	}
	server.node = nil
}

func (s *soup) apply(server *soupServer, entry Entry) {
	server.hash = chain(server.hash, entry)
	s.checks.applied(s, server, entry)
}

func chain(hash uint64, entry Entry) uint64 {
	digest := fnv.New64a()
	_, _ = fmt.Fprint(digest, hash, entry.Index, entry.Term, entry.Kind, string(entry.Data))
	return digest.Sum64()
}

func encodeHash(hash uint64) []byte { return fmt.Append(nil, hash) }

func decodeHash(data []byte) (hash uint64) {
	_, _ = fmt.Sscan(string(data), &hash)
	return hash
}

// post puts messages into the pot, with the snapshot's data as a driver does.
func (s *soup) post(server *soupServer, messages []Message) {
	for _, message := range messages {
		if message.Snapshot != nil {
			snapshot := server.disk.stored.Snapshot
			snapshot.Data = encodeHash(server.disk.hash)
			message.Snapshot = &snapshot
		}
		s.checks.sent(s, server, message)
		s.messages = append(s.messages, message)
	}
	if excess := len(s.messages) - maxSoupMessages; excess > 0 {
		s.messages = slices.Delete(s.messages, 0, excess)
	}
}

func (s *soup) server(id MemberID) *soupServer {
	for _, server := range s.servers {
		if server.id == id {
			return server
		}
	}
	return nil
}

// deliver hands over the message at a position of the pot, unless its way is cut.
func (s *soup) deliver(at int, keep bool) {
	message := s.messages[at]
	from, to := s.server(message.From), s.server(message.To)
	if to.frozen {
		return
	}
	if !keep {
		s.messages = slices.Delete(s.messages, at, at+1)
	}
	if to.node == nil || !from.outCutAt.IsZero() || !to.inCutAt.IsZero() {
		return
	}
	to.node.Step(s.now, message)
	s.afterEvent(to)
}

// afterEvent does the work of a server at once, or leaves it for later events, so
// that a crash loses it.
func (s *soup) afterEvent(server *soupServer) {
	s.checks.state(s)
	if s.rng.IntN(10) != 0 {
		s.work(server)
	}
	s.checks.state(s)
}

// pass lets time pass for all processes that run.
func (s *soup) pass(duration time.Duration) {
	s.now = s.now.Add(duration)
	for _, server := range s.servers {
		if server.node != nil && !server.frozen {
			server.node.Tick(s.now)
			s.afterEvent(server)
		}
	}
}

// calm delivers everything in order for a while, as a healthy network does.
func (s *soup) calm(rounds int) {
	for range rounds {
		s.pass(testHeartbeat / 2)
		for range 12 * len(s.servers) {
			if len(s.messages) == 0 {
				break
			}
			at := slices.IndexFunc(s.messages, func(m Message) bool { return !s.server(m.To).frozen })
			if at < 0 {
				break
			}
			s.deliver(at, false)
		}
	}
}

func (s *soup) chance(label string, percent int) bool {
	return rapid.IntRange(1, 100).Draw(s.t, label) > 100-percent
}

func (s *soup) anyServer() *soupServer {
	return rapid.SampledFrom(s.servers).Draw(s.t, "server")
}

// GoString keeps the traces of failed cases short.
func (server *soupServer) GoString() string { return string(server.id) }
