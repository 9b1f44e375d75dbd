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

// messagePath is the path of the calls that carry consensus messages.
const messagePath = "/fleet/consensus"

const (
	// sendQueueLength is the number of messages that may wait to be sent to a member.
	// Further messages are dropped; the consensus node retransmits lost messages.
	sendQueueLength = 512
	// sendWorkers is the number of concurrent calls to a member, so that a lost call does
	// not delay later messages until it times out.
	sendWorkers = 2
	// snapshotTimeout bounds a call that carries a snapshot.
	snapshotTimeout = time.Minute
)

// messageBatch is the request of a call that carries consensus messages.
type messageBatch struct {
	// Address is where the sender receives calls. Each call contains it, since a member
	// with a blank disk does not know the addresses of the others.
	Address  string              `cbor:"1,keyasint"`
	Messages []consensus.Message `cbor:"2,keyasint"`

	// from is the ID of the calling instance according to its certificate. It is not sent.
	from consensus.MemberID
}

// messageAck is the reply to a messageBatch. It only acknowledges the receipt.
type messageAck struct{}

// handleMessages queues messages from another control instance for the loop. If the
// queue stays full until the caller's deadline, the messages are dropped.
func (n *Node) handleMessages(ctx context.Context, from fleetconfig.InstanceID, batch *messageBatch) (*messageAck, error) {
	batch.from = consensus.MemberID(from)
	for _, message := range batch.Messages {
		if message.From != batch.from {
			return nil, errors.Newf("a message with sender %s came from instance %s; check the instances' certificates", message.From, from)
		}
	}
	select {
	case n.inbox <- batch:
		return &messageAck{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// outgoingMessage is a message and the address to send it to.
type outgoingMessage struct {
	address string
	message consensus.Message
}

// senders sends messages to the members, with one queue and sendWorkers goroutines for
// each member. The goroutines run sendLoop and sendBatch, and end when ctx ends. All other
// methods are called on the goroutine of Serve only.
type senders struct {
	node             *Node
	ctx              context.Context
	queues           map[consensus.MemberID]chan outgoingMessage
	learnedAddresses map[consensus.MemberID]string
	workers          sync.WaitGroup
	// pending counts the messages that are queued or being sent; progress is signalled
	// whenever it has decreased.
	pending  atomic.Int64
	progress chan struct{}
}

func newSenders(ctx context.Context, node *Node) *senders {
	s := &senders{
		node:             node,
		ctx:              ctx,
		queues:           map[consensus.MemberID]chan outgoingMessage{},
		learnedAddresses: map[consensus.MemberID]string{},
		progress:         make(chan struct{}, 1),
	}
	return s
}

// learnAddress stores the address that an instance gave in its last call. The instance
// may not be in the membership yet, or the membership may list an old address.
func (s *senders) learnAddress(id consensus.MemberID, address string) {
	if address == "" {
		return
	}
	if _, known := s.learnedAddresses[id]; known || len(s.learnedAddresses) < maxPeers {
		s.learnedAddresses[id] = address
	}
}

// address returns the address of an instance, or "" if it is not known.
func (s *senders) address(id consensus.MemberID, membership consensus.Membership) string {
	if address, ok := s.learnedAddresses[id]; ok {
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

// send queues messages for sending. The data of a snapshot is read from the disk.
func (l *loop) send(messages []consensus.Message) {
	for _, message := range messages {
		if message.Snapshot != nil {
			snapshot, found, err := l.store.LoadSnapshot()
			if err != nil || !found {
				l.config.Logger.Error("reading a snapshot to send failed", "error", err)
				continue
			}
			message.Snapshot = &snapshot
		}
		l.senders.enqueue(outgoingMessage{
			address: l.senders.address(message.To, l.node.Membership()),
			message: message,
		})
	}
}

// enqueue adds a message to the queue of its receiver, and starts the queue's
// goroutines when the queue is new. It drops the message if the queue is full.
func (s *senders) enqueue(out outgoingMessage) {
	if out.address == "" {
		return
	}
	queue, ok := s.queues[out.message.To]
	if !ok {
		if len(s.queues) >= maxPeers {
			return
		}
		queue = make(chan outgoingMessage, sendQueueLength)
		s.queues[out.message.To] = queue
		for range sendWorkers {
			s.workers.Go(func() { s.sendLoop(queue) })
		}
	}
	s.pending.Add(1)
	select {
	case queue <- out:
	default:
		s.pending.Add(-1)
	}
}

// flush waits until all queued messages are sent, or the timeout has passed. A leader
// that transfers the leadership must not stop before its last message is sent.
func (s *senders) flush(timeout time.Duration) {
	deadline := clock.Now().Add(timeout)
	for s.pending.Load() > 0 && clock.Now().Before(deadline) {
		select {
		case <-s.progress:
		case <-time.After(timeout / 10):
		}
	}
}

// wait waits until the goroutines have ended. The context must have been cancelled.
func (s *senders) wait() { s.workers.Wait() }

// sendLoop sends the messages in the queue of a member until the context ends.
func (s *senders) sendLoop(queue chan outgoingMessage) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case first := <-queue:
			s.sendBatch(first, queue)
		}
	}
}

// sendBatch sends a message and those that are queued behind it in one call, up to
// about maxMessageBytes.
func (s *senders) sendBatch(first outgoingMessage, queue chan outgoingMessage) {
	batch := &messageBatch{Address: s.node.config.Address}
	timeout := s.node.config.ElectionTimeout
	size := 0
	for next := first; ; {
		batch.Messages = append(batch.Messages, next.message)
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
	// The messages of a failed call are lost; the consensus node retransmits them.
	_ = s.node.config.Caller.Call(ctx, first.address, messagePath, batch, &messageAck{})
	s.pending.Add(-int64(len(batch.Messages)))
	select {
	case s.progress <- struct{}{}:
	default:
	}
}
