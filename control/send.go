package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/consensus"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// messagePath is the path of calls that carry messages of the log.
const messagePath = "/fleet/consensus"

const (
	// sendQueue is the number of messages that wait for a member. More are dropped:
	// the log sends again what was lost.
	sendQueue = 512
	// sendWorkers is the number of calls to a member at a time, so that one lost
	// call does not hold up the next.
	sendWorkers = 2
	// snapshotTimeout bounds a call with a snapshot.
	snapshotTimeout = time.Minute
)

// envelope is a call with messages of the log.
type envelope struct {
	// Address is where the sender takes calls. A member with a blank disk knows no
	// addresses.
	Address  string              `cbor:"1,keyasint"`
	Messages []consensus.Message `cbor:"2,keyasint"`

	from consensus.MemberID
}

// received answers a call. It only says that the messages have arrived.
type received struct{}

// handleMessages takes messages from another control instance. If the loop lags,
// they are dropped like lost ones.
func (n *Node) handleMessages(ctx context.Context, from fleetconfig.InstanceID, call *envelope) (*received, error) {
	call.from = consensus.MemberID(from)
	for _, message := range call.Messages {
		if message.From != call.from {
			return nil, errors.Newf("a message of %s came from %s; check the instances' certificates", message.From, from)
		}
	}
	select {
	case n.inbox <- call:
		return &received{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// outgoing is a message with where to send it.
type outgoing struct {
	address string
	message consensus.Message
}

// senders carry messages to the members. Only the loop calls its methods.
type senders struct {
	node    *Node
	ctx     context.Context
	queues  map[consensus.MemberID]chan outgoing
	learned map[consensus.MemberID]string
	workers sync.WaitGroup
	// pending counts the messages that are queued or being sent, and sent tells
	// that there are fewer.
	pending atomic.Int64
	sent    chan struct{}
}

func newSenders(ctx context.Context, node *Node) *senders {
	s := &senders{
		node:    node,
		ctx:     ctx,
		queues:  map[consensus.MemberID]chan outgoing{},
		learned: map[consensus.MemberID]string{},
		sent:    make(chan struct{}, 1),
	}
	return s
}

// learn keeps the address that an instance gave in its last call. It may not be in
// the membership yet, or have another address since.
func (s *senders) learn(id consensus.MemberID, address string) {
	if address == "" {
		return
	}
	if _, known := s.learned[id]; known || len(s.learned) < maxPeers {
		s.learned[id] = address
	}
}

// address returns where an instance takes calls, or "" if that is not known.
func (s *senders) address(id consensus.MemberID, membership consensus.Membership) string {
	if address, ok := s.learned[id]; ok {
		return address
	}
	if member, ok := membership.Find(id); ok {
		return member.Address
	}
	for _, peer := range s.node.config.InitialPeers {
		if consensus.MemberID(peer.ID) == id {
			return peer.Address
		}
	}
	return ""
}

// send queues messages. A snapshot gets its data from the disk.
func (l *loop) send(messages []consensus.Message) {
	for _, message := range messages {
		if message.Snapshot != nil {
			snapshot, found, err := l.store.LoadSnapshot()
			if err != nil || !found {
				l.config.Logger.Error("cannot read the snapshot to send", "error", err)
				continue
			}
			message.Snapshot = &snapshot
		}
		l.senders.queue(outgoing{
			address: l.senders.address(message.To, l.node.Membership()),
			message: message,
		})
	}
}

func (s *senders) queue(out outgoing) {
	if out.address == "" {
		return
	}
	queue, ok := s.queues[out.message.To]
	if !ok {
		if len(s.queues) >= maxPeers {
			return
		}
		queue = make(chan outgoing, sendQueue)
		s.queues[out.message.To] = queue
		for range sendWorkers {
			s.workers.Go(func() { s.work(queue) })
		}
	}
	s.pending.Add(1)
	select {
	case queue <- out:
	default:
		s.pending.Add(-1)
	}
}

// flush waits until all that is queued is sent, for a time at most. A leader that
// hands over must not stop before the last message is out.
func (s *senders) flush(timeout time.Duration) {
	deadline := clock.Now().Add(timeout)
	for s.pending.Load() > 0 && clock.Now().Before(deadline) {
		select {
		case <-s.sent:
		case <-time.After(timeout / 10):
		}
	}
}

func (s *senders) wait() { s.workers.Wait() }

// work sends what is queued for a member, as few calls as possible.
func (s *senders) work(queue chan outgoing) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-queue:
			s.call(first, queue)
		}
	}
}

func (s *senders) call(first outgoing, queue chan outgoing) {
	call := &envelope{Address: s.node.config.Address}
	timeout := s.node.config.ElectionTimeout
	size := 0
	for next := first; ; {
		call.Messages = append(call.Messages, next.message)
		for _, entry := range next.message.Entries {
			size += len(entry.Data)
		}
		if next.message.Snapshot != nil {
			timeout = snapshotTimeout
			size += len(next.message.Snapshot.Data)
		}
		if size >= maxMessageBytes || len(queue) == 0 {
			break
		}
		select {
		case next = <-queue:
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	// A failed call is like lost messages: the log sends again.
	_ = s.node.config.Caller.Call(ctx, first.address, messagePath, call, &received{})
	s.pending.Add(-int64(len(call.Messages)))
	select {
	case s.sent <- struct{}{}:
	default:
	}
}
