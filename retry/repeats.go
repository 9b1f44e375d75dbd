package retry

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

const (
	// creditSlots is how many slots the lifetime of credit is divided into.
	creditSlots = 8
	// lifetimesPerWindow is the length of a preset's window (Preset.RetryWindow) in lifetimes of
	// credit. With a longer lifetime, more repeats are possible at once, and fewer in the long
	// run.
	lifetimesPerWindow = 3
	// maxBaseCredit and maxBaseRate, in repeats and in repeats per second, are what a server may
	// receive in addition to the percentage, however few servers are known.
	maxBaseCredit = 1
	maxBaseRate   = 0.15
	// floorShare is the share of the fleet's floor that is divided among the servers. The rest
	// covers requests that arrive unevenly.
	floorShare = 0.75
	// maxReservedTakes is after how many repeats one of any urgency may take the credit that is
	// kept for more urgent ones, so that none starves. In a queue, too, every fourth slot goes to
	// the less urgent.
	maxReservedTakes = 3
)

// RepeatLimits are the limits on the repeats that one backend server receives.
type RepeatLimits struct {
	// Share is the credit, in repeats, that each first request earns.
	Share float64
	// Lifetime is how long credit can be used.
	Lifetime time.Duration
	// BaseCredit is how much credit, in repeats, is kept beyond the lifetime.
	BaseCredit float64
	// BaseRate is the credit earned without requests, in repeats per second.
	BaseRate float64
}

// RepeatLimitsOf returns the limits with which a service that has the given number of known
// backend servers stays within the limits of a preset. It returns false if the preset has no
// limits for the whole fleet.
func RepeatLimitsOf(preset *fleetconfig.Preset, servers int) (RepeatLimits, bool) {
	if preset.RetryWindow <= 0 {
		return RepeatLimits{}, false
	}
	limits := RepeatLimits{Lifetime: max(preset.RetryWindow/lifetimesPerWindow, creditSlots)}
	if preset.RetryBudgetPercent == 0 {
		return limits, true
	}
	// The credit that is used in a window was earned in the window and one lifetime before.
	period := preset.RetryWindow + limits.Lifetime
	limits.Share = float64(preset.RetryBudgetPercent) / percent * float64(preset.RetryWindow) / float64(period)
	part := floorShare * preset.RetryFloorPerSecond * preset.RetryWindow.Seconds() / float64(max(servers, 1))
	limits.BaseCredit = min(maxBaseCredit, part)
	limits.BaseRate = min(maxBaseRate, (part-limits.BaseCredit)/period.Seconds())
	return limits, true
}

// RepeatBudget limits the repeats that one backend server receives: further attempts of
// requests, and requests that repeated runs of other servers send. It counts them where they
// arrive, so that nothing that happens on the way changes the sum over the fleet. The zero
// value has no credit.
//
// Invariant: in any period, the repeats taken are at most RepeatLimits.BaseCredit, plus
// Share multiplied by the first requests in the period and in the Lifetime before it, plus
// BaseRate multiplied by the length of the period and twice the Lifetime. This holds across
// restarts, because a new budget has no credit, and for the sum over any set of servers.
type RepeatBudget struct {
	limits RepeatLimits
	// credit is how many repeats can be taken now.
	credit float64
	// earned is a ring buffer of the credit that was earned in each slot.
	earned [creditSlots]float64
	// current is the number of the current slot, counted from startedAt.
	current   int64
	startedAt time.Time
	filledAt  time.Time
	demand    demand
	// reservedTakes counts the repeats since the last that took credit kept for others.
	reservedTakes int
}

// RecordFirst records a first request, which earns credit.
func (b *RepeatBudget) RecordFirst(limits RepeatLimits, now time.Time) {
	b.fill(limits, now)
	b.earn(limits.Share)
	b.limitCredit()
}

// Ask records that a repeat of the urgency asks for credit, and reports whether it can be taken
// now. Credit that more urgent repeats have lately asked for is kept for those to come, so that
// the less urgent ones do not use it up before.
func (b *RepeatBudget) Ask(limits RepeatLimits, urgency fleetconfig.Urgency, now time.Time) bool {
	b.demand.record(urgency, now)
	return b.available(limits, urgency, now)
}

func (b *RepeatBudget) available(limits RepeatLimits, urgency fleetconfig.Urgency, now time.Time) bool {
	b.fill(limits, now)
	return b.credit >= 1 && (b.reservedTakes >= maxReservedTakes || b.unreserved(urgency, now))
}

// unreserved reports whether a repeat leaves the credit that is kept for more urgent ones.
func (b *RepeatBudget) unreserved(urgency fleetconfig.Urgency, now time.Time) bool {
	return b.credit >= 1+b.demand.moreUrgent(urgency, now)
}

// Take takes one repeat of the urgency, for which Ask was called before. It reports whether one
// was available. A repeat that does not reach the server stays taken: returned later, it would be
// credit that nothing has earned meanwhile.
func (b *RepeatBudget) Take(limits RepeatLimits, urgency fleetconfig.Urgency, now time.Time) bool {
	if !b.available(limits, urgency, now) {
		return false
	}
	if b.unreserved(urgency, now) {
		b.reservedTakes++
	} else {
		b.reservedTakes = 0
	}
	b.credit--
	return true
}

// HasCredit reports whether a repeat of the highest urgency can be taken now.
func (b *RepeatBudget) HasCredit(limits RepeatLimits, now time.Time) bool {
	b.fill(limits, now)
	return b.credit >= 1
}

// Credit returns how many repeats can be taken, as of the last call of another method.
func (b *RepeatBudget) Credit() float64 { return b.credit }

// fill adopts the limits, drops expired credit and adds what the base rate has earned.
func (b *RepeatBudget) fill(limits RepeatLimits, now time.Time) {
	if b.startedAt.IsZero() || b.limits.Lifetime != limits.Lifetime {
		b.startedAt, b.filledAt, b.current = now, now, 0
		b.earned = [creditSlots]float64{}
	}
	b.limits = limits
	slot := limits.Lifetime / creditSlots
	number := int64(now.Sub(b.startedAt) / slot)
	if number-b.current >= creditSlots {
		b.earned = [creditSlots]float64{}
		b.current = number
	}
	for ; b.current < number; b.current++ {
		b.earned[(b.current+1)%creditSlots] = 0
	}
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.earn(limits.BaseRate * min(elapsed, limits.Lifetime).Seconds())
		b.filledAt = now
	}
	b.limitCredit()
}

func (b *RepeatBudget) earn(credit float64) {
	b.credit += credit
	b.earned[b.current%creditSlots] += credit
}

// limitCredit drops the credit that was earned more than a lifetime ago.
func (b *RepeatBudget) limitCredit() {
	valid := 0.0
	for _, earned := range b.earned {
		valid += earned
	}
	b.credit = min(b.credit, max(valid, b.limits.BaseCredit))
}
