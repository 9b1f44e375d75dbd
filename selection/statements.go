package selection

import (
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/backendproxy"
	"github.com/hemlockring/hemlockring/balance"
	"github.com/hemlockring/hemlockring/gossip"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/throttle"
)

// statementRetention is how long a statement is kept after its last report while its backend
// server is absent from the pool, as during a restart of the instance beside it. It is also
// how long an exit holds for a server that does not announce the start of its process.
const statementRetention = time.Minute

// maxOverRateAttempts is how many servers at their rate a request is sent to when no other
// server can run it at once.
const maxOverRateAttempts = 2

// Bounds of the time between two attempts of this ingress to send a server requests over its
// rate, while the server refuses them.
const (
	minOverRateBackoff = 200 * time.Millisecond
	maxOverRateBackoff = 8 * time.Second
	// overRateRecovery is the divisor of the part by which a request that was not refused
	// shortens the time. With refusals doubling it, about seven of ten such requests run.
	overRateRecovery = 4
)

// statement is what a backend server has stated about itself, as reported to this ingress.
type statement struct {
	// limited says that the server accepts perSecond, in requests per second, because it
	// advertises this rate or is cold.
	limited   bool
	cold      bool
	perSecond float64
	// admitsAt is when the rate admits the next request, as far as is known here.
	admitsAt   time.Time
	reportedAt time.Time
	// overRateAt is when the next request may be sent to the server over its rate.
	// overRateBackoff, the time until then after a refusal, doubles with each refusal and
	// falls by a quarter with each request that was not refused.
	overRateAt      time.Time
	overRateBackoff time.Duration
	// leavingAt is when the exit was last reported, or zero. leavingProcess is the start
	// time of the process that stated it, zero if unknown.
	leavingAt      time.Time
	leavingProcess int64
}

// record updates the statement from a report about the server. A proxy that has seen no
// response of the server since its own start knows no rate; the rate that this ingress
// knows then stays. The wait of a report with a response is meant for this ingress alone
// (appointed). That of any other report is the same for all its receivers, so it replaces
// an appointed wait only if the server admits requests now.
func (s *statement) record(load *membership.ServerLoad, appointed bool, now time.Time) {
	// A report about an earlier process may arrive late.
	if load.Leaving && load.LeavingProcess >= s.leavingProcess {
		s.leavingAt = now
		s.leavingProcess = load.LeavingProcess
	}
	if load.RateUnknown {
		return
	}
	if appointed || !s.limited || load.WaitMillis == 0 {
		s.admitsAt = now.Add(time.Duration(load.WaitMillis) * time.Millisecond)
	}
	s.reportedAt = now
	s.limited, s.cold = load.Limited, load.Cold
	s.perSecond = load.MilliRate.PerSecond()
}

// requestSent moves the time of the next admission after this ingress has sent a request.
// The next report replaces it by the actual time.
func (s *statement) requestSent(now time.Time) {
	if s.limited {
		s.admitsAt = now.Add(time.Duration(float64(time.Second) / max(s.perSecond, throttle.MinRate)))
	}
}

// leaving reports whether the server has stated its exit. Another process under the same ID
// is not affected.
func (s *statement) leaving(processStart int64, now time.Time) bool {
	if s.leavingAt.IsZero() || processStart != s.leavingProcess {
		return false
	}
	return processStart != 0 || now.Sub(s.leavingAt) < statementRetention
}

// expired reports whether the statement of an absent server may be dropped.
func (s *statement) expired(now time.Time) bool {
	return now.Sub(s.reportedAt) >= statementRetention && now.Sub(s.leavingAt) >= statementRetention
}

// exclusions returns the reasons not to select the server that follow from the statement.
func (s *statement) exclusions(processStart int64, now time.Time) balance.Exclusion {
	var reasons balance.Exclusion
	if s.leaving(processStart, now) {
		reasons |= balance.ExcludedDraining
	}
	if s.limited && now.Before(s.admitsAt) {
		reasons |= balance.ExcludedRate
	}
	return reasons
}

// knownRate returns the rate to report to the proxy beside the server, which may have
// restarted since. It returns nil if there is none. The proxy knows by itself that the server is
// cold.
func (s *statement) knownRate(now time.Time) *backendproxy.KnownRate {
	if s == nil || !s.limited || s.cold {
		return nil
	}
	return &backendproxy.KnownRate{PerSecond: s.perSecond, Age: now.Sub(s.reportedAt)}
}

// recordStatement records what a report says about the statement of a server. The caller
// must hold the pool's lock.
func (p *servicePool) recordStatement(index int, id balance.BackendID, load *membership.ServerLoad, appointed bool, now time.Time) {
	known := p.statements[id]
	if known == nil {
		if !load.Limited && !load.Leaving {
			return
		}
		known = &statement{}
		p.statements[id] = known
	}
	known.record(load, appointed, now)
	p.applyOwnExclusions(index, now)
}

// applyOwnExclusions updates the exclusions of a server that follow from its statement and
// from the refusals of its proxy. The caller must hold the pool's lock.
func (p *servicePool) applyOwnExclusions(index int, now time.Time) {
	excluded := p.pool.Backend(index).Excluded &^ (balance.ExcludedRate | balance.ExcludedRefused)
	p.pool.Exclude(index, excluded|p.ownExclusions(p.hosted[index], now))
}

// ownExclusions returns the reasons not to select a server that this ingress has learned
// from the server and its proxy. The caller must hold the pool's lock.
func (p *servicePool) ownExclusions(hosted gossip.HostedServer, now time.Time) balance.Exclusion {
	return p.statedExclusions(hosted, now) | p.heldExclusion(&hosted, now)
}

// statedExclusions returns the reasons not to select a server that follow from its
// statement. The caller must hold the pool's lock.
func (p *servicePool) statedExclusions(hosted gossip.HostedServer, now time.Time) balance.Exclusion {
	known := p.statements[hostedID(hosted)]
	if known == nil {
		return 0
	}
	return known.exclusions(hosted.Server.ProcessStartUnixMilli, now)
}

// releaseAdmitted ends the exclusion of the servers whose rate admits a request again. The
// caller must hold the pool's lock.
func (p *servicePool) releaseAdmitted(now time.Time) {
	for id, known := range p.statements {
		if !known.limited || now.Before(known.admitsAt) {
			continue
		}
		if index, found := p.pool.Find(id); found && p.pool.Backend(index).Excluded&balance.ExcludedRate != 0 {
			p.applyOwnExclusions(index, now)
		}
	}
}

// dropStatements drops expired statements of servers that are not in the pool. The caller
// must hold the pool's lock.
func (p *servicePool) dropStatements(now time.Time) {
	for id, known := range p.statements {
		if _, found := p.pool.Find(id); !found && known.expired(now) {
			delete(p.statements, id)
		}
	}
}

// earliestAdmission returns the index of the server whose rate admits a request first, and
// the wait until then, among the servers that only their rate excludes and that are probably
// not failing. It returns false if there is none. The caller must hold the pool's lock.
func (p *servicePool) earliestAdmission(now time.Time) (index int, wait time.Duration, found bool) {
	for i := range p.pool.Len() {
		backend := p.pool.Backend(i)
		known := p.statements[backend.ID]
		if backend.Excluded != balance.ExcludedRate || known == nil || backend.FailureProbability > maxProbeFailureProbability {
			continue
		}
		if until := known.admitsAt.Sub(now); !found || until < wait {
			index, wait, found = i, until, true
		}
	}
	return index, max(0, wait), found
}

// pickOverRate returns a server at its rate for a request that no other server can run at
// once, the nearest and then the one that admits requests first. The server's proxy then lets
// the request wait, or exceed the rate as far as the preset permits. pickOverRate returns
// false if there is no server that accepts such requests now, as far as is known here, or if
// the request has been sent to maxOverRateAttempts of them. The caller must hold the pool's
// lock.
func (p *servicePool) pickOverRate(tried []ingress.Candidate, now time.Time) (int, bool) {
	var waitedAt []balance.BackendID
	for _, candidate := range tried {
		if candidate.MaxRateWait > 0 {
			waitedAt = append(waitedAt, backendID(candidate))
		}
	}
	if len(waitedAt) >= maxOverRateAttempts {
		return 0, false
	}
	best, found := 0, false
	var bestTier balance.Tier
	var bestAt time.Time
	for i := range p.pool.Len() {
		backend := p.pool.Backend(i)
		known := p.statements[backend.ID]
		if backend.Excluded != balance.ExcludedRate || known == nil || backend.FailureProbability > maxProbeFailureProbability ||
			now.Before(known.overRateAt) || slices.Contains(waitedAt, backend.ID) {
			continue
		}
		if !found || backend.Tier < bestTier || (backend.Tier == bestTier && known.admitsAt.Before(bestAt)) {
			best, found, bestTier, bestAt = i, true, backend.Tier, known.admitsAt
		}
	}
	return best, found
}

// recordOverRate records the result of a request that was sent over the rate of a server.
func (s *statement) recordOverRate(refused bool, now time.Time) {
	if !refused {
		s.overRateBackoff -= s.overRateBackoff / overRateRecovery
		return
	}
	s.overRateBackoff = min(max(2*s.overRateBackoff, minOverRateBackoff), maxOverRateBackoff)
	s.overRateAt = now.Add(s.overRateBackoff)
}

func hostedID(hosted gossip.HostedServer) balance.BackendID {
	return balance.BackendID{Instance: hosted.Member.Record.ID, Server: hosted.Server.ID}
}
