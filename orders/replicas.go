package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/idempotency"
	"github.com/hemlockring/hemlockring/transport"
)

// Calls between instances name the shard besides the message.
type (
	voteCall struct {
		Shard   int                     `cbor:"1,keyasint"`
		Request idempotency.VoteRequest `cbor:"2,keyasint"`
	}
	releaseCall struct {
		Shard   int                        `cbor:"1,keyasint"`
		Request idempotency.ReleaseRequest `cbor:"2,keyasint"`
	}
	finishCall struct {
		Shard   int                       `cbor:"1,keyasint"`
		Request idempotency.FinishRequest `cbor:"2,keyasint"`
	}
	readCall struct {
		Shard   int                     `cbor:"1,keyasint"`
		Request idempotency.ReadRequest `cbor:"2,keyasint"`
	}
	statusCall struct {
		Shard int `cbor:"1,keyasint"`
	}
	// acknowledgement says that a release or an outcome was taken in.
	acknowledgement struct {
		Held bool `cbor:"1,keyasint"`
	}
)

var errNotReplica = errors.New("this instance keeps no records of the shard; the sender's shard map is older or newer")

// withReplica runs a step of a replica, waits until its changes are on disk and
// only then returns, so that no reply leaves before what it promises is durable.
func (s *Service) withReplica(number int, step func(replica *idempotency.Replica, now time.Time)) error {
	s.mu.Lock()
	now := clock.Now()
	s.applyShardMap(s.config.ShardMap(), now)
	replica := s.replicas[number]
	if replica == nil {
		s.mu.Unlock()
		return errNotReplica
	}
	step(replica, now)
	synced := s.persist(number, replica)
	s.mu.Unlock()
	return synced.wait()
}

func (s *Service) handleVote(_ context.Context, _ fleetconfig.InstanceID, call *voteCall) (*idempotency.VoteReply, error) {
	return s.vote(call)
}

func (s *Service) vote(call *voteCall) (*idempotency.VoteReply, error) {
	var reply idempotency.VoteReply
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, now time.Time) {
		reply = replica.Vote(call.Request, now)
	})
	return &reply, err
}

func (s *Service) handleRelease(_ context.Context, _ fleetconfig.InstanceID, call *releaseCall) (*acknowledgement, error) {
	return s.release(call)
}

func (s *Service) release(call *releaseCall) (*acknowledgement, error) {
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, _ time.Time) {
		replica.Release(call.Request)
	})
	return &acknowledgement{}, err
}

func (s *Service) handleFinish(_ context.Context, _ fleetconfig.InstanceID, call *finishCall) (*acknowledgement, error) {
	return s.finish(call)
}

func (s *Service) finish(call *finishCall) (*acknowledgement, error) {
	reply := new(acknowledgement)
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, now time.Time) {
		reply.Held = replica.Finish(call.Request, now)
	})
	return reply, err
}

func (s *Service) handleRead(_ context.Context, _ fleetconfig.InstanceID, call *readCall) (*idempotency.ReadReply, error) {
	var reply idempotency.ReadReply
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, now time.Time) {
		reply = replica.ReadPage(call.Request, now)
	})
	return &reply, err
}

func (s *Service) handleStatus(_ context.Context, _ fleetconfig.InstanceID, call *statusCall) (*idempotency.Status, error) {
	var status idempotency.Status
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, now time.Time) {
		replica.Tick(now)
		status = replica.Status()
	})
	return &status, err
}

// pageRead is one page that a recovering replica asks for.
type pageRead struct {
	shard   int
	to      fleetconfig.InstanceID
	address string
	call    readCall
}

// tick moves all replicas on and, unless the reads of an earlier tick are still
// under way, sends the reads of recovering ones.
func (s *Service) tick(ctx context.Context) {
	pages := s.nextPageReads()
	if len(pages) == 0 || !s.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.reading.Store(false)
		var group sync.WaitGroup
		for _, page := range pages {
			group.Go(func() { s.readPages(ctx, page) })
		}
		group.Wait()
	}()
}

func (s *Service) nextPageReads() []pageRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.applyShardMap(s.config.ShardMap(), now)
	var pages []pageRead
	for number, replica := range s.replicas {
		for _, read := range replica.NextReads(now) {
			pages = append(pages, s.newPageRead(number, read))
		}
		s.persist(number, replica)
	}
	return pages
}

func (s *Service) newPageRead(number int, read idempotency.OutgoingRead) pageRead {
	placed := placementOf(s.shardMap, number)
	return pageRead{
		shard:   number,
		to:      read.To,
		address: placed.addresses[placed.group.Index(read.To)],
		call:    readCall{Shard: number, Request: read.Request},
	}
}

// readPages reads one replica page by page until it has no more or fails; the
// next tick asks again.
func (s *Service) readPages(ctx context.Context, page pageRead) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		var reply idempotency.ReadReply
		if err := s.caller.Call(ctx, page.address, readPath, &page.call, &reply); err != nil || !reply.Ready {
			return
		}
		err := s.withReplica(page.shard, func(replica *idempotency.Replica, now time.Time) {
			replica.HandleReadReply(page.to, reply, now)
		})
		if err != nil || !reply.More || reply.Last == page.call.Request.After {
			return
		}
		page.call.Request.After = reply.Last
	}
}

// FetchStatuses asks the replicas of a shard how far they are, for a change of the
// shard map (idempotency.CheckStep). Replicas that do not answer are left out.
func (s *Service) FetchStatuses(ctx context.Context, shardMap fleetconfig.ShardMap, number int) []idempotency.Status {
	return FetchStatuses(ctx, s.caller, shardMap, number)
}

// FetchStatuses is Statuses for an instance that keeps no records itself.
func FetchStatuses(ctx context.Context, caller transport.Caller, shardMap fleetconfig.ShardMap, number int) []idempotency.Status {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan *idempotency.Status)
	placed := placementOf(shardMap, number)
	for _, address := range placed.addresses {
		go func() {
			status := new(idempotency.Status)
			if err := caller.Call(ctx, address, statusPath, &statusCall{Shard: number}, status); err != nil {
				status = nil
			}
			replies <- status
		}()
	}
	var statuses []idempotency.Status
	for range placed.addresses {
		if status := <-replies; status != nil {
			statuses = append(statuses, *status)
		}
	}
	return statuses
}
