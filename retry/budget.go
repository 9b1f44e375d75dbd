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
// each account together with those that share its bucket. Under a preset that sets
// limits for the whole fleet, the service's retries are counted in a window instead:
// over all proxies they are at most the percentage of the window's requests, plus the
// fleet's floor.
type Budget struct {
	share   float64
	limits  limits
	service bucket
	// window replaces service under a preset that limits the whole fleet.
	window   *window
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
	// window is the time in which the service's retries are counted, or zero. Floor is
	// how many are allowed in it besides the percentage.
	window time.Duration
	floor  float64
}

// ownLimits hold where a preset sets no limits for the whole fleet.
var ownLimits = limits{
	serviceRate:  minServiceRate,
	accountRate:  minAccountRate,
	serviceLimit: maxServiceBalance,
	accountLimit: maxAccountBalance,
}

// SetFleetLimits takes this ingress's part of the limits that a preset sets for the whole
// fleet, which has the given number of proxies. The parts together stay within the
// limits as long as the number is right.
func (b *Budget) SetFleetLimits(preset *fleetconfig.Preset, proxies int) {
	if preset.RetryWindow <= 0 {
		b.limits, b.window = ownLimits, nil
		return
	}
	rate := preset.RetryFloorPerSecond / float64(max(proxies, 1))
	floor := rate * preset.RetryWindow.Seconds()
	if b.window != nil && b.limits.window != preset.RetryWindow {
		b.window = nil
	}
	b.limits = limits{accountRate: rate, accountLimit: max(1, floor), window: preset.RetryWindow, floor: floor}
}

// SetPreset changes the percentage while requests run. What was saved up stays,
// unless the percentage is zero.
func (b *Budget) SetPreset(preset *fleetconfig.Preset) {
	b.share = float64(preset.RetryBudgetPercent) / percent
	if b.share > 0 {
		return
	}
	b.service, b.window = bucket{}, nil
	b.accounts = nil
}

// RecordRequest records a first attempt, which adds to the budget.
func (b *Budget) RecordRequest(account fleetconfig.AccountID, now time.Time) {
	if b.share <= 0 {
		return
	}
	own := b.account(account)
	b.fill(own, now)
	if b.window != nil {
		b.window.request(now)
	} else {
		b.service.balance = min(b.limits.serviceLimit, b.service.balance+b.share)
	}
	own.balance = min(b.limits.accountLimit, own.balance+b.share)
}

// Take takes one retry from the budget. It reports whether there was one.
func (b *Budget) Take(account fleetconfig.AccountID, now time.Time) bool {
	if b.share <= 0 {
		return false
	}
	own := b.account(account)
	b.fill(own, now)
	if own.balance < 1 || !b.takeOfService(now) {
		return false
	}
	own.balance--
	return true
}

func (b *Budget) takeOfService(now time.Time) bool {
	if b.window != nil {
		return b.window.take(b.share, b.limits.floor, now)
	}
	if b.service.balance < 1 {
		return false
	}
	b.service.balance--
	return true
}

func (b *Budget) fill(own *bucket, now time.Time) {
	if b.limits.window > 0 {
		if b.window == nil {
			b.window = newWindow(b.limits.window, now)
		}
	} else {
		b.service.fill(b.limits.serviceRate, b.limits.serviceLimit, now)
	}
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
