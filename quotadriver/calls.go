package quotadriver

import (
	"context"
	"net/http"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/quota"
	"github.com/hemlockring/hemlockring/shard"
	"github.com/hemlockring/hemlockring/transport"
)

// Paths of the calls between instances.
const (
	pathMessages      = "/fleet/shard/messages"
	pathConfirmations = "/fleet/shard/confirmations"
	pathBorrow        = "/fleet/quota/borrow"
)

// MessageBatch carries shard messages to one instance, or the replies to such messages.
type MessageBatch struct {
	// Messages holds messages of one or more shards.
	Messages []shard.Message `cbor:"1,keyasint"`
}

// BorrowBatch carries the requests of an ingress to one owner.
type BorrowBatch struct {
	// Requests holds the requests, each for one shard.
	Requests []quota.BorrowRequest `cbor:"1,keyasint"`
}

// BorrowReplies is the reply to a BorrowBatch.
type BorrowReplies struct {
	// Replies holds the replies in the order of the requests.
	Replies []quota.BorrowReply `cbor:"1,keyasint"`
}

// ConfirmationRequest requests the epochs that the replicas of an instance have
// confirmed.
type ConfirmationRequest struct{}

// Confirmations is the reply to a ConfirmationRequest.
type Confirmations struct {
	// Confirmed lists the latest confirmed epoch of each shard that has one.
	Confirmed []shard.Confirmation `cbor:"1,keyasint"`
}

// Register adds the handlers of the calls between instances.
func (s *Service) Register(mux *http.ServeMux) {
	transport.HandleCall(mux, pathMessages, s.handleMessages)
	transport.HandleCall(mux, pathConfirmations, s.handleConfirmations)
	transport.HandleCall(mux, pathBorrow, s.handleBorrow)
}

func (s *Service) handleMessages(ctx context.Context, from fleetconfig.InstanceID, batch *MessageBatch) (*MessageBatch, error) {
	replies := &MessageBatch{}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for i := range batch.Messages {
		if reply := s.ownership.Handle(from, &batch.Messages[i], now); reply != nil {
			replies.Messages = append(replies.Messages, *reply)
		}
	}
	return replies, ctx.Err()
}

func (s *Service) handleConfirmations(_ context.Context, _ fleetconfig.InstanceID, _ *ConfirmationRequest) (*Confirmations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Confirmations{Confirmed: s.ownership.Confirmations(clock.Now())}, nil
}

func (s *Service) handleBorrow(_ context.Context, from fleetconfig.InstanceID, batch *BorrowBatch) (*BorrowReplies, error) {
	replies := s.lend(from, batch)
	for i := range replies.Replies {
		replies.Replies[i].Abridge(&batch.Requests[i])
	}
	return replies, nil
}

// lend handles the requests of an ingress, which may be this instance. If this instance
// does not own a shard, the reply names the known holder of its lease and, if control owns
// the quota, where it is.
func (s *Service) lend(from fleetconfig.InstanceID, batch *BorrowBatch) *BorrowReplies {
	replies := &BorrowReplies{Replies: make([]quota.BorrowReply, 0, len(batch.Requests))}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for i := range batch.Requests {
		request := &batch.Requests[i]
		lease, held := s.ownership.Held(request.Shard, now)
		if held {
			replies.Replies = append(replies.Replies, *s.lender.Borrow(lease, from, request, now))
			continue
		}
		owner, remaining := s.ownership.KnownHolder(request.Shard, now)
		replies.Replies = append(replies.Replies, quota.BorrowReply{
			Shard: request.Shard, Owner: owner, OwnerAddress: s.config.ControlOwner.addressOf(owner), RetryAfter: remaining,
		})
	}
	return replies
}

// CollectConfirmedEpochs requests the confirmed epochs from all replicas in the map, one
// instance after the other. Instances that do not answer are left out.
func CollectConfirmedEpochs(ctx context.Context, caller transport.Caller, shardMap *fleetconfig.ShardMap) shard.ConfirmedEpochs {
	confirmed := make(shard.ConfirmedEpochs)
	called := make(map[fleetconfig.InstanceID]struct{})
	for _, placement := range shardMap.Shards {
		for _, replica := range placement.Replicas {
			if _, done := called[replica.ID]; done {
				continue
			}
			called[replica.ID] = struct{}{}
			var reply Confirmations
			if err := caller.Call(ctx, replica.Address, pathConfirmations, &ConfirmationRequest{}, &reply); err != nil {
				continue
			}
			for _, c := range reply.Confirmed {
				if confirmed[c.Shard] == nil {
					confirmed[c.Shard] = make(map[fleetconfig.InstanceID]uint64)
				}
				confirmed[c.Shard][replica.ID] = c.Epoch
			}
		}
	}
	return confirmed
}
