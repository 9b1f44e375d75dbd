package configsync

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
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// The compiler checks that the types of control and configsync match.
var (
	_                      = Leadership(control.Leadership{})
	_ control.StateMachine = (*Replica)(nil)
)

// fakeLog is the log of a single control instance. It commits at once while it is
// available.
type fakeLog struct {
	mu      sync.Mutex
	replica *Replica
	// unavailable makes the log behave as without a leader.
	unavailable atomic.Bool
	// leader is the leader, or nil on the leader itself. The log of another control instance
	// never learns that a command is committed.
	leader *fakeInstance
}

func (l *fakeLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if l.unavailable.Load() {
		return nil, &control.NotLeaderError{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replica.Apply(0, command), nil
}

func (l *fakeLog) Leadership() Leadership {
	if l.leader != nil {
		return Leadership{Term: 1, Leader: l.leader.peer.ID, Address: l.leader.peer.Address}
	}
	return Leadership{Leads: !l.unavailable.Load(), Term: 1, ConfirmedAt: time.Now()}
}

func (l *fakeLog) ReadBarrier(context.Context) error {
	if l.unavailable.Load() {
		return &control.NotLeaderError{}
	}
	return nil
}

// fakeFleet is a fleet of services that call each other within one process.
type fakeFleet struct {
	tb        testing.TB
	mu        sync.Mutex
	instances map[string]*fakeInstance
	// partitioned reports whether two instances cannot reach each other; their calls
	// block until the timeout. Nil means that there is no partition.
	partitioned atomic.Pointer[func(a, b fleetconfig.InstanceID) bool]
	// latency is the time that each call and each reply takes, in nanoseconds.
	latency atomic.Int64
	// leaderOffers counts the leader's offers that are under way to each address.
	leaderOffers callCounter
	// linkMbps and controlLinkMbps are the links of instances that are started later.
	linkMbps, controlLinkMbps uint32
	// links delays bodies by the time that they take on the links of both instances.
	links fakeLinks
	// pollInterval is the poll interval of instances that are started later.
	pollInterval time.Duration
	// deltas counts the deltas that instances sent to each other.
	deltas deltaCounter
	// calls and bytes count the calls that succeeded and the size of their bodies.
	calls, bytes atomic.Int64
}

// fakeLinks are the links of the instances, each of which carries one body after the other.
type fakeLinks struct {
	mu sync.Mutex
	// freeAt is when the link of an instance has carried what was sent so far.
	freeAt map[fleetconfig.InstanceID]time.Time
}

// carry waits until the links have carried a body. A link of 0 Mbit/s is unlimited.
func (l *fakeLinks) carry(ctx context.Context, bytes int, instances ...*Peer) error {
	const bytesPerMbit = 125_000
	l.mu.Lock()
	if l.freeAt == nil {
		l.freeAt = make(map[fleetconfig.InstanceID]time.Time)
	}
	arrival := time.Now()
	for _, instance := range instances {
		if instance.LinkMbps == 0 {
			continue
		}
		start := l.freeAt[instance.ID]
		if now := time.Now(); start.Before(now) {
			start = now
		}
		l.freeAt[instance.ID] = start.Add(time.Duration(float64(bytes) / (float64(instance.LinkMbps) * bytesPerMbit) * float64(time.Second)))
		if arrival.Before(l.freeAt[instance.ID]) {
			arrival = l.freeAt[instance.ID]
		}
	}
	l.mu.Unlock()
	select {
	case <-time.After(time.Until(arrival)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deltaCounter counts deltas by sender, receiver and version.
type deltaCounter struct {
	mu   sync.Mutex
	sent map[sentDelta]int
	// offers counts the offers by receiver.
	offers map[fleetconfig.InstanceID]int
}

type sentDelta struct {
	sender, receiver fleetconfig.InstanceID
	version          uint64
}

func (c *deltaCounter) add(sender, receiver fleetconfig.InstanceID, delta *fleetconfig.PackedDelta) {
	if delta == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil {
		c.sent = make(map[sentDelta]int)
	}
	c.sent[sentDelta{sender: sender, receiver: receiver, version: delta.To}]++
}

func (c *deltaCounter) addOffer(receiver fleetconfig.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offers == nil {
		c.offers = make(map[fleetconfig.InstanceID]int)
	}
	c.offers[receiver]++
}

// total returns how often a receiver got the delta to a version.
func (c *deltaCounter) total(receiver fleetconfig.InstanceID, version uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for sent, count := range c.sent {
		if sent.receiver == receiver && sent.version == version {
			total += count
		}
	}
	return total
}

// most returns how often a receiver got the delta to a version from the same sender at most.
func (c *deltaCounter) most(receiver fleetconfig.InstanceID, version uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := 0
	for sent, count := range c.sent {
		if sent.receiver == receiver && sent.version == version {
			most = max(most, count)
		}
	}
	return most
}

// callCounter counts the calls under way to each address.
type callCounter struct {
	mu       sync.Mutex
	underWay map[string]int
	// most is the highest count of any address.
	most int
}

func (c *callCounter) begin(address string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.underWay == nil {
		c.underWay = make(map[string]int)
	}
	c.underWay[address]++
	c.most = max(c.most, c.underWay[address])
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.underWay[address]--
	}
}

// delay waits for the latency of the fleet.
func (f *fakeFleet) delay(ctx context.Context) error {
	latency := time.Duration(f.latency.Load())
	if latency == 0 {
		return nil
	}
	select {
	case <-time.After(latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type fakeInstance struct {
	fleet   *fakeFleet
	peer    Peer
	service *Service
	log     *fakeLog
	mux     *http.ServeMux
	cancel  context.CancelFunc
	// disconnected makes all calls to and from the instance fail at once.
	disconnected atomic.Bool
}

func newFakeFleet(tb testing.TB) *fakeFleet {
	return &fakeFleet{tb: tb, instances: make(map[string]*fakeInstance), pollInterval: 20 * time.Millisecond}
}

// start starts an instance. It replaces a running instance with the same number, as
// after a restart with empty memory.
func (f *fakeFleet) start(number int, isControl bool) *fakeInstance {
	return f.startWithLeader(number, isControl, nil)
}

// startWithLeader is like start. If isControl is set, leader is the leader of control, or nil
// if the instance leads.
func (f *fakeFleet) startWithLeader(number int, isControl bool, leader *fakeInstance) *fakeInstance {
	instance := &fakeInstance{fleet: f, mux: http.NewServeMux()}
	instance.peer = Peer{Control: isControl, InstanceAddress: fleetconfig.InstanceAddress{
		ID:            fleetconfig.InstanceID(fmt.Sprintf("i%03d", number)),
		Address:       fmt.Sprintf("192.0.2.%d:7400", number),
		FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("fd%d", number%3)),
	}}
	instance.peer.LinkMbps = f.linkMbps
	if isControl {
		instance.peer.LinkMbps = f.controlLinkMbps
	}
	config := Config{
		Self:         instance.peer.InstanceAddress,
		LinkMbps:     instance.peer.LinkMbps,
		Incarnation:  uint64(time.Now().UnixNano()),
		Peers:        instance,
		Caller:       instance,
		PollInterval: f.pollInterval,
		Logger:       slog.New(slog.DiscardHandler),
	}
	if isControl {
		config.Replica = NewReplica()
		instance.log = &fakeLog{replica: config.Replica, leader: leader}
		config.Log = instance.log
	}
	instance.service = New(config, instance.mux)
	ctx, cancel := context.WithCancel(context.Background())
	instance.cancel = cancel
	f.mu.Lock()
	f.instances[instance.peer.Address] = instance
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = instance.service.Serve(ctx)
	}()
	f.tb.Cleanup(func() {
		cancel()
		<-done
	})
	return instance
}

// Peers implements Peers.
func (i *fakeInstance) Peers() []Peer {
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	var peers []Peer
	for _, other := range i.fleet.instances {
		if other.peer.ID != i.peer.ID {
			peers = append(peers, other.peer)
		}
	}
	return peers
}

// Call implements transport.Caller.
func (i *fakeInstance) Call(ctx context.Context, address, path string, request, reply any) error {
	i.fleet.mu.Lock()
	other := i.fleet.instances[address]
	i.fleet.mu.Unlock()
	if other == nil || other.disconnected.Load() || i.disconnected.Load() {
		return errors.New("unreachable")
	}
	if isPartitioned := i.fleet.partitioned.Load(); isPartitioned != nil && (*isPartitioned)(i.peer.ID, other.peer.ID) {
		<-ctx.Done()
		return ctx.Err()
	}
	if offer, ok := request.(*offerRequest); ok {
		i.fleet.deltas.add(i.peer.ID, other.peer.ID, offer.Delta)
		i.fleet.deltas.addOffer(other.peer.ID)
		if offer.Leader {
			defer i.fleet.leaderOffers.begin(address)()
		}
	}
	data, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	if err := i.fleet.delay(ctx); err != nil {
		return err
	}
	if err := i.fleet.links.carry(ctx, len(data), &i.peer, &other.peer); err != nil {
		return err
	}
	call := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data))
	certificate := &x509.Certificate{Subject: pkix.Name{CommonName: string(i.peer.ID)}}
	call.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}
	recorder := httptest.NewRecorder()
	other.mux.ServeHTTP(recorder, call)
	if err := i.fleet.delay(ctx); err != nil {
		return err
	}
	if err := i.fleet.links.carry(ctx, recorder.Body.Len(), &i.peer, &other.peer); err != nil {
		return err
	}
	if recorder.Code != http.StatusOK {
		return errors.New(recorder.Body.String())
	}
	i.fleet.calls.Add(1)
	i.fleet.bytes.Add(int64(len(data) + recorder.Body.Len()))
	if err := codec.Unmarshal(recorder.Body.Bytes(), reply); err != nil {
		return err
	}
	if poll, ok := reply.(*pollReply); ok {
		i.fleet.deltas.add(other.peer.ID, i.peer.ID, poll.Delta)
	}
	return nil
}

// stop stops an instance and removes it from the fleet.
func (f *fakeFleet) stop(instance *fakeInstance) {
	instance.disconnected.Store(true)
	instance.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.instances, instance.peer.Address)
}

// propose proposes a change on the leader until it succeeds.
func (f *fakeFleet) propose(leader *fakeInstance, id string, changes ...fleetconfig.Change) *fleetconfig.Result {
	var result *fleetconfig.Result
	waitFor(f.tb, id, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		result, err = leader.service.Propose(ctx, &fleetconfig.Command{
			ChangeID:    id,
			BaseVersion: leader.log.replica.Document().Version,
			Changes:     changes,
		})
		return err
	})
	return result
}

// waitFor waits until the condition holds. If it does not, it prints what all goroutines do.
func waitFor(tb testing.TB, what string, condition func() error) {
	tb.Helper()
	const maxStackBytes = 1 << 20
	var held bool
	defer func() {
		if !held {
			stacks := make([]byte, maxStackBytes)
			tb.Logf("goroutines:\n%s", stacks[:runtime.Stack(stacks, true)])
		}
	}()
	must.Wait(tb, wait.InitialSuccess(wait.ErrorFunc(condition), wait.Timeout(20*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
	held = true
}

// waitForVersion waits until all instances serve from the version and are current.
func waitForVersion(tb testing.TB, version uint64, instances ...*fakeInstance) {
	tb.Helper()
	for _, instance := range instances {
		waitFor(tb, string(instance.peer.ID), func() error {
			current, _ := instance.service.Current(time.Now())
			if served := instance.service.View().Version(); served != version || !current {
				return errors.Newf("serves version %d, current %v, want version %d", served, current, version)
			}
			return nil
		})
	}
}

func setHolders(instances ...*fakeInstance) fleetconfig.Change {
	change := fleetconfig.Change{Kind: fleetconfig.SetHolders}
	for _, instance := range instances {
		change.Holders = append(change.Holders, instance.peer.InstanceAddress)
	}
	return change
}

// usePreset returns a change to one of two presets: PresetOrdinary for even versions and
// PresetPeak for odd ones, so that consecutive versions differ.
func usePreset(version uint64) fleetconfig.Change {
	name := []string{fleetconfig.PresetOrdinary, fleetconfig.PresetPeak}[version%2]
	return fleetconfig.Change{Kind: fleetconfig.UsePreset, Name: name}
}

// startFleet starts a control instance and count others, up to five of which become
// holders. The fleet serves from version 1 when it returns.
func startFleet(tb testing.TB, count int) (*fakeFleet, *fakeInstance, []*fakeInstance) {
	fleet := newFakeFleet(tb)
	leader := fleet.start(0, true)
	var others []*fakeInstance
	for number := 1; number <= count; number++ {
		others = append(others, fleet.start(number, false))
	}
	fleet.propose(leader, "holders", setHolders(others[:min(5, count)]...))
	waitForVersion(tb, 1, append(others, leader)...)
	return fleet, leader, others
}
