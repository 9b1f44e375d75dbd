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
	testPatience        = 30 * time.Second
)

// fakeNetwork carries calls between nodes of one process.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[fleetconfig.InstanceID]bool
	calls    int
	bytes    int
	delay    time.Duration
	// handedOver counts the delivered messages that hand the leadership over.
	handedOver int
}

// delivered counts a call that was answered.
func (n *fakeNetwork) delivered(request any) {
	call, ok := request.(*envelope)
	if !ok {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, message := range call.Messages {
		if message.Type == consensus.MessageTimeoutNow {
			n.handedOver++
		}
	}
}

// fakeCaller is one instance's way into the network.
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
	lost := c.network.cut[c.id] || c.network.cut[fleetconfig.InstanceID(address)]
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
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, call)
	if answer.Code != http.StatusOK {
		return errors.Newf("status %d: %s", answer.Code, answer.Body.String())
	}
	c.network.delivered(request)
	return codec.Unmarshal(answer.Body.Bytes(), reply)
}

// listMachine is a state machine that keeps the list of its commands.
type listMachine struct {
	mu       sync.Mutex
	commands []string
	// blocked, if set, holds up Apply until it is closed.
	blocked chan struct{}
}

func (m *listMachine) Apply(_ uint64, command []byte) []byte {
	if m.blocked != nil {
		<-m.blocked
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(command))
	return fmt.Appendf(nil, "result of %s", command)
}

func (m *listMachine) Snapshot() ([]byte, error) { return codec.Marshal(m.list()) }

func (m *listMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = nil
	return codec.Unmarshal(snapshot, &m.commands)
}

func (m *listMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

// testNode is one process that runs.
type testNode struct {
	*Node
	machine *listMachine
	stop    context.CancelFunc
	ended   chan error
}

// cluster is a fleet of control instances in one process, with real files.
type cluster struct {
	t             testing.TB
	network       *fakeNetwork
	folder        string
	peers         []Peer
	nodes         map[fleetconfig.InstanceID]*testNode
	snapshotBytes int64
	files         storage.FS
	// group, if set, is that of the next instance to start.
	group *Group
	// moved holds the addresses that differ from the instance's id.
	moved map[fleetconfig.InstanceID]string
}

func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{
		t: t,
		network: &fakeNetwork{
			handlers: map[string]http.Handler{},
			cut:      map[fleetconfig.InstanceID]bool{},
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
	if address, ok := c.moved[id]; ok {
		return address
	}
	return string(id)
}

func (c *cluster) dataFolder(id fleetconfig.InstanceID) string {
	return filepath.Join(c.folder, string(id))
}

func (c *cluster) start(id fleetconfig.InstanceID, initial []Peer) {
	mux := http.NewServeMux()
	machine := &listMachine{}
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
	running := &testNode{Node: node, machine: machine, ended: make(chan error, 1)}
	c.serveAgain(running)
	c.network.mu.Lock()
	c.network.handlers[c.address(id)] = mux
	delete(c.network.cut, id)
	c.network.mu.Unlock()
	c.nodes[id] = running
}

// serveAgain serves a node that is not served, as its supervisor does.
func (c *cluster) serveAgain(node *testNode) {
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	go func() { node.ended <- node.Serve(ctx) }()
}

// kill ends a process. Nothing that it sends from now on arrives.
func (c *cluster) kill(id fleetconfig.InstanceID) {
	c.cut(id, true)
	c.stop(id)
}

// stop ends a process as a planned stop does.
func (c *cluster) stop(id fleetconfig.InstanceID) {
	node := c.nodes[id]
	delete(c.nodes, id)
	node.stop()
	<-node.ended
	c.network.mu.Lock()
	delete(c.network.handlers, c.address(id))
	c.network.mu.Unlock()
}

func (c *cluster) cut(id fleetconfig.InstanceID, cut bool) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.cut[id] = cut
}

func (c *cluster) until(what string, holds func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(
		wait.BoolFunc(holds),
		wait.Timeout(testPatience),
		wait.Gap(testHeartbeat/10),
	), must.Sprint(what))
}

// leader waits for a leader that is certain of its role.
func (c *cluster) leader() (leader *testNode) {
	c.t.Helper()
	c.until("a leader", func() bool {
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

// propose sends a command to whoever leads until it is accepted.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.until("acceptance of "+command, func() bool {
		leader := c.leader()
		ctx, cancel := context.WithTimeout(context.Background(), testPatience)
		defer cancel()
		result, err := leader.Propose(ctx, []byte(command))
		if err == nil {
			must.Eq(c.t, "result of "+command, string(result))
		}
		return err == nil
	})
}

// untilAllHave waits until all nodes that run have applied the commands, in the
// same order.
func (c *cluster) untilAllHave(commands ...string) {
	c.t.Helper()
	c.until("the same state everywhere", func() bool {
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
