package orders

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// testParameters sets a claim timeout that is short enough for tests and long
// enough for a busy machine.
var testParameters = idempotency.Config{
	ClaimTimeout:     400 * time.Millisecond,
	Retention:        time.Hour,
	MaxRequestTime:   time.Minute,
	MaxResponseBytes: 1 << 10,
}

// testFleet connects services by function calls, which it may drop or
// duplicate.
type testFleet struct {
	t testing.TB

	mu       sync.Mutex
	random   *rand.Rand
	lossy    bool
	shardMap fleetconfig.ShardMap
	services []*Service
	muxes    []*http.ServeMux
	stops    []context.CancelFunc
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func newTestFleet(t testing.TB, size int) *testFleet {
	fleet := &testFleet{
		t:        t,
		random:   rand.New(rand.NewPCG(1, 2)),
		services: make([]*Service, size),
		muxes:    make([]*http.ServeMux, size),
		stops:    make([]context.CancelFunc, size),
	}
	var placement fleetconfig.ShardPlacement
	for i := range size {
		placement.Replicas = append(placement.Replicas,
			fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(address(i)), Address: address(i)})
		placement.JoinEpochs = append(placement.JoinEpochs, idempotency.InitialEpoch)
	}
	fleet.shardMap = fleetconfig.ShardMap{Epoch: idempotency.InitialEpoch, Shards: []fleetconfig.ShardPlacement{placement, placement}}
	for i := range size {
		fleet.startInstance(i, nil)
	}
	fleet.waitReady()
	fleet.setEpoch(idempotency.InitialEpoch + 1)
	fleet.waitReady()
	return fleet
}

func (f *testFleet) currentShardMap() fleetconfig.ShardMap {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shardMap
}

func (f *testFleet) setEpoch(epoch uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shardMap.Epoch = epoch
}

// startInstance starts an instance, without records if journal is nil. It
// replaces the instance that ran before.
func (f *testFleet) startInstance(i int, journal Journal) {
	if f.stops[i] != nil {
		f.stops[i]()
	}
	mux := http.NewServeMux()
	service, err := New(Config{
		Self:        fleetconfig.InstanceID(address(i)),
		Idempotency: testParameters,
		MaxBytes:    1 << 20,
		ShardMap:    f.currentShardMap,
		Journal:     journal,
		Logger:      slog.New(slog.DiscardHandler),
	}, f, mux)
	must.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.mu.Lock()
	f.services[i], f.muxes[i], f.stops[i] = service, mux, cancel
	f.mu.Unlock()
	go func() { _ = service.Serve(ctx) }()
}

func (f *testFleet) allReady() bool {
	shardMap := f.currentShardMap()
	for number := range shardMap.Shards {
		ready := 0
		for _, status := range FetchStatuses(context.Background(), f, shardMap, number) {
			if status.Ready && status.Epoch == shardMap.Epoch {
				ready++
			}
		}
		if ready < len(f.services) {
			return false
		}
	}
	return true
}

func (f *testFleet) waitReady() {
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(f.allReady), wait.Timeout(30*time.Second), wait.Gap(20*time.Millisecond)))
}

var errCallLost = errors.New("call lost")

// Call implements transport.Caller. If the fleet is lossy, each of these faults
// has a probability of 10 %: the request is lost, the request is delivered
// twice, the reply is lost.
func (f *testFleet) Call(ctx context.Context, to, path string, request, reply any) error {
	f.mu.Lock()
	var mux *http.ServeMux
	for i := range f.muxes {
		if address(i) == to {
			mux = f.muxes[i]
		}
	}
	roll := 99
	if f.lossy {
		roll = f.random.IntN(100)
	}
	f.mu.Unlock()
	if roll < 10 {
		return errCallLost
	}
	data, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	response := serveCall(ctx, mux, path, data)
	if roll < 20 {
		response = serveCall(ctx, mux, path, data)
	}
	if roll >= 20 && roll < 30 {
		return errCallLost
	}
	if response.Code != http.StatusOK {
		return errors.Newf("status %d: %s", response.Code, response.Body.String())
	}
	return codec.Unmarshal(response.Body.Bytes(), reply)
}

func serveCall(ctx context.Context, mux *http.ServeMux, path string, data []byte) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(data)))
	return recorder
}

// memoryJournal is a Journal in memory that is kept when a service restarts.
type memoryJournal struct {
	mu      sync.Mutex
	entries [][]byte
	failing bool
}

func (j *memoryJournal) Load(restore func(entry []byte) error) error {
	for _, entry := range j.entries {
		if err := restore(entry); err != nil {
			return err
		}
	}
	return nil
}

func (j *memoryJournal) Append(entries [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failing {
		return errors.New("disk full")
	}
	j.entries = append(j.entries, entries...)
	return nil
}

func (j *memoryJournal) Replace(entries [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = entries
	return nil
}
