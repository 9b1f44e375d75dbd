package health

import (
	"math"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Parameters of the sequential tests.
const (
	// faultShare is the share of bad outcomes, above the usual one, that the tests
	// are tuned to tell from the usual.
	faultShare = 0.3
	// maxFaultShare bounds the alternative when the usual share is high.
	maxFaultShare = 0.9
	// doublingNats is the evidence for each doubling of a latency past the slow
	// bound.
	doublingNats = 2.5
	// maxLevel bounds how often one request counts.
	maxLevel = 8
	// sums is the number of tests that share the target for false ejections.
	sums = 2
	// sumLimitFactor bounds a sum, in multiples of its bound.
	sumLimitFactor = 3
	// singleAccountFactor is the multiple of the bound that the evidence of one
	// account must reach.
	singleAccountFactor = 2
	// otherAccountsShare is the share of the bound that the accounts besides the
	// largest must reach.
	otherAccountsShare = 1.0 / 3
	// suspectShare is the share of the bound from which a server is suspect.
	suspectShare = 0.25
	// hintNats is how much a bad health endpoint lowers the bound. It is a hint:
	// it convicts no server alone, and a good one clears none.
	hintNats = 2.0
	// warmUpFactor multiplies the slow bound of a server that has just started.
	warmUpFactor = 8
	// rebaseFactor is the growth of the slow bound or the error share after which
	// evidence against the former baseline is void.
	rebaseFactor = 1.5
	// maxOpenRequests bounds the open requests that are watched; 64 bytes each.
	maxOpenRequests = 4096
	// summaryWindow is half of the longest time that a summary covers.
	summaryWindow = 10 * time.Second
	secondsPerDay = 86_400
)

// Result says how a request of a backend server ended.
type Result uint8

const (
	// ResultOK means a response that the service counts as good, client errors
	// included.
	ResultOK Result = iota
	// ResultFailed means a server error, a reset, or a refused connection.
	ResultFailed
	// ResultTimedOut means that the deadline passed first.
	ResultTimedOut
	// ResultShed means that the server was busy and did not run the request.
	ResultShed
	// ResultCanceled means that the caller went away.
	ResultCanceled
)

// Token identifies an open request of a Detector.
type Token int

// untracked is the token of a request past maxOpenRequests.
const untracked Token = -1

// openRequest is a request that has not ended.
type openRequest struct {
	account  fleetconfig.AccountID
	began    time.Time
	deadline time.Time
	level    int
	used     bool
}

// summaryHalf is one of two rotating halves of the summary.
type summaryHalf struct {
	began     time.Time
	latencies Histogram
	accounts  accountTable
}

// Detector judges the outcomes of one backend server against the baseline of its
// service. It takes about 1 KB and 64 bytes for each open request.
type Detector struct {
	baseline   Baseline
	serverDays float64
	warmUntil  time.Time
	badHint    bool
	latency    evidenceSum
	errors     evidenceSum
	open       []openRequest
	free       []Token
	halves     [2]summaryHalf
	stall      stall
}

// NewDetector returns a detector of a server that starts now and needs warmUp
// until its latency counts in full.
func NewDetector(serverDays float64, warmUp time.Duration, now time.Time) *Detector {
	detector := &Detector{
		baseline:   DefaultBaseline(),
		serverDays: serverDays,
		warmUntil:  now.Add(warmUp),
	}
	detector.halves[0].began = now
	detector.halves[1].began = now
	return detector
}

// SetBaseline replaces the baseline. Evidence against a baseline that has since
// risen is void: the day became slow for all.
func (d *Detector) SetBaseline(baseline Baseline) {
	if baseline.Generation != d.baseline.Generation {
		d.Reset()
	}
	d.baseline = baseline
}

// SetEndpointHealth tells what the server's health endpoint says of itself.
func (d *Detector) SetEndpointHealth(healthy bool) { d.badHint = !healthy }

// Threshold returns the bound of each sum in nats. By Lorden's inequality the mean
// number of healthy requests between two false alarms is at least exp(bound).
func (d *Detector) Threshold() float64 {
	requests := d.baseline.RequestRate * secondsPerDay * d.serverDays
	bound := math.Log(sums * max(1, requests))
	if d.badHint {
		bound -= hintNats
	}
	return bound
}

// Begin records that a request was sent to the server.
func (d *Detector) Begin(account fleetconfig.AccountID, deadline, now time.Time) Token {
	request := openRequest{account: account, began: now, deadline: deadline, used: true}
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

// End records how a request ended. It reports whether the outcome is evidence for
// the server.
func (d *Detector) End(token Token, result Result, now time.Time) (good bool) {
	if token < 0 || int(token) >= len(d.open) || !d.open[token].used {
		return false
	}
	request := d.open[token]
	d.open[token] = openRequest{}
	d.free = append(d.free, token)
	if result == ResultShed {
		return false
	}
	if d.excused(&request) {
		d.recordSummary(&request, result, now)
		return false
	}
	slow := d.countAge(&request, now) || request.level > 0
	if slow {
		d.stall.memberEnded(now)
	}
	if result == ResultCanceled || (result == ResultTimedOut && !slow) {
		return false
	}
	d.recordSummary(&request, result, now)
	d.countResult(&request, result, slow)
	return result == ResultOK && !slow
}

// Tick counts the requests that are open past the slow bound.
func (d *Detector) Tick(now time.Time) {
	for i := range d.open {
		if d.open[i].used && !d.excused(&d.open[i]) {
			d.countAge(&d.open[i], now)
		}
	}
}

// Suspect reports whether there is notable evidence against the server.
func (d *Detector) Suspect() bool {
	return max(d.latency.total, d.errors.total) >= suspectShare*d.Threshold()
}

// Alarm reports whether a sum has crossed its bound.
func (d *Detector) Alarm() bool {
	bound := d.Threshold()
	return d.latency.crossed(bound) || d.errors.crossed(bound)
}

// Severity returns the larger sum in multiples of the bound.
func (d *Detector) Severity() float64 {
	return max(d.latency.total, d.errors.total) / d.Threshold()
}

// Reset forgets the evidence.
func (d *Detector) Reset() {
	d.latency.reset()
	d.errors.reset()
	d.stall = stall{}
}

// excused reports whether the request is no evidence whatever comes of it: its
// account fails on several servers.
func (d *Detector) excused(request *openRequest) bool {
	return slices.Contains(d.baseline.FailingAccounts, request.account)
}

// countAge counts the levels that the request has newly reached: the first at
// the slow bound, one more with each doubling. It reports whether the request is
// slow. A deadline shorter than the slow bound never is: the request then ends
// before.
func (d *Detector) countAge(request *openRequest, now time.Time) bool {
	level := d.levelOf(now.Sub(request.began), now)
	if level == 0 {
		return false
	}
	var nats float64
	for ; request.level < level; request.level++ {
		if request.level == 0 {
			nats += badNats(d.baseline.SlowShare)
		} else {
			nats += doublingNats
		}
	}
	bound := d.Threshold()
	admitted := d.stall.admit(request.began, now, d.baseline.SlowThreshold, nats, bound)
	d.latency.add(request.account, nats, admitted, sumLimitFactor*bound)
	return true
}

func (d *Detector) levelOf(age time.Duration, now time.Time) int {
	bound := d.slowBound(now)
	if age <= bound {
		return 0
	}
	doublings := math.Floor(math.Log2(float64(age) / float64(bound)))
	return min(1+int(doublings), maxLevel)
}

func (d *Detector) slowBound(now time.Time) time.Duration {
	if now.Before(d.warmUntil) {
		return warmUpFactor * d.baseline.SlowThreshold
	}
	return d.baseline.SlowThreshold
}

func (d *Detector) countResult(request *openRequest, result Result, slow bool) {
	switch result {
	case ResultFailed:
		nats := badNats(d.baseline.ErrorShare)
		d.errors.add(request.account, nats, nats, sumLimitFactor*d.Threshold())
	case ResultOK:
		d.errors.credit(goodNats(d.baseline.ErrorShare))
		if !slow {
			d.latency.credit(goodNats(d.baseline.SlowShare))
		}
	}
}

// badNats is the log-likelihood ratio of a bad outcome that usually has the
// given share.
func badNats(usual float64) float64 {
	return math.Log(faultyShare(usual) / usual)
}

// goodNats is the negative log-likelihood ratio of a good outcome.
func goodNats(usual float64) float64 {
	return math.Log((1 - usual) / (1 - faultyShare(usual)))
}

func faultyShare(usual float64) float64 {
	return max(usual, min(usual+faultShare, maxFaultShare))
}
