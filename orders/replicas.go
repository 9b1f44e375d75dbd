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

// Messages of calls between instances. Each request contains the shard number.
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
	// acknowledgement confirms a release or an outcome. Held is the result of
	// Replica.HandleFinish; it is false for a release.
	acknowledgement struct {
		Held bool `cbor:"1,keyasint"`
	}
)

var errNotReplica = errors.New("this instance is not a replica of the shard; the sender's shard map is older or newer than this instance's")

// withReplica calls step with a replica and waits until the resulting changes
// are synced to disk, so that no reply is sent before the state that it reports
// is durable.
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
		reply = replica.HandleVoteRequest(call.Request, now)
	})
	return &reply, err
}

func (s *Service) handleRelease(_ context.Context, _ fleetconfig.InstanceID, call *releaseCall) (*acknowledgement, error) {
	return s.release(call)
}

func (s *Service) release(call *releaseCall) (*acknowledgement, error) {
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, now time.Time) {
		replica.HandleRelease(call.Request, now)
	})
	return &acknowledgement{}, err
}

func (s *Service) handleFinish(_ context.Context, _ fleetconfig.InstanceID, call *finishCall) (*acknowledgement, error) {
	return s.finish(call)
}

func (s *Service) finish(call *finishCall) (*acknowledgement, error) {
	reply := new(acknowledgement)
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, now time.Time) {
		reply.Held = replica.HandleFinish(call.Request, now)
	})
	return reply, err
}

func (s *Service) handleRead(_ context.Context, _ fleetconfig.InstanceID, call *readCall) (*idempotency.ReadReply, error) {
	var reply idempotency.ReadReply
	err := s.withReplica(call.Shard, func(replica *idempotency.Replica, now time.Time) {
		reply = replica.HandleReadRequest(call.Request, now)
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

// pageRead is a page request of a recovering replica.
type pageRead struct {
	shard   int
	to      fleetconfig.InstanceID
	address string
	call    readCall
}

// tick applies a newer shard map, removes expired records and continues the
// recovery of all replicas. It then sends the page requests of recovering
// replicas, unless the page requests of an earlier tick are still running.
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
	placement := placementOf(s.shardMap, number)
	return pageRead{
		shard:   number,
		to:      read.To,
		address: placement.addresses[placement.group.Index(read.To)],
		call:    readCall{Shard: number, Request: read.Request},
	}
}

// readPages reads the records of one replica page by page until the last page
// or a failure. The next tick retries after a failure.
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

// FetchStatuses queries the status of each replica of a shard, for a change of
// the shard map (see idempotency.CheckStep). Replicas that do not reply are
// omitted.
func (s *Service) FetchStatuses(ctx context.Context, shardMap fleetconfig.ShardMap, number int) []idempotency.Status {
	return FetchStatuses(ctx, s.caller, shardMap, number)
}

// FetchStatuses is like Service.FetchStatuses, for an instance that holds no
// records.
func FetchStatuses(ctx context.Context, caller transport.Caller, shardMap fleetconfig.ShardMap, number int) []idempotency.Status {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan *idempotency.Status)
	placement := placementOf(shardMap, number)
	for _, address := range placement.addresses {
		go func() {
			status := new(idempotency.Status)
			if err := caller.Call(ctx, address, statusPath, &statusCall{Shard: number}, status); err != nil {
				status = nil
			}
			replies <- status
		}()
	}
	var statuses []idempotency.Status
	for range placement.addresses {
		if status := <-replies; status != nil {
			statuses = append(statuses, *status)
		}
	}
	return statuses
}
