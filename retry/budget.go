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
// Under a preset with limits for the whole fleet (Preset.RetryWindow), the service's
// retries are counted in a window instead: over all proxies they are at most the percentage
// of the window's requests plus the fleet's floor (Preset.RetryFloorPerSecond multiplied by
// the window).
type Budget struct {
	// share is the percentage of the preset as a fraction.
	share   float64
	limits  limits
	service bucket
	// window replaces service under a preset with limits for the whole fleet.
	window   *window
	accounts []bucket
}

// NewBudget returns a budget with the percentage of a preset.
func NewBudget(preset *fleetconfig.Preset) *Budget {
	budget := &Budget{limits: localLimits}
	budget.SetPreset(preset)
	return budget
}

// limits bounds the balances, in retries, and sets the minimum rates, in retries per
// second.
type limits struct {
	serviceRate, accountRate   float64
	serviceLimit, accountLimit float64
	// window is the time over which the service's retries are counted, or zero. floor is
	// how many retries are allowed in it in addition to the percentage.
	window time.Duration
	floor  float64
}

// localLimits apply if the preset sets no limits for the whole fleet.
var localLimits = limits{
	serviceRate:  minServiceRate,
	accountRate:  minAccountRate,
	serviceLimit: maxServiceBalance,
	accountLimit: maxAccountBalance,
}

// SetFleetLimits sets this ingress's equal share of the limits that a preset sets for a
// fleet with the given number of proxies. All shares together stay within the limits as
// long as this number is correct.
func (b *Budget) SetFleetLimits(preset *fleetconfig.Preset, proxies int) {
	if preset.RetryWindow <= 0 {
		b.limits, b.window = localLimits, nil
		return
	}
	rate := preset.RetryFloorPerSecond / float64(max(proxies, 1))
	floor := rate * preset.RetryWindow.Seconds()
	if b.window != nil && b.limits.window != preset.RetryWindow {
		b.window = nil
	}
	b.limits = limits{accountRate: rate, accountLimit: max(1, floor), window: preset.RetryWindow, floor: floor}
}

// SetPreset changes the percentage while requests run. Accumulated retries are kept unless
// the percentage is zero.
func (b *Budget) SetPreset(preset *fleetconfig.Preset) {
	b.share = float64(preset.RetryBudgetPercent) / percent
	if b.share > 0 {
		return
	}
	b.service, b.window = bucket{}, nil
	b.accounts = nil
}

// RecordRequest records the first attempt of a request, which adds to the budget.
func (b *Budget) RecordRequest(account fleetconfig.AccountID, now time.Time) {
	if b.share <= 0 {
		return
	}
	accountBucket := b.account(account)
	b.fill(accountBucket, now)
	if b.window != nil {
		b.window.request(now)
	} else {
		b.service.balance = min(b.limits.serviceLimit, b.service.balance+b.share)
	}
	accountBucket.balance = min(b.limits.accountLimit, accountBucket.balance+b.share)
}

// Take takes one retry from the budget. It reports whether one was available.
func (b *Budget) Take(account fleetconfig.AccountID, now time.Time) bool {
	if b.share <= 0 {
		return false
	}
	accountBucket := b.account(account)
	b.fill(accountBucket, now)
	if accountBucket.balance < 1 || !b.takeFromService(now) {
		return false
	}
	accountBucket.balance--
	return true
}

func (b *Budget) takeFromService(now time.Time) bool {
	if b.window != nil {
		return b.window.take(b.share, b.limits.floor, now)
	}
	if b.service.balance < 1 {
		return false
	}
	b.service.balance--
	return true
}

func (b *Budget) fill(accountBucket *bucket, now time.Time) {
	if b.limits.window > 0 {
		if b.window == nil {
			b.window = newWindow(b.limits.window, now)
		}
	} else {
		b.service.fill(b.limits.serviceRate, b.limits.serviceLimit, now)
	}
	accountBucket.fill(b.limits.accountRate, b.limits.accountLimit, now)
}

func (b *Budget) account(account fleetconfig.AccountID) *bucket {
	if b.accounts == nil {
		b.accounts = make([]bucket, accountBuckets)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(account))
	return &b.accounts[hash.Sum32()%accountBuckets]
}

// InWindow returns the requests and retries that count in the current window, and the retries
// that are allowed in addition to the percentage. All are zero if the preset has no window.
func (b *Budget) InWindow(now time.Time) (requests, retries int, floor float64) {
	if b.window == nil {
		return 0, 0, 0
	}
	requests, retries = b.window.counts(now)
	return requests, retries, b.limits.floor
}
