package idempotency

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ClaimResultKind is what a claim came to.
type ClaimResultKind uint8

const (
	// ResultPending means that the claim still waits for votes.
	ResultPending ClaimResultKind = iota
	// ResultClaimed means that the order is the claim's to run.
	ResultClaimed
	// ResultResponseStored means that the order ran and its answer is at hand.
	ResultResponseStored
	// ResultResponseNotStored means that the order ran and its answer is not kept.
	ResultResponseNotStored
	// ResultInProgress means that another claim holds the order.
	ResultInProgress
	// ResultOutcomeUnknown means that another claim held the order and may have
	// run it.
	ResultOutcomeUnknown
	// ResultKeyReused means that the key belongs to an order of other content.
	ResultKeyReused
	// ResultNotRun means that no majority could be had. This request was not run
	// and never will be.
	ResultNotRun
)

// Cause says why a claim came to VerdictNotRun.
type Cause uint8

const (
	// CauseNoMajority means that too few replicas answered in the claim time.
	CauseNoMajority Cause = iota
	// CauseNotReady means that replicas that lost their memory are not ready.
	CauseNotReady
	// CauseFull means that replicas have no room for another record.
	CauseFull
	// CauseEpochMismatch means that the shard map is changing.
	CauseEpochMismatch
	// CauseInvalidDeadline means that the deadline lies further away than allowed.
	CauseInvalidDeadline
)

// ClaimResult is the result of a claim.
type ClaimResult struct {
	// Kind is the result.
	Kind ClaimResultKind
	// Cause explains VerdictNotRun.
	Cause Cause
	// Response is the stored answer of VerdictAnswered, in the driver's encoding.
	Response []byte
	// Remaining is the time left for the claim in progress, zero when unknown.
	Remaining time.Duration
}

// stage is how far a claim is.
type stage uint8

const (
	stageVoting stage = iota
	stageClaimed
	stageLost
	stageSettled
)

// Claim is one attempt of an ingress to get the right to run an order. It is not
// safe for concurrent use.
//
// Invariant: MayDispatch is true only while a majority of the group's first
// votes is counted and the claim time, which began before the first request for
// a vote, has not run out. After Settle it is false for ever.
type Claim struct {
	config          Config
	group           Group
	record          RecordID
	fingerprint     Fingerprint
	id              ClaimID
	started         time.Time
	deadline        time.Time
	stage           stage
	dispatched      bool
	replied         []bool
	granted         int
	earlierMinority int
	replies         int
	causes          [CauseInvalidDeadline + 1]int
	conflict        ClaimResult
}

// NewClaim begins a claim. Now must be read before any request is sent.
func NewClaim(config Config, group Group, record RecordID, fingerprint Fingerprint, id ClaimID, now, deadline time.Time) *Claim {
	return &Claim{
		config:      config,
		group:       group,
		record:      record,
		fingerprint: fingerprint,
		id:          id,
		started:     now,
		deadline:    deadline,
		replied:     make([]bool, len(group.Members)),
	}
}

// ID returns the claim id.
func (c *Claim) ID() ClaimID { return c.id }

// Group returns the replicas that the claim asks.
func (c *Claim) Group() Group { return c.group }

// Expiry is when the claim time runs out.
func (c *Claim) Expiry() time.Time {
	limit := c.started.Add(c.config.ClaimTimeout)
	if c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// VoteRequest returns the request to send to every replica.
func (c *Claim) VoteRequest(now time.Time) VoteRequest {
	return VoteRequest{
		Epoch:       c.group.Epoch,
		Record:      c.record,
		Fingerprint: c.fingerprint,
		Claim:       c.id,
		Remaining:   c.deadline.Sub(now),
		Group:       c.group.ID(),
	}
}

// HandleVoteReply counts a reply. A reply to another claim, a second reply of the
// same replica and a reply after the claim time do not count.
func (c *Claim) HandleVoteReply(from fleetconfig.InstanceID, reply VoteReply, now time.Time) {
	c.Tick(now)
	i := c.group.Index(from)
	if c.stage != stageVoting || reply.Claim != c.id || i < 0 || c.replied[i] {
		return
	}
	c.replied[i] = true
	c.replies++
	c.earlierMinority = max(c.earlierMinority, reply.EarlierMinority)
	switch reply.Result {
	case VoteGranted:
		c.granted++
	case VoteHeld:
		c.recordConflict(reply)
	default:
		c.causes[causeFor(reply.Result)]++
	}
	c.updateStage()
}

// HandleFailure notes that a replica cannot be reached, which may end the claim
// before its time.
func (c *Claim) HandleFailure(from fleetconfig.InstanceID, now time.Time) {
	c.Tick(now)
	i := c.group.Index(from)
	if c.stage != stageVoting || i < 0 || c.replied[i] {
		return
	}
	c.replied[i] = true
	c.replies++
	c.causes[CauseNoMajority]++
	c.updateStage()
}

// Tick ends the claim when its time has run out without a majority.
func (c *Claim) Tick(now time.Time) {
	if c.stage == stageVoting && !now.Before(c.Expiry()) {
		c.stage = stageLost
	}
}

func (c *Claim) updateStage() {
	open := len(c.group.Members) - c.replies
	needed := c.requiredVotes()
	switch {
	case c.granted >= needed:
		c.stage = stageClaimed
	case c.conflict.Kind == ResultResponseStored:
		c.stage = stageLost
	case open == 0:
		c.stage = stageLost
	case c.granted+open < needed && c.conflict.Kind != ResultPending && c.replies >= c.group.Majority():
		// Without a trace of another claim the rest is waited for, because one of
		// them may know of an answer.
		c.stage = stageLost
	}
}

// requiredVotes is how many votes the claim needs: a majority, and more than the slack
// of every earlier group whose claims are retained.
func (c *Claim) requiredVotes() int { return max(c.group.Majority(), c.earlierMinority+1) }

func causeFor(result VoteResult) Cause {
	switch result {
	case VoteNotReady:
		return CauseNotReady
	case VoteFull:
		return CauseFull
	case VoteStaleEpoch, VoteFutureEpoch:
		return CauseEpochMismatch
	case VoteInvalidDeadline:
		return CauseInvalidDeadline
	default:
		return CauseNoMajority
	}
}

// recordConflict keeps the strongest trace of another claim: an answer to the same
// content, then a known end, then other content that has ended, then a claim in
// progress. Only a record of the same content yields an answer.
func (c *Claim) recordConflict(reply VoteReply) {
	found := ClaimResult{Kind: ResultKeyReused}
	if reply.Fingerprint == c.fingerprint {
		found = resultFor(reply)
	}
	if precedence(found.Kind) > precedence(c.conflict.Kind) {
		c.conflict = found
	}
}

func resultFor(reply VoteReply) ClaimResult {
	switch reply.State {
	case StateResponseStored:
		return ClaimResult{Kind: ResultResponseStored, Response: reply.Response}
	case StateResponseNotStored:
		return ClaimResult{Kind: ResultResponseNotStored}
	case StateUnknown:
		return ClaimResult{Kind: ResultOutcomeUnknown}
	default:
		return ClaimResult{Kind: ResultInProgress, Remaining: reply.Remaining}
	}
}

func precedence(kind ClaimResultKind) int {
	switch kind {
	case ResultResponseStored:
		return 5
	case ResultResponseNotStored:
		return 4
	case ResultOutcomeUnknown:
		return 3
	case ResultInProgress:
		return 2
	case ResultKeyReused:
		return 1
	default:
		return 0
	}
}

// Result returns what the claim came to.
func (c *Claim) Result() ClaimResult {
	switch c.stage {
	case stageVoting:
		return ClaimResult{}
	case stageClaimed:
		return ClaimResult{Kind: ResultClaimed}
	}
	if c.conflict.Kind != ResultPending {
		return c.conflict
	}
	verdict := ClaimResult{Kind: ResultNotRun}
	if c.requiredVotes() > len(c.group.Members) {
		// The shard has shrunk; it serves again after the retention.
		verdict.Cause = CauseNotReady
		return verdict
	}
	for cause, count := range c.causes {
		if count > c.causes[verdict.Cause] {
			verdict.Cause = Cause(cause)
		}
	}
	return verdict
}

// MayDispatch reports whether the order may be sent to a backend server now. It
// must be asked immediately before each attempt, so that a process that was
// frozen finds its claim time run out.
func (c *Claim) MayDispatch(now time.Time) bool {
	if c.stage != stageClaimed || !now.Before(c.Expiry()) {
		return false
	}
	c.dispatched = true
	return true
}

// Outcome says how the order of a claim ended.
type Outcome uint8

const (
	// OutcomeUnknown means that the order may or may not have run. It is the zero
	// value, so that a path that forgets to decide never claims more than it knows.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that it is proved that no backend server saw the order.
	OutcomeNotRun
	// OutcomeAnswered means that the order ran.
	OutcomeAnswered
)

// Settlement is the message to send to every replica when a claim has ended. At
// most one of its parts is set.
type Settlement struct {
	// Release frees the votes.
	Release *ReleaseRequest
	// Finish records the outcome.
	Finish *FinishRequest
}

// Dispatched reports whether MayDispatch has ever permitted an attempt.
func (c *Claim) Dispatched() bool { return c.dispatched }

// Settle ends the claim. A claim without a majority is released whatever the
// given end. Answer is the answer of EndAnswered; nil or a too large one is not
// kept. A second call returns nothing.
func (c *Claim) Settle(end Outcome, answer []byte) Settlement {
	if c.stage == stageSettled {
		return Settlement{}
	}
	release := c.stage != stageClaimed || end == OutcomeNotRun
	c.stage = stageSettled
	if release {
		return Settlement{Release: &ReleaseRequest{Record: c.record, Claim: c.id}}
	}
	finish := &FinishRequest{Record: c.record, Claim: c.id, State: StateUnknown}
	if end == OutcomeAnswered {
		finish.State = StateResponseNotStored
		if answer != nil && len(answer) <= c.config.MaxResponseBytes {
			finish.State, finish.Response = StateResponseStored, answer
		}
	}
	return Settlement{Finish: finish}
}
