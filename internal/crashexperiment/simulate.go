package crashexperiment

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hemlockring/hemlockring/quarantine"
)

// Parameters of the model.
const (
	// downtime is how long a server is down after a crash.
	downtime = 2 * time.Second
	// minDelay and maxDelay bound the time that a message takes, and loss is the share of
	// messages that are lost.
	minDelay = time.Millisecond
	maxDelay = 5 * time.Millisecond
	loss     = 0.01
	// keepers, receivers and compareInterval are those of package quarantinedriver.
	keepers         = 5
	receivers       = 5
	compareInterval = 500 * time.Millisecond
	// maxAttempts is how many servers an idempotent request may reach.
	maxAttempts = 2
	// lateAfter is the time after the third crash from which on runs count as late.
	lateAfter = 3 * time.Second
	// retryDelay is how long a request waits when no server has a free slot, maxWait for how
	// long in all.
	retryDelay = 20 * time.Millisecond
	maxWait    = time.Second
)

// simulation is one run.
type simulation struct {
	situation Case
	policy    Policy
	rng       *rand.Rand
	now       time.Time
	events    eventQueue
	sequence  int
	tables    []*quarantine.Table
	servers   []*server
	deadly    []*deadlyRequest
	crashes   quarantine.CrashID
	unique    uint64
	result    Result
}

type server struct {
	down bool
	// process counts the crashes, so that the end of a run belongs to a process.
	process  int
	underWay map[*run]bool
}

// run is one attempt of a request.
type run struct {
	request    quarantine.Request
	deadly     *deadlyRequest
	instance   int
	attempts   int
	idempotent bool
	since      time.Time
}

type deadlyRequest struct {
	request    quarantine.Request
	crashes    int
	thirdCrash time.Time
	known      time.Duration
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Simulate runs a case with a policy.
func Simulate(situation Case, policy Policy, seed uint64) Result {
	s := &simulation{situation: situation, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0)}
	for range situation.Instances {
		s.tables = append(s.tables, quarantine.NewTable())
		s.servers = append(s.servers, &server{underWay: make(map[*run]bool)})
	}
	for range situation.DeadlyRequests {
		s.deadly = append(s.deadly, &deadlyRequest{request: s.newRequest(), known: -1})
	}
	popular := make([]quarantine.Request, situation.Popular)
	for i := range popular {
		popular[i] = s.newRequest()
	}
	end := s.now.Add(situation.Duration)
	s.repeat(situation.Innocent, func() {
		request := s.newRequest()
		if s.rng.IntN(2) == 0 {
			request = popular[s.rng.IntN(len(popular))]
		}
		s.result.Innocent++
		s.admit(s.newRun(request, nil))
	})
	s.repeat(situation.Deadly, func() { s.sendDeadly() })
	for range situation.Callers {
		s.sendDeadly()
	}
	for i := range s.servers {
		s.repeat(situation.Crashes, func() { s.crash(i) })
		if policy == PolicyFleet {
			s.after(time.Duration(s.rng.Int64N(int64(compareInterval))), func() { s.compare(i) })
		}
	}
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	for _, deadly := range s.deadly {
		if deadly.crashes >= 3 && (deadly.known < 0 || s.result.KnownAfter < 0) {
			s.result.KnownAfter = -1
		} else {
			s.result.KnownAfter = max(s.result.KnownAfter, deadly.known)
		}
	}
	return s.result
}

func (s *simulation) newRequest() quarantine.Request {
	s.unique++
	request := quarantine.Request{Account: "a", Service: "s"}
	binary.BigEndian.PutUint64(request.Fingerprint[8:], s.unique)
	return request
}

func (s *simulation) newRun(request quarantine.Request, deadly *deadlyRequest) *run {
	return &run{request: request, deadly: deadly, instance: s.rng.IntN(len(s.tables)), idempotent: s.rng.IntN(2) == 0, since: s.now}
}

func (s *simulation) sendDeadly() {
	deadly := s.deadly[s.rng.IntN(len(s.deadly))]
	s.admit(s.newRun(deadly.request, deadly))
}

func (s *simulation) after(delay time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(delay), sequence: s.sequence, do: do})
}

// repeat calls do at exponentially distributed intervals.
func (s *simulation) repeat(perSecond float64, do func()) {
	if perSecond == 0 {
		return
	}
	var schedule func()
	schedule = func() {
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
			do()
			schedule()
		})
	}
	schedule()
}

// refused reports whether an instance refuses a request.
func (s *simulation) refused(instance int, request quarantine.Request) bool {
	decision, _ := s.tables[instance].Check(request.Fingerprint, s.now)
	return decision != quarantine.Admit
}

// trial reports whether an attempt of a quarantined request runs as a trial. The first instance
// makes all trials.
func (s *simulation) trial(attempt *run) bool {
	return attempt.instance == 0 && attempt.attempts == 0 && s.tables[0].BeginTrial(attempt.request.Fingerprint, s.now)
}

// admit sends an attempt to a random server with a free slot, unless its ingress or the proxy
// of the server refuses it.
func (s *simulation) admit(attempt *run) {
	target := s.freeServer()
	refused := s.refused(attempt.instance, attempt.request) || (target >= 0 && s.refused(target, attempt.request))
	if refused && (target < 0 || !s.trial(attempt)) {
		if attempt.deadly == nil {
			s.result.InnocentRefused++
		}
		return
	}
	if target < 0 {
		if s.now.Sub(attempt.since) < maxWait {
			s.after(retryDelay, func() { s.admit(attempt) })
		}
		return
	}
	attempt.attempts++
	if deadly := attempt.deadly; deadly != nil && deadly.crashes >= 3 && s.now.Sub(deadly.thirdCrash) > lateAfter {
		s.result.LateRuns++
	}
	started := s.servers[target]
	process := started.process
	started.underWay[attempt] = true
	s.after(time.Duration((0.5+s.rng.Float64())*float64(s.situation.ServiceTime)), func() {
		if started.process == process {
			s.end(target, attempt)
		}
	})
}

// freeServer returns a random server with a free slot, or -1 if there is none.
func (s *simulation) freeServer() int {
	first := s.rng.IntN(len(s.servers))
	for i := range s.servers {
		index := (first + i) % len(s.servers)
		if !s.servers[index].down && len(s.servers[index].underWay) < s.situation.Slots {
			return index
		}
	}
	return -1
}

// end ends the service time of a run.
func (s *simulation) end(index int, attempt *run) {
	if attempt.deadly != nil {
		s.crash(index)
		return
	}
	delete(s.servers[index].underWay, attempt)
	s.result.Answered++
	if s.policy == PolicyNone {
		return
	}
	if change, changed := s.tables[index].Complete(attempt.request.Fingerprint, s.now); changed {
		s.spread(index, change)
	}
}

// crash ends the process of a server and all runs in it.
func (s *simulation) crash(index int) {
	crashed := s.servers[index]
	if crashed.down {
		return
	}
	s.result.ServersLost++
	var requests []quarantine.Request
	var runs []*run
	for attempt := range crashed.underWay {
		runs = append(runs, attempt)
	}
	slices.SortFunc(runs, func(a, b *run) int { return slices.Compare(a.request.Fingerprint[:], b.request.Fingerprint[:]) })
	for _, attempt := range runs {
		requests = append(requests, attempt.request)
		if deadly := attempt.deadly; deadly != nil {
			if deadly.crashes++; deadly.crashes == 3 {
				deadly.thirdCrash = s.now
			}
		}
	}
	crashed.down, crashed.underWay = true, make(map[*run]bool)
	crashed.process++
	s.after(downtime, func() { crashed.down = false })
	if s.policy != PolicyNone {
		s.crashes++
		for _, change := range s.tables[index].WitnessCrash(s.crashes, requests, 0, s.now.UnixMilli(), s.now) {
			s.spread(index, change)
		}
		s.recordKnown()
	}
	for _, attempt := range runs {
		if attempt.idempotent && attempt.attempts < maxAttempts && s.tables[index].MayRetry(attempt.request.Fingerprint) {
			s.admit(attempt)
		}
	}
}

// spread sends a change from an instance to those that need to know.
func (s *simulation) spread(from int, change quarantine.Change) {
	if s.policy != PolicyFleet {
		return
	}
	switch change.Scope {
	case quarantine.ScopeKeepers:
		first := int(binary.BigEndian.Uint64(change.Entry.Fingerprint[8:]) % uint64(len(s.tables)))
		for i := range min(keepers, len(s.tables)) {
			s.send((first+i)%len(s.tables), change.Entry)
		}
	case quarantine.ScopeAll:
		for range receivers {
			if to := s.rng.IntN(len(s.tables)); to != from {
				s.send(to, change.Entry)
			}
		}
	}
}

func (s *simulation) send(to int, entry quarantine.Entry) {
	if s.rng.Float64() < loss {
		return
	}
	s.after(minDelay+time.Duration(s.rng.Int64N(int64(maxDelay-minDelay))), func() {
		if change, changed := s.tables[to].Merge(&entry, s.now); changed {
			s.spread(to, change)
			s.recordKnown()
		}
	})
}

// compare lets an instance exchange what all should know with a random other one.
func (s *simulation) compare(index int) {
	other := s.rng.IntN(len(s.tables))
	if s.tables[index].Digest() != s.tables[other].Digest() {
		for _, entry := range s.tables[index].SharedEntries(maxExchanged, s.now) {
			s.send(other, entry)
		}
		for _, entry := range s.tables[other].SharedEntries(maxExchanged, s.now) {
			s.send(index, entry)
		}
	}
	s.after(compareInterval, func() { s.compare(index) })
}

// maxExchanged is how many entries two instances exchange at once.
const maxExchanged = 32

// recordKnown records the time at which all instances refuse a request that crashes servers.
func (s *simulation) recordKnown() {
	for _, deadly := range s.deadly {
		if deadly.known >= 0 {
			continue
		}
		known := true
		for i := range s.tables {
			known = known && s.refused(i, deadly.request)
		}
		if known {
			deadly.known = max(0, s.now.Sub(deadly.thirdCrash))
			if deadly.thirdCrash.IsZero() {
				deadly.known = 0
			}
		}
	}
}
