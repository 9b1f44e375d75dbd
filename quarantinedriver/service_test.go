package quarantinedriver

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/quarantine"
	"github.com/hemlockring/hemlockring/transport"
)

// network connects services. It loses a share of the datagrams and all to and from cutOff.
type network struct {
	t        *testing.T
	loss     float64
	services map[string]*Service
	ids      map[*Service]fleetconfig.InstanceID

	mu     sync.Mutex
	cutOff map[string]bool
	// reported counts the calls of OnQuarantine.
	reported map[quarantine.Fingerprint]int
}

func newNetwork(t *testing.T, instances int, loss float64) (*network, []*Service) {
	n := &network{t: t, loss: loss, services: make(map[string]*Service), ids: make(map[*Service]fleetconfig.InstanceID), cutOff: make(map[string]bool), reported: make(map[quarantine.Fingerprint]int)}
	var members []membership.Member
	for i := range instances {
		id := fmt.Sprintf("i%03d", i)
		members = append(members, membership.Member{Record: membership.Record{
			ID: fleetconfig.InstanceID(id), Address: id, Proxy: true, FailureDomain: fleetconfig.FailureDomain(fmt.Sprint(i % 3)),
		}})
	}
	var services []*Service
	for i := range members {
		record := members[i].Record
		snapshot := gossip.NewSnapshot(record.ID, members)
		service := New(Config{
			Members: func() *gossip.Snapshot { return snapshot },
			Send:    func(address string, payload []byte) { n.send(record.Address, record.ID, address, payload) },
			OnQuarantine: func(request quarantine.Request) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.reported[request.Fingerprint]++
			},
			Logger: slog.New(slog.DiscardHandler),
		})
		n.services[record.Address] = service
		services = append(services, service)
	}
	return n, services
}

func (n *network) send(from string, id fleetconfig.InstanceID, to string, payload []byte) {
	must.LessEq(n.t, transport.MaxDatagramBytes-maxHeaderBytes, len(payload))
	n.mu.Lock()
	lost := n.cutOff[from] || n.cutOff[to] || rand.Float64() < n.loss
	n.mu.Unlock()
	if !lost {
		go func() { _ = n.services[to].HandleMessage(id, payload) }()
	}
}

// maxHeaderBytes is what the fields of a membership.Message besides the payload take at most.
const maxHeaderBytes = 100

func (n *network) setCutOff(address string, cutOff bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff[address] = cutOff
}

func serve(t *testing.T, services []*Service) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, service := range services {
		running.Go(func() { _ = service.Serve(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

func deadlyRequest(account fleetconfig.AccountID) quarantine.Request {
	key := quarantine.DeriveKey(nil)
	fingerprint, _ := key.NewHasher(quarantine.Content{Account: account}).Sum()
	return quarantine.Request{Fingerprint: fingerprint, Account: account, Service: fleetconfig.ServiceName(strings.Repeat("s", 64))}
}

func waitForQuarantine(t *testing.T, services []*Service, fingerprint quarantine.Fingerprint) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(3*time.Second), wait.Gap(5*time.Millisecond), wait.BoolFunc(func() bool {
		for _, service := range services {
			if _, refused := service.Refuses(fingerprint); !refused {
				return false
			}
		}
		return true
	})))
}

// The bound of 3 s is the users' one.
func TestAllInstancesRefuseRequestAfterCrashesAtDifferentOnes(t *testing.T) {
	t.Parallel()
	network, services := newNetwork(t, 90, 0.2)
	serve(t, services)
	network.setCutOff("i089", true)
	request := deadlyRequest(fleetconfig.AccountID(strings.Repeat("a", 64)))
	for i := range 3 {
		other := deadlyRequest(fleetconfig.AccountID(fmt.Sprint(i)))
		services[30*i].WitnessCrash(quarantine.CrashID(i), []quarantine.Request{request, other}, 0)
	}
	waitForQuarantine(t, services[:89], request.Fingerprint)
	must.False(t, services[89].AnyQuarantined())
	network.setCutOff("i089", false)
	waitForQuarantine(t, services, request.Fingerprint)
}

func TestReleaseReachesAllInstances(t *testing.T) {
	t.Parallel()
	network, services := newNetwork(t, 20, 0.2)
	serve(t, services)
	request := deadlyRequest("acme")
	for i := range 3 {
		services[i].WitnessCrash(quarantine.CrashID(i), []quarantine.Request{request}, 0)
	}
	waitForQuarantine(t, services, request.Fingerprint)
	network.mu.Lock()
	must.Eq(t, 1, network.reported[request.Fingerprint])
	network.mu.Unlock()
	must.True(t, services[2].Release(request.Fingerprint))
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond), wait.BoolFunc(func() bool {
		for _, service := range services {
			if service.AnyQuarantined() {
				return false
			}
		}
		return true
	})))
}

func TestOneInstanceMakesTrialRuns(t *testing.T) {
	_, services := newNetwork(t, 20, 0)
	for number := range 50 {
		fingerprint := deadlyRequest(fleetconfig.AccountID(fmt.Sprint(number))).Fingerprint
		owners := 0
		for _, service := range services {
			if service.makesTrialsOf(fingerprint) {
				owners++
			}
		}
		must.Eq(t, 1, owners)
	}
}

// A message must not end the process of each instance that receives it.
func TestArbitraryMessagesAreHandled(t *testing.T) {
	_, services := newNetwork(t, 3, 1)
	rapid.Check(t, func(t *rapid.T) {
		service := services[0]
		if rapid.Bool().Draw(t, "bytes") {
			_ = service.HandleMessage("i001", rapid.SliceOf(rapid.Byte()).Draw(t, "payload"))
			return
		}
		payload, err := codec.Marshal(rapid.Make[message]().Draw(t, "message"))
		must.NoError(t, err)
		must.NoError(t, service.HandleMessage("i001", payload))
		service.Entries()
		service.compare()
	})
}
