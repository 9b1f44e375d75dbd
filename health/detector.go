package health

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Parameters of the sequential tests.
const (
	// detectableIncrease is the increase in the share of bad outcomes over the normal
	// share that the tests are designed to detect.
	detectableIncrease = 0.3
	// maxAlternativeShare limits the share of bad outcomes under the alternative
	// hypothesis, that the server is faulty, when the normal share is high.
	maxAlternativeShare = 0.9
	// latencyDoublingNats is the evidence for each doubling of a latency above the slow
	// threshold.
	latencyDoublingNats = 2.5
	// maxLatencyLevel limits how often one request adds latency evidence.
	maxLatencyLevel = 8
	// testCount is the number of tests that share the target rate of false ejections.
	testCount = 2
	// maxSumFactor limits a sum, in multiples of the alarm threshold.
	maxSumFactor = 3
	// singleAccountFactor is the multiple of the threshold at which the sum raises an
	// alarm even if all evidence comes from one account.
	singleAccountFactor = 2
	// minOtherAccountsShare is the share of the threshold that the accounts other than
	// the one with the most evidence must contribute to an alarm.
	minOtherAccountsShare = 1.0 / 3
	// suspectThresholdShare is the share of the threshold from which a server is suspect.
	suspectThresholdShare = 0.25
	// unhealthyEndpointNats is how much an unhealthy health endpoint lowers the
	// threshold. The endpoint is only a hint: an unhealthy answer alone raises no alarm,
	// and a healthy one clears none.
	unhealthyEndpointNats = 2.0
	// warmUpThresholdFactor multiplies the slow threshold while a server warms up.
	warmUpThresholdFactor = 8
	// baselineRiseFactor is the growth of the slow threshold or the error share after
	// which evidence against the earlier baseline is invalid.
	baselineRiseFactor = 1.5
	// maxOpenRequests limits the open requests that are tracked, at 64 bytes each.
	maxOpenRequests = 4096
	// summaryHalfWindow is the length of each of the two halves of a summary.
	summaryHalfWindow = 10 * time.Second
	secondsPerDay     = 86_400
)

// Result is the outcome of a request to a backend server.
type Result uint8

const (
	// ResultOK means a response that the service counts as a success, including client
	// errors.
	ResultOK Result = iota
	// ResultFailed means a connection reset, a refused connection or an unusable response.
	ResultFailed
	// ResultTimedOut means that the request's deadline passed before the response.
	ResultTimedOut
	// ResultShed means that the server was busy and did not execute the request.
	ResultShed
	// ResultCanceled means that the caller canceled the request or disconnected.
	ResultCanceled
	// ResultServerError means a complete response with a server error.
	ResultServerError
)

// failed reports whether the server has failed the request.
func (r Result) failed() bool { return r == ResultFailed || r == ResultServerError }

// Token identifies an open request of a Detector.
type Token int

// untracked is the token of a request beyond maxOpenRequests.
const untracked Token = -1

// openRequest is a request that has not ended.
type openRequest struct {
	account      fleetconfig.AccountID
	began        time.Time
	deadline     time.Time
	latencyLevel int
	active       bool
}

// summaryHalf is one of the two rotating halves of the summary.
type summaryHalf struct {
	began     time.Time
	latencies Histogram
	accounts  accountTable
}

// Detector compares the outcomes of one backend server with the baseline of its service.
// It takes about 1 KB plus 64 bytes for each open request.
type Detector struct {
	baseline                   Baseline
	serverDaysPerFalseEjection float64
	warmUntil                  time.Time
	endpointUnhealthy          bool
	latency                    evidenceSum
	errors                     evidenceSum
	open                       []openRequest
	free                       []Token
	halves                     [2]summaryHalf
	stall                      stall
}

// NewDetector returns a detector for a server that starts now. Until warmUp has passed, a
// higher slow threshold applies. serverDaysPerFalseEjection is the target number of
// healthy server-days per false ejection.
func NewDetector(serverDaysPerFalseEjection float64, warmUp time.Duration, now time.Time) *Detector {
	detector := &Detector{
		baseline:                   DefaultBaseline(),
		serverDaysPerFalseEjection: serverDaysPerFalseEjection,
		warmUntil:                  now.Add(warmUp),
	}
	detector.halves[0].began = now
	detector.halves[1].began = now
	return detector
}

// SetBaseline replaces the baseline. A new baseline generation discards the evidence: the
// whole service has become slower or fails more often, so the evidence no longer points
// at this server.
func (d *Detector) SetBaseline(baseline Baseline) {
	if baseline.Generation != d.baseline.Generation {
		d.Reset()
	}
	d.baseline = baseline
}

// SetEndpointHealth records whether the server's health endpoint reports it healthy.
func (d *Detector) SetEndpointHealth(healthy bool) { d.endpointUnhealthy = !healthy }

// Threshold returns the alarm threshold of each sum in nats. By Lorden's inequality the
// mean number of healthy requests between two false alarms is at least exp(threshold).
func (d *Detector) Threshold() float64 {
	requests := d.baseline.RequestRate * secondsPerDay * d.serverDaysPerFalseEjection
	threshold := math.Log(testCount * max(1, requests))
	if d.endpointUnhealthy {
		threshold -= unhealthyEndpointNats
	}
	return threshold
}

// Begin records that a request was sent to the server.
func (d *Detector) Begin(account fleetconfig.AccountID, deadline, now time.Time) Token {
	request := openRequest{account: account, began: now, deadline: deadline, active: true}
	if last := len(d.free) - 1; last >= 0 {
		token := d.free[last]
		d.free = d.free[:last]
		d.open[token] = request
		return token
	}
	if len(d.open) == maxOpenRequests {
		return untracked
	}
	d.open = append(d.open, request)
	return Token(len(d.open) - 1)
}

// End records the result of a request. It returns whether the request was good: it
// succeeded, was not slow, was tracked, and is not from a failing account.
func (d *Detector) End(token Token, result Result, now time.Time) (good bool) {
	if token < 0 || int(token) >= len(d.open) || !d.open[token].active {
		return false
	}
	request := d.open[token]
	d.open[token] = openRequest{}
	d.free = append(d.free, token)
	if result == ResultShed {
		return false
	}
	if d.fromFailingAccount(&request) {
		d.recordSummary(&request, result, now)
		return false
	}
	slow := d.recordLatencyEvidence(&request, now) || request.latencyLevel > 0
	if slow {
		d.stall.requestEnded(now)
	}
	if result == ResultCanceled || (result == ResultTimedOut && !slow) {
		return false
	}
	d.recordSummary(&request, result, now)
	d.recordResultEvidence(&request, result, slow)
	return result == ResultOK && !slow
}

// Tick adds evidence for open requests that have exceeded the slow threshold.
func (d *Detector) Tick(now time.Time) {
	for i := range d.open {
		if d.open[i].active && !d.fromFailingAccount(&d.open[i]) {
			d.recordLatencyEvidence(&d.open[i], now)
		}
	}
}

// Suspect reports whether the evidence against the server has reached
// suspectThresholdShare of the threshold.
func (d *Detector) Suspect() bool {
	return max(d.latency.total, d.errors.total) >= suspectThresholdShare*d.Threshold()
}

// Alarm reports whether the evidence in one of the sums suffices for an alarm.
func (d *Detector) Alarm() bool {
	threshold := d.Threshold()
	return d.latency.exceeds(threshold) || d.errors.exceeds(threshold)
}

// Severity returns the larger of the two sums in multiples of the threshold.
func (d *Detector) Severity() float64 {
	return max(d.latency.total, d.errors.total) / d.Threshold()
}

// Reset discards the evidence.
func (d *Detector) Reset() {
	d.latency.reset()
	d.errors.reset()
	d.stall = stall{}
}

// fromFailingAccount reports whether the request belongs to an account that fails on
// several servers. Its outcome is not evidence against this server.
func (d *Detector) fromFailingAccount(request *openRequest) bool {
	return slices.Contains(d.baseline.FailingAccounts, request.account)
}

// recordLatencyEvidence adds evidence for the latency levels that the request has newly
// reached: the first at the slow threshold, and one more with each doubling. It reports
// whether the request is slow. A request whose deadline is shorter than the slow
// threshold ends before it can become slow.
func (d *Detector) recordLatencyEvidence(request *openRequest, now time.Time) bool {
	level := d.levelForAge(now.Sub(request.began), now)
	if level == 0 {
		return false
	}
	var nats float64
	for ; request.latencyLevel < level; request.latencyLevel++ {
		if request.latencyLevel == 0 {
			nats += badOutcomeNats(d.baseline.SlowShare)
		} else {
			nats += latencyDoublingNats
		}
	}
	threshold := d.Threshold()
	counted := d.stall.addEvidence(request.began, now, d.baseline.SlowThreshold, nats, threshold)
	d.latency.add(request.account, nats, counted, maxSumFactor*threshold)
	return true
}

func (d *Detector) levelForAge(age time.Duration, now time.Time) int {
	threshold := d.slowThreshold(now)
	if age <= threshold {
		return 0
	}
	doublings := math.Floor(math.Log2(float64(age) / float64(threshold)))
	return min(1+int(doublings), maxLatencyLevel)
}

func (d *Detector) slowThreshold(now time.Time) time.Duration {
	if now.Before(d.warmUntil) {
		return warmUpThresholdFactor * d.baseline.SlowThreshold
	}
	return d.baseline.SlowThreshold
}

func (d *Detector) recordResultEvidence(request *openRequest, result Result, slow bool) {
	switch result {
	case ResultFailed, ResultServerError:
		nats := badOutcomeNats(d.baseline.ErrorShare)
		d.errors.add(request.account, nats, nats, maxSumFactor*d.Threshold())
	case ResultOK:
		d.errors.subtract(goodOutcomeNats(d.baseline.ErrorShare))
		if !slow {
			d.latency.subtract(goodOutcomeNats(d.baseline.SlowShare))
		}
	}
}

// badOutcomeNats returns the log-likelihood ratio of a bad outcome with the given normal
// share.
func badOutcomeNats(normalShare float64) float64 {
	return math.Log(alternativeShare(normalShare) / normalShare)
}

// goodOutcomeNats returns the negative log-likelihood ratio of a good outcome when bad
// outcomes have the given normal share.
func goodOutcomeNats(normalShare float64) float64 {
	return math.Log((1 - normalShare) / (1 - alternativeShare(normalShare)))
}

func alternativeShare(normalShare float64) float64 {
	return max(normalShare, min(normalShare+detectableIncrease, maxAlternativeShare))
}
