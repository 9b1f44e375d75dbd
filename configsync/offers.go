package configsync

import (
	"context"
	"time"

	"github.com/hemlockring/hemlockring/currency"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// maxConcurrentOffers is how many offers of the leader to one holder run at the same time: one
// that brings a version, and one that asks whether the holder still holds it. Each offer may
// cause others to all holders, so without a limit they multiply while versions follow each other
// closely.
const maxConcurrentOffers = 2

// holderOffers is the state of the leader's offers to one holder.
type holderOffers struct {
	running int
	// wanted says that another offer was due while maxConcurrentOffers were running.
	wanted bool
	// held is the version that the holder held according to the reply to the latest offer
	// that it has replied to, which was sent at sentAt.
	held   uint64
	sentAt time.Time
}

// recordReply records which version the holder held when it replied to the offer that was sent
// at sentAt. Replies may arrive out of order.
func (o *holderOffers) recordReply(held uint64, sentAt time.Time) {
	if !sentAt.Before(o.sentAt) {
		o.held, o.sentAt = held, sentAt
	}
}

// beginOffer reports whether an offer to the holder may be sent now. If not, it is sent when
// another one has ended. The caller holds mu.
func (s *Service) beginOffer(holder fleetconfig.InstanceID) bool {
	offers := s.offers[holder]
	if offers == nil {
		offers = &holderOffers{}
		s.offers[holder] = offers
	}
	if offers.running >= maxConcurrentOffers {
		offers.wanted = true
		return false
	}
	offers.running++
	return true
}

// offerEnded ends an offer that beginOffer has permitted, and sends the one that waited for it,
// unless the leadership has ended.
func (s *Service) offerEnded(ctx context.Context, leader *currency.Leader, holder fleetconfig.InstanceAddress) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offers := s.offers[holder.ID]
	offers.running--
	wanted := offers.wanted
	offers.wanted = false
	if wanted && leader != nil && leader == s.leader && ctx.Err() == nil && s.beginOffer(holder.ID) {
		go s.offerToHolder(ctx, leader, holder)
	}
}
