package control

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/storage"
)

const (
	testElectionTimeout = 600 * time.Millisecond
	testHeartbeat       = 60 * time.Millisecond
	testTimeout         = 30 * time.Second
)

// fakeNetwork delivers calls between nodes in one process.
type fakeNetwork struct {
	mu           sync.Mutex
	handlers     map[string]http.Handler
	disconnected map[fleetconfig.InstanceID]bool
	calls        int
	bytes        int
	delay        time.Duration
	// leadershipTransfers counts the delivered MessageTimeoutNow messages, which
	// transfer the leadership.
	leadershipTransfers int
}

// countLeadershipTransfers counts the leadership transfers in a call that succeeded.
func (n *fakeNetwork) countLeadershipTransfers(request any) {
	call, ok := request.(*messageBatch)
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, message := range call.Messages {
		if message.Type == consensus.MessageTimeoutNow {
			n.leadershipTransfers++
		}
	}
}

// fakeCaller makes the calls of one instance over the fake network.
type fakeCaller struct {
	network *fakeNetwork
	id      fleetconfig.InstanceID
}

func (c *fakeCaller) Call(ctx context.Context, address, path string, request, reply any) error {
	data, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	c.network.mu.Lock()
	handler := c.network.handlers[address]
	lost := c.network.disconnected[c.id] || c.network.disconnected[fleetconfig.InstanceID(address)]
	c.network.calls++
	c.network.bytes += len(data)
	delay := c.network.delay
	c.network.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	if lost || handler == nil {
		return errors.New("lost")
	}
	call := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(data))
	certificate := &x509.Certificate{Subject: pkix.Name{CommonName: string(c.id)}}
	call.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, call)
	if recorder.Code != http.StatusOK {
		return errors.Newf("status %d: %s", recorder.Code, recorder.Body.String())
	}
	c.network.countLeadershipTransfers(request)
	return codec.Unmarshal(recorder.Body.Bytes(), reply)
}

// listStateMachine is a state machine that stores the list of applied commands.
type listStateMachine struct {
	mu       sync.Mutex
	commands []string
	// blocked, if set, blocks Apply until it is closed.
	blocked chan struct{}
}

func (m *listStateMachine) Apply(_ uint64, command []byte) []byte {
	if m.blocked != nil {
		<-m.blocked
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return fmt.Appendf(nil, "result of %s", command)
}

func (m *listStateMachine) Snapshot() ([]byte, error) { return codec.Marshal(m.list()) }

func (m *listStateMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return codec.Unmarshal(snapshot, &m.commands)
}

func (m *listStateMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// testNode is a running node and its state machine.
type testNode struct {
	*Node
	machine *listStateMachine
	stop    context.CancelFunc
	ended   chan error
}

// cluster is a number of control instances in one process, with files on disk.
type cluster struct {
	t             testing.TB
	network       *fakeNetwork
	folder        string
	peers         []Peer
	nodes         map[fleetconfig.InstanceID]*testNode
	snapshotBytes int64
	files         storage.FS
	// group is the Config.Group of instances that are started while it is set.
	group *Group
	// newAddresses holds the addresses that differ from the instance's ID.
	newAddresses map[fleetconfig.InstanceID]string
}

func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{
		t: t,
		network: &fakeNetwork{
			handlers:     map[string]http.Handler{},
			disconnected: map[fleetconfig.InstanceID]bool{},
		},
		folder: t.TempDir(),
		nodes:  map[fleetconfig.InstanceID]*testNode{},
	}
	for i := range size {
		id := fmt.Sprintf("c%d", i)
		c.peers = append(c.peers, Peer{ID: fleetconfig.InstanceID(id), Address: id})
	}
	t.Cleanup(func() {
		for id := range c.nodes {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) startAll() *cluster {
	for _, peer := range c.peers {
		c.start(peer.ID, c.peers)
	}
	return c
}

func (c *cluster) address(id fleetconfig.InstanceID) string {
	if address, ok := c.newAddresses[id]; ok {
		return address
	}
	return string(id)
}

func (c *cluster) dataFolder(id fleetconfig.InstanceID) string {
	return filepath.Join(c.folder, string(id))
}

func (c *cluster) start(id fleetconfig.InstanceID, initial []Peer) {
	mux := http.NewServeMux()
	machine := &listStateMachine{}
	node, err := New(Config{
		ID:                id,
		Address:           c.address(id),
		Folder:            c.dataFolder(id),
		InitialPeers:      initial,
		Group:             c.group,
		Caller:            &fakeCaller{network: c.network, id: id},
		StateMachine:      machine,
		Logger:            slog.New(slog.DiscardHandler),
		ElectionTimeout:   testElectionTimeout,
		HeartbeatInterval: testHeartbeat,
		SnapshotLogBytes:  c.snapshotBytes,
		Files:             c.files,
	}, mux)
	must.NoError(c.t, err)
	started := &testNode{Node: node, machine: machine, ended: make(chan error, 1)}
	c.serve(started)
	c.network.mu.Lock()
	c.network.handlers[c.address(id)] = mux
	delete(c.network.disconnected, id)
	c.network.mu.Unlock()
	c.nodes[id] = started
}

// serve runs a node's Serve in a goroutine, as its supervisor does.
func (c *cluster) serve(node *testNode) {
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	go func() { node.ended <- node.Serve(ctx) }()
}

// kill simulates a crash: it disconnects an instance from the network, then stops it.
func (c *cluster) kill(id fleetconfig.InstanceID) {
	c.setDisconnected(id, true)
	c.stop(id)
}

// stop stops an instance by ending the context of Serve.
func (c *cluster) stop(id fleetconfig.InstanceID) {
	node := c.nodes[id]
	delete(c.nodes, id)
	node.stop()
	<-node.ended
	c.network.mu.Lock()
	delete(c.network.handlers, c.address(id))
	c.network.mu.Unlock()
}

func (c *cluster) setDisconnected(id fleetconfig.InstanceID, disconnected bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.disconnected[id] = disconnected
}

func (c *cluster) waitUntil(condition string, isMet func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(
		wait.BoolFunc(isMet),
		wait.Timeout(testTimeout),
		wait.Gap(testHeartbeat/10),
	), must.Sprint(condition))
}

// leader waits for an instance that holds the leader lease, and returns it.
func (c *cluster) leader() (leader *testNode) {
	c.t.Helper()
	c.waitUntil("a leader", func() bool {
		for _, node := range c.nodes {
			if node.IsLeader() {
				leader = node
				return true
			}
		}
		return false
	})
	return leader
}

// propose sends a command to the current leader, and repeats this until a leader returns
// the result of the command.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.waitUntil("acceptance of "+command, func() bool {
		leader := c.leader()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		result, err := leader.Propose(ctx, []byte(command))
		if err == nil {
			must.Eq(c.t, "result of "+command, string(result))
		}
		return err == nil
	})
}

// waitUntilAllApplied waits until all running nodes have applied the given commands, and
// the lists of all commands that they have applied are equal.
func (c *cluster) waitUntilAllApplied(commands ...string) {
	c.t.Helper()
	c.waitUntil("the same state on all nodes", func() bool {
		var first []string
		for _, node := range c.nodes {
			list := node.machine.list()
			for _, command := range commands {
				if !slices.Contains(list, command) {
					return false
				}
			}
			if first != nil && !slices.Equal(first, list) {
				return false
			}
			first = list
		}
		return true
	})
}
