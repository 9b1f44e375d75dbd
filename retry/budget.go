package retry

import (
	"hash/fnv"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits of a budget.
const (
	percent = 100
	// minServiceRate and minAccountRate are the retries a second that are allowed
	// when there are hardly any requests.
	minServiceRate = 0.1
	minAccountRate = 0.02
	// maxServiceBalance and maxAccountBalance bound the retries that can be saved
	// up.
	maxServiceBalance = 100
	maxAccountBalance = 10
	// accountBuckets bounds the state: accounts share a bucket when their hashes
	// meet. A bucket takes 32 bytes.
	accountBuckets = 1024
)

// bucket saves up a share of the requests as allowed retries.
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

// Budget counts the retries of one service at one ingress, over all its accounts
// and for each. It takes 32 KB at most and allocates the accounts' part with the
// first request.
//
// Invariant: in any time, the retries taken are at most the given percentage of
// the requests, plus the small minimum rate, plus one; for the service, and for
// each account together with those that share its bucket.
type Budget struct {
	share    float64
	limits   limits
	service  bucket
	accounts []bucket
}

// NewBudget returns a budget under a preset.
func NewBudget(preset *fleetconfig.Preset) *Budget {
	budget := &Budget{limits: ownLimits}
	budget.SetPreset(preset)
	return budget
}

// limits bound what is saved up, in retries, and the least rates, in retries a
// second.
type limits struct {
	serviceRate, accountRate   float64
	serviceLimit, accountLimit float64
}

// ownLimits hold where a preset sets no limits for the whole fleet.
var ownLimits = limits{
	serviceRate:  minServiceRate,
	accountRate:  minAccountRate,
	serviceLimit: maxServiceBalance,
	accountLimit: maxAccountBalance,
}

// Divide takes this ingress's part of the limits that a preset sets for the whole
// fleet, which has the given number of proxies. The parts together stay within the
// limits as long as the number is right, but for the one retry that each proxy may
// always save up.
func (b *Budget) Divide(preset *fleetconfig.Preset, proxies int) {
	if preset.RetryBurst <= 0 {
		b.limits = ownLimits
		return
	}
	rate := preset.RetryFloorPerSecond / float64(max(proxies, 1))
	most := max(1, preset.RetryBurst/float64(max(proxies, 1)))
	b.limits = limits{serviceRate: rate, accountRate: rate, serviceLimit: most, accountLimit: most}
}

// SetPreset changes the percentage while requests run. What was saved up stays,
// unless the percentage is zero.
func (b *Budget) SetPreset(preset *fleetconfig.Preset) {
	b.share = float64(preset.RetryBudgetPercent) / percent
	if b.share > 0 {
		return
	}
	b.service = bucket{}
	b.accounts = nil
}

// Request records a first attempt, which adds to the budget.
func (b *Budget) Request(account fleetconfig.AccountID, now time.Time) {
	if b.share <= 0 {
		return
	}
	own := b.account(account)
	b.fill(own, now)
	b.service.balance = min(b.limits.serviceLimit, b.service.balance+b.share)
	own.balance = min(b.limits.accountLimit, own.balance+b.share)
}

// Take takes one retry from the budget. It reports whether there was one.
func (b *Budget) Take(account fleetconfig.AccountID, now time.Time) bool {
	if b.share <= 0 {
		return false
	}
	own := b.account(account)
	b.fill(own, now)
	if b.service.balance < 1 || own.balance < 1 {
		return false
	}
	b.service.balance--
	own.balance--
	return true
}

func (b *Budget) fill(own *bucket, now time.Time) {
	b.service.fill(b.limits.serviceRate, b.limits.serviceLimit, now)
	own.fill(b.limits.accountRate, b.limits.accountLimit, now)
}

func (b *Budget) account(account fleetconfig.AccountID) *bucket {
	if b.accounts == nil {
		b.accounts = make([]bucket, accountBuckets)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(account))
	return &b.accounts[hash.Sum32()%accountBuckets]
}
