package queue

import (
	"time"

	"github.com/hemlockring/hemlockring/throttle"
)

// ObserveRate records what a response of the backend server states about its rate.
// dispatchedAt is when the request was sent to the server. ObserveRate reports whether the
// rate limit has changed.
func (q *Queue) ObserveRate(advertised throttle.Advertised, dispatchedAt, now time.Time) (changed bool, actions []Action) {
	if !q.throttle.Observe(advertised, dispatchedAt, now) {
		return false, nil
	}
	return true, q.applyRate(now)
}

// AdoptRate sets the rate that an ingress has learned from the backend server. age is the
// time since it was learned. The rate applies only while no response of the server has been
// observed.
func (q *Queue) AdoptRate(perSecond float64, age time.Duration, now time.Time) (changed bool, actions []Action) {
	if !q.throttle.Adopt(perSecond, age, now) {
		return false, nil
	}
	return true, q.applyRate(now)
}

// SetColdLimit sets the limit that holds while the backend server is cold.
func (q *Queue) SetColdLimit(limit throttle.ColdLimit, now time.Time) []Action {
	if !q.throttle.SetColdLimit(limit, now) {
		return nil
	}
	return q.applyRate(now)
}

// SetKnownSince sets since when all requests that were sent to the backend server have passed the
// queue; see throttle.Throttle.SetKnownSince.
func (q *Queue) SetKnownSince(since time.Time) { q.throttle.SetKnownSince(since) }

// SetColdUntil records the backend server's statement that it is cold until the given time,
// which is not after now if it is warm.
func (q *Queue) SetColdUntil(until, now time.Time) []Action {
	if !q.throttle.SetColdUntil(until, now) {
		return nil
	}
	return q.applyRate(now)
}

// applyRate starts the requests that a changed rate limit admits. It refuses the waiting
// requests for which there is no token, so that another backend server can run them; those
// with WaitForRate stay.
func (q *Queue) applyRate(now time.Time) []Action {
	q.lastEventAt = now
	actions := q.dispatch(now, nil)
	excess := q.waiting - min(q.waiting, max(0, q.throttle.Tokens(now)))
	for _, account := range q.backlog {
		for _, item := range account.items {
			if excess > 0 && !item.WaitForRate {
				excess--
				actions = append(actions, q.refuse(item.ID, ReasonRateLimited))
			}
		}
	}
	for _, action := range actions {
		if refuse, refused := action.(Refuse); refused {
			q.removeWaiting(refuse.ID)
		}
	}
	return actions
}

// removeWaiting removes a waiting request. It reports whether the request was waiting.
func (q *Queue) removeWaiting(id ItemID) bool {
	for _, account := range q.backlog {
		if account.remove(id) {
			q.recordRemoval(account)
			return true
		}
	}
	return false
}

// RateState returns the state of the rate limit for a request that is offered now.
func (q *Queue) RateState(now time.Time) throttle.State {
	return q.throttle.State(now)
}

// StatedRate is like RateState, but only with the limits that follow from statements of the
// backend server; see throttle.Throttle.StatedState.
func (q *Queue) StatedRate(now time.Time) throttle.State { return q.throttle.StatedState(now) }

// SetRateOverage sets by how much the advertised rate may be exceeded, as a share of it; see
// Item.WaitForRate.
func (q *Queue) SetRateOverage(share float64, now time.Time) { q.throttle.SetOverage(share, now) }

// AppointNext returns the time after which the ingress of the last request should send its
// next one; see throttle.Throttle.Appoint.
func (q *Queue) AppointNext(now time.Time) time.Duration { return q.throttle.Appoint(now) }

// WithheldSlots returns how many slots stay unused because of the rate limit, by the mean
// service time.
func (q *Queue) WithheldSlots() int {
	state := q.throttle.StatedState(q.lastEventAt)
	if !state.Limited {
		return 0
	}
	usable := int(state.PerSecond*q.serviceTime.Seconds()) + 1
	return max(0, q.slots-usable)
}
