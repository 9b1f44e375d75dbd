package serverexit

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
)

// testNetwork passes calls of the instance "self" to the handlers of other instances, by address.
type testNetwork struct {
	mu    sync.Mutex
	muxes map[string]*http.ServeMux
	cut   []string
}

// Call implements transport.Caller.
func (n *testNetwork) Call(ctx context.Context, address, path string, request, reply any) error {
	n.mu.Lock()
	mux, cut := n.muxes[address], slices.Contains(n.cut, address)
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	httpRequest := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(data))
	httpRequest.Header.Set("Hemlock-From", "self")
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httpRequest)
	if recorder.Code != http.StatusOK {
		return errors.Newf("status %d", recorder.Code)
	}
	return codec.Unmarshal(recorder.Body.Bytes(), reply)
}

// setCut sets the instances that do not reply.
func (n *testNetwork) setCut(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = addresses
}

// newTestNetwork starts three control instances and two others.
func newTestNetwork() (*testNetwork, []Peer) {
	network := &testNetwork{muxes: make(map[string]*http.ServeMux)}
	var peers []Peer
	for i, id := range []fleetconfig.InstanceID{"c1", "c2", "c3", "p1", "p2"} {
		mux := http.NewServeMux()
		New(Config{Self: id, Logger: slog.New(slog.DiscardHandler)}, mux)
		network.muxes[string(id)] = mux
		peers = append(peers, Peer{ID: id, Address: string(id), Control: i < controlWitnesses})
	}
	return network, peers
}

// process returns the Keeper of a process of "self" and what it recalls.
func (n *testNetwork) process(peers func() ([]Peer, bool)) (*Keeper, chan []Record) {
	recalled := make(chan []Record, 16)
	return New(Config{
		Self: "self", Peers: peers, Caller: n, Logger: slog.New(slog.DiscardHandler),
		OnRecall: func(records []Record) { recalled <- records },
	}, http.NewServeMux()), recalled
}

// Guards against an exit that is acknowledged and unknown to the next process, whichever two of the five witnesses do not reply to either of them.
func TestKeptExitIsRecalledByTheNextProcess(t *testing.T) {
	t.Parallel()
	record := Record{Server: "b1", ProcessStartUnixMilli: 7, Sequence: 3, Final: true}
	for first := range 5 {
		for second := range first {
			network, peers := newTestNetwork()
			known := func() ([]Peer, bool) { return peers, true }
			network.setCut(peers[first].Address, peers[second].Address)
			former, _ := network.process(known)
			must.NoError(t, former.Keep(t.Context(), record))

			network.setCut(peers[(first+1)%5].Address, peers[(first+2)%5].Address)
			ctx, cancel := context.WithCancel(t.Context())
			next, recalled := network.process(known)
			ended := make(chan error, 1)
			go func() { ended <- next.Serve(ctx) }()
			records := <-recalled
			must.Len(t, 1, records)
			must.Eq(t, record.Server, records[0].Server)
			must.True(t, records[0].Final)
			cancel()
			must.ErrorIs(t, <-ended, context.Canceled)
		}
	}
}

// Guards against an acknowledgement of an exit that no other instance holds.
func TestExitWithoutWitnessesIsNotConfirmed(t *testing.T) {
	t.Parallel()
	network, peers := newTestNetwork()
	network.setCut("c1", "c2", "c3", "p1")
	keeper, _ := network.process(func() ([]Peer, bool) { return peers, true })
	must.Error(t, keeper.Keep(t.Context(), Record{Server: "b1"}))
	network.setCut("c1", "c2", "c3")
	must.NoError(t, keeper.Keep(t.Context(), Record{Server: "b1"}))

	unknown, _ := network.process(func() ([]Peer, bool) { return nil, false })
	must.Error(t, unknown.Keep(t.Context(), Record{Server: "b1"}))
	alone, recalled := network.process(func() ([]Peer, bool) { return nil, true })
	must.NoError(t, alone.Keep(t.Context(), Record{Server: "b1"}))
	go func() { _ = alone.Serve(t.Context()) }()
	must.SliceEmpty(t, <-recalled)
}

// Guards against a recall that ends with the first members that a new process learns of, which may not be its witnesses.
func TestRecallAsksWitnessesThatAreLearnedLater(t *testing.T) {
	t.Parallel()
	network, peers := newTestNetwork()
	former, _ := network.process(func() ([]Peer, bool) { return peers[:4], true })
	must.NoError(t, former.Keep(t.Context(), Record{Server: "b1", Final: true}))
	var mu sync.Mutex
	known := peers[4:] // The one instance that the former process did not know.
	next, recalled := network.process(func() ([]Peer, bool) {
		mu.Lock()
		defer mu.Unlock()
		return known, true
	})
	go func() { _ = next.Serve(t.Context()) }()
	must.SliceEmpty(t, <-recalled)
	mu.Lock()
	known = peers
	mu.Unlock()
	must.Len(t, 1, <-recalled)
}
