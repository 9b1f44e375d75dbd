package serverexit

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/transport"
)

const (
	keepPath   = "/fleet/server-exits/keep"
	recallPath = "/fleet/server-exits/recall"
	// keepTimeout bounds the confirmation of a record. A backend server waits a second for
	// the acknowledgement of its exit.
	keepTimeout = 500 * time.Millisecond
	// recallTimeout bounds one round of questions, recallInterval is the pause between two.
	// recheckInterval is how often a process that has had replies looks for other witnesses.
	recallTimeout   = 500 * time.Millisecond
	recallInterval  = 50 * time.Millisecond
	recheckInterval = 500 * time.Millisecond
	// recallPatience is how long a new process waits for a majority of its witnesses.
	recallPatience = 2 * time.Second
	// recallLimit is how long it asks. An announcement that was sent before the start of the
	// process has arrived by then.
	recallLimit = 10 * time.Second
)

// Config configures a Keeper.
type Config struct {
	// Peers returns the other instances of the fleet that have not left. It returns false while
	// this instance has yet to learn them.
	Peers func() (peers []Peer, known bool)
	// Self is this instance.
	Self fleetconfig.InstanceID
	// Caller sends calls to other instances.
	Caller transport.Caller
	// OnRecall receives the records of former processes of this instance, in the first seconds
	// once or more. Nil means that this instance has none and asks for none.
	OnRecall func(records []Record)
	// Logger receives the log messages.
	Logger *slog.Logger
}

// Keeper keeps the records of this instance with other instances and holds theirs. It is a
// suture service and safe for concurrent use.
type Keeper struct {
	config Config

	// mu guards store.
	mu    sync.Mutex
	store *Store
}

// keepRequest asks the receiver to hold a record of the sender.
type keepRequest struct {
	Record Record `cbor:"1,keyasint"`
}

// keepReply confirms a keepRequest.
type keepReply struct{}

// recallRequest asks for the records of the sender.
type recallRequest struct{}

// recallReply answers a recallRequest.
type recallReply struct {
	Records []Record `cbor:"1,keyasint,omitempty"`
}

// New returns a Keeper and registers its call handlers on mux.
func New(config Config, mux *http.ServeMux) *Keeper {
	keeper := &Keeper{config: config, store: NewStore()}
	transport.HandleCall(mux, keepPath, keeper.handleKeep)
	transport.HandleCall(mux, recallPath, keeper.handleRecall)
	return keeper
}

func (k *Keeper) handleKeep(_ context.Context, from fleetconfig.InstanceID, request *keepRequest) (*keepReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.store.Put(from, request.Record, clock.Now()) {
		return nil, errors.Newf("%d exits of backend servers of the instance are kept already", maxRecords)
	}
	return &keepReply{}, nil
}

func (k *Keeper) handleRecall(_ context.Context, from fleetconfig.InstanceID, _ *recallRequest) (*recallReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return &recallReply{Records: k.store.Of(from, clock.Now())}, nil
}

// Keep returns once enough other instances hold the record. It returns an error if they do not
// within keepTimeout. The only instance of a fleet has no witnesses, and Keep returns at once.
func (k *Keeper) Keep(ctx context.Context, record Record) error {
	witnesses, known := k.witnesses()
	if !known {
		return errors.New("this instance does not know the other ones yet; send the exit of the backend server again")
	}
	// The witnesses that reply after enough others have it shall hold it too.
	background := context.WithoutCancel(ctx)
	confirmed, enough := ask(ctx, background, witnesses, keepTimeout, func(ctx context.Context, witness Peer) (keepReply, error) {
		var reply keepReply
		return reply, k.config.Caller.Call(ctx, witness.Address, keepPath, &keepRequest{Record: record}, &reply)
	})
	if !enough && !Enough(len(confirmed), len(witnesses), true) {
		k.config.Logger.Warn("exit of a backend server not confirmed", "backend_server", string(record.Server),
			"witnesses", len(witnesses), "confirmed", len(confirmed))
		return errors.Newf("%d of %d instances have confirmed the exit of the backend server; send it again", len(confirmed), len(witnesses))
	}
	k.config.Logger.Info("exit of a backend server kept", "backend_server", string(record.Server), "final", record.Final,
		"process_start_unix_ms", record.ProcessStartUnixMilli, "sequence", record.Sequence, "witnesses", len(witnesses), "confirmed", len(confirmed))
	return nil
}

// Serve asks for the records of former processes of this instance. It asks again if its witnesses
// turn out to be other ones, since the members that it learns from at first may have started as
// recently as itself. It implements suture.Service.
func (k *Keeper) Serve(ctx context.Context) error {
	if k.config.OnRecall == nil {
		return suture.ErrDoNotRestart
	}
	started := clock.Now()
	var asked []Peer
	recalled := false
	for ctx.Err() == nil {
		waited := clock.Since(started)
		witnesses, known := k.witnesses()
		changed := !slices.EqualFunc(witnesses, asked, func(a, b Peer) bool { return a.ID == b.ID })
		if known && (changed || !recalled) {
			replies, enough := k.recall(ctx, witnesses)
			if enough || Enough(len(replies), len(witnesses), waited >= recallPatience) {
				asked, recalled = witnesses, true
				k.finishRecall(replies, len(witnesses), waited)
			}
		}
		if waited >= recallLimit {
			if !recalled {
				k.finishRecall(nil, len(witnesses), waited)
			}
			return suture.ErrDoNotRestart
		}
		pause := recallInterval
		if recalled {
			pause = recheckInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

func (k *Keeper) finishRecall(replies [][]Record, witnesses int, waited time.Duration) {
	records := Merge(replies)
	k.config.Logger.Info("exits of backend servers recalled", "records", len(records), "witnesses", witnesses,
		"replied", len(replies), "waited_ms", waited.Milliseconds())
	k.config.OnRecall(records)
}

// witnesses returns the witnesses of this instance, or false while the other instances are not known.
func (k *Keeper) witnesses() ([]Peer, bool) {
	peers, known := k.config.Peers()
	return Witnesses(k.config.Self, peers), known
}

// recall asks the witnesses for the records of this instance once.
func (k *Keeper) recall(ctx context.Context, witnesses []Peer) (replies [][]Record, enough bool) {
	return ask(ctx, ctx, witnesses, recallTimeout, func(ctx context.Context, witness Peer) ([]Record, error) {
		var reply recallReply
		err := k.config.Caller.Call(ctx, witness.Address, recallPath, &recallRequest{}, &reply)
		return reply.Records, err
	})
}

// ask calls all peers at once and returns the replies as soon as there are enough, or those that
// have come by the timeout. The calls that are left go on in the background until it.
func ask[Reply any](ctx, background context.Context, peers []Peer, timeout time.Duration, call func(context.Context, Peer) (Reply, error)) (replies []Reply, enough bool) {
	if len(peers) == 0 {
		return nil, true
	}
	background, cancel := context.WithTimeout(background, timeout)
	type result struct {
		reply Reply
		err   error
	}
	results := make(chan result, len(peers))
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			reply, err := call(background, peer)
			results <- result{reply, err}
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	for range peers {
		select {
		case <-ctx.Done():
			return replies, false
		case received := <-results:
			if received.err != nil {
				continue
			}
			replies = append(replies, received.reply)
			if Enough(len(replies), len(peers), false) {
				return replies, true
			}
		}
	}
	return replies, false
}
