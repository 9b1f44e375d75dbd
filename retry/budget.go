package retry

import (
	"hash/fnv"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits of a budget.
const (
	percent = 100
	// minServiceRate and minAccountRate are the retries per second that are allowed in
	// addition to the percentage, so that some are allowed when there are hardly any
	// requests.
	minServiceRate = 0.1
	minAccountRate = 0.02
	// fleetAccountRate replaces minAccountRate, in retries per second, where the proxies beside the
	// backend servers limit the retries of all accounts together.
	fleetAccountRate = 0.2
	// maxServiceBalance and maxAccountBalance bound the retries that can accumulate.
	maxServiceBalance = 100
	maxAccountBalance = 10
	// accountBuckets bounds the state: accounts whose hashes collide share a bucket. A
	// bucket takes 32 bytes.
	accountBuckets = 1024
)

// bucket accumulates a share of the requests as allowed retries.
type bucket struct {
	balance float64
	filled  time.Time
}

func (b *bucket) fill(rate, limit float64, now time.Time) {
	if b.filled.IsZero() {
		b.filled = now
		b.balance = 1
		return
	}
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.balance = min(limit, b.balance+rate*elapsed.Seconds())
		b.filled = now
	}
}

// Budget limits the retries of one service at one ingress, for the whole service and for
// each account. It takes at most 32 KB and allocates the accounts' buckets with the first
// request.
//
// Invariant: from the first request on, the retries taken are at most the percentage of the
// requests (Preset.RetryBudgetPercent), plus the minimum rate multiplied by the elapsed
// time, plus one, the initial balance. When the percentage has been zero, requests and
// retries are counted anew from the next request on. In a period that starts later, the
// retries that accumulated before its start can be taken in addition. The invariant holds
// for the service, and for each account together with the accounts that share its bucket.
// Under a preset with limits for the whole fleet (Preset.RetryWindow), it holds for the accounts
// only: the proxies beside the backend servers limit the service's retries; see RepeatBudget.
type Budget struct {
	// share is the percentage of the preset as a fraction.
	share float64
	// fleetWide says that the preset has limits for the whole fleet.
	fleetWide bool
	// pausedUntil is the time until which no retry is allowed that is as urgent as pausedFrom
	// or less; see Exhausted.
	pausedUntil time.Time
	pausedFrom  fleetconfig.Urgency
	service     bucket
	accounts    []bucket
}

// exhaustedPause is how long an ingress allows no retry of a service after servers had no
// credit for one.
const exhaustedPause = 50 * time.Millisecond

// NewBudget returns a budget with the percentage of a preset.
func NewBudget(preset *fleetconfig.Preset) *Budget {
	budget := &Budget{}
	budget.SetPreset(preset)
	return budget
}

// Exhausted records that the servers to which a retry of the urgency was sent had no credit for
// it. They may have some for more urgent ones.
func (b *Budget) Exhausted(urgency fleetconfig.Urgency, now time.Time) {
	if now.Before(b.pausedUntil) {
		urgency = min(urgency, b.pausedFrom)
	}
	b.pausedUntil, b.pausedFrom = now.Add(exhaustedPause), urgency
}

// SetPreset changes the percentage while requests run. Accumulated retries are kept unless
// the percentage is zero.
func (b *Budget) SetPreset(preset *fleetconfig.Preset) {
	b.share = float64(preset.RetryBudgetPercent) / percent
	b.fleetWide = preset.RetryWindow > 0
	if b.share > 0 {
		return
	}
	b.service, b.accounts = bucket{}, nil
}

// RecordRequest records the first attempt of a request, which adds to the budget.
func (b *Budget) RecordRequest(account fleetconfig.AccountID, now time.Time) {
	if b.share <= 0 {
		return
	}
	accountBucket := b.account(account)
	b.fill(accountBucket, now)
	b.service.balance = min(maxServiceBalance, b.service.balance+b.share)
	accountBucket.balance = min(maxAccountBalance, accountBucket.balance+b.share)
}

// Take takes one retry of the urgency from the budget. It reports whether one was available.
func (b *Budget) Take(account fleetconfig.AccountID, urgency fleetconfig.Urgency, now time.Time) bool {
	if b.share <= 0 || (now.Before(b.pausedUntil) && urgency >= b.pausedFrom) {
		return false
	}
	accountBucket := b.account(account)
	b.fill(accountBucket, now)
	if accountBucket.balance < 1 || (!b.fleetWide && b.service.balance < 1) {
		return false
	}
	if !b.fleetWide {
		b.service.balance--
	}
	accountBucket.balance--
	return true
}

func (b *Budget) fill(accountBucket *bucket, now time.Time) {
	b.service.fill(minServiceRate, maxServiceBalance, now)
	accountRate := minAccountRate
	if b.fleetWide {
		accountRate = fleetAccountRate
	}
	accountBucket.fill(accountRate, maxAccountBalance, now)
}

func (b *Budget) account(account fleetconfig.AccountID) *bucket {
	if b.accounts == nil {
		b.accounts = make([]bucket, accountBuckets)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(account))
	return &b.accounts[hash.Sum32()%accountBuckets]
}
