package idempotency

import (
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// ClaimResultKind is the kind of result of a claim.
type ClaimResultKind uint8

const (
	// ResultPending means that the claim is still waiting for votes.
	ResultPending ClaimResultKind = iota
	// ResultClaimed means that the claim got a majority and may run the order.
	ResultClaimed
	// ResultResponseStored means that the order has run and its response is
	// available.
	ResultResponseStored
	// ResultResponseNotStored means that the order has run and its response was
	// not stored.
	ResultResponseNotStored
	// ResultInProgress means that another claim holds the order's record and the
	// deadline of that claim's request has not passed.
	ResultInProgress
	// ResultOutcomeUnknown means that another claim held the order's record and
	// may or may not have run the order.
	ResultOutcomeUnknown
	// ResultKeyReused means that the key was used before for an order with
	// different content.
	ResultKeyReused
	// ResultNotRun means that the claim got fewer votes than it needs. The request
	// of this claim has not run the order and never will.
	ResultNotRun
)

// Cause explains why the result of a claim is ResultNotRun.
type Cause uint8

const (
	// CauseNoMajority means that too few replicas replied within the claim
	// timeout.
	CauseNoMajority Cause = iota
	// CauseNotReady means that replicas are still recovering their records.
	CauseNotReady
	// CauseFull means that replicas have no memory left for another record.
	CauseFull
	// CauseEpochMismatch means that replicas use another epoch of the shard map
	// than the claim.
	CauseEpochMismatch
	// CauseInvalidDeadline means that the request's deadline has passed or is
	// further away than MaxRequestTime.
	CauseInvalidDeadline
)

// ClaimResult is the result of a claim.
type ClaimResult struct {
	// Kind is the kind of result.
	Kind ClaimResultKind
	// Cause explains ResultNotRun.
	Cause Cause
	// Response is the stored response of ResultResponseStored, as it was passed to
	// Settle.
	Response []byte
	// Remaining is set for ResultInProgress: the time until the deadline of the
	// request whose claim holds the record.
	Remaining time.Duration
}

// stage is the stage of a claim's life cycle.
type stage uint8

const (
	stageVoting stage = iota
	stageClaimed
	stageFailed
	stageSettled
)

// Claim is one attempt of an ingress to acquire the exclusive right to run an
// order. It is not safe for concurrent use.
//
// Invariant: MayDispatch returns true only if a majority of the group's replicas
// have granted their votes and the claim has not expired. Only the first reply of
// each replica counts. The claim timeout starts before the first vote request is
// sent.
// After Settle, MayDispatch always returns false.
type Claim struct {
	config      Config
	group       Group
	record      RecordID
	fingerprint Fingerprint
	id          ClaimID
	started     time.Time
	deadline    time.Time
	stage       stage
	dispatched  bool
	// replied tells for each member of the group whether it has replied or its
	// vote request has failed; replies is the number of these members.
	replied []bool
	granted int
	// earlierMinority is the largest VoteReply.EarlierMinority received.
	earlierMinority int
	replies         int
	// causes is the number of replies and failures by cause.
	causes [CauseInvalidDeadline + 1]int
	// conflict is the result that the VoteHeld replies lead to. Its kind is
	// ResultPending if there are none.
	conflict ClaimResult
}

// NewClaim starts a claim. The caller must read now before it sends any vote
// request, because the claim timeout is measured from now.
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

// ID returns the ID of the claim.
func (c *Claim) ID() ClaimID { return c.id }

// Group returns the replicas that the claim requests votes from.
func (c *Claim) Group() Group { return c.group }

// Expiry returns the time at which the claim expires: the end of the claim
// timeout or the request's deadline, whichever is earlier.
func (c *Claim) Expiry() time.Time {
	limit := c.started.Add(c.config.ClaimTimeout)
	if c.deadline.Before(limit) {
		return c.deadline
	}
	return limit
}

// VoteRequest returns the request to send to every replica of the group.
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

// HandleVoteReply counts the reply of a replica. It ignores replies to other
// claims, further replies of the same replica and replies after the claim has
// expired.
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

// HandleFailure records that a vote request to a replica failed. The claim
// counts it as a reply without a vote, so that it need not wait until it expires
// if no majority is possible.
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

// Tick marks the claim as failed if it has expired without getting the votes that
// it needs.
func (c *Claim) Tick(now time.Time) {
	if c.stage == stageVoting && !now.Before(c.Expiry()) {
		c.stage = stageFailed
	}
}

func (c *Claim) updateStage() {
	outstanding := len(c.group.Members) - c.replies
	needed := c.requiredVotes()
	switch {
	case c.granted >= needed:
		c.stage = stageClaimed
	case c.conflict.Kind == ResultResponseStored:
		c.stage = stageFailed
	case outstanding == 0:
		c.stage = stageFailed
	case c.granted+outstanding < needed && c.conflict.Kind != ResultPending && c.replies >= c.group.Majority():
		// The claim cannot get the votes that it needs. It fails once a majority of
		// the replicas has replied and a reply has reported a conflicting record.
		// Until then it waits, because a further reply may contain the stored
		// response.
		c.stage = stageFailed
	}
}

// requiredVotes returns the number of votes that the claim needs: a majority of
// its group, and more than the minority size of every earlier group whose
// claims are still retained.
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

// recordConflict keeps the result with the highest precedence among the VoteHeld
// replies. If the fingerprint of the reply differs from the claim's fingerprint,
// the result is ResultKeyReused, without a response.
func (c *Claim) recordConflict(reply VoteReply) {
	result := ClaimResult{Kind: ResultKeyReused}
	if reply.Fingerprint == c.fingerprint {
		result = resultFor(reply)
	}
	if precedence(result.Kind) > precedence(c.conflict.Kind) {
		c.conflict = result
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

// precedence returns the rank of a result. A result with a higher rank replaces
// one with a lower rank.
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

// Result returns the current result of the claim. It must be called before
// Settle.
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
	result := ClaimResult{Kind: ResultNotRun}
	if c.requiredVotes() > len(c.group.Members) {
		// Because of earlier, larger groups, a claim needs more votes than the group
		// has members. The shard accepts claims again after the records of the
		// earlier groups have expired.
		result.Cause = CauseNotReady
		return result
	}
	for cause, count := range c.causes {
		if count > c.causes[result.Cause] {
			result.Cause = Cause(cause)
		}
	}
	return result
}

// MayDispatch reports whether the order may be sent to a backend server now.
// Call it immediately before each attempt with a fresh time, so that a process
// that was suspended detects that its claim has expired.
func (c *Claim) MayDispatch(now time.Time) bool {
	if c.stage != stageClaimed || !now.Before(c.Expiry()) {
		return false
	}
	c.dispatched = true
	return true
}

// Outcome is the outcome of an order.
type Outcome uint8

const (
	// OutcomeUnknown means that the order may or may not have run. It is the zero
	// value, so that a code path that sets no outcome reports an unknown outcome.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that it is certain that no backend server has processed
	// the order.
	OutcomeNotRun
	// OutcomeAnswered means that the order has run.
	OutcomeAnswered
)

// Settlement is the message to send to every replica when a claim ends. At most
// one of its fields is set.
type Settlement struct {
	// Release asks the replicas to remove their votes.
	Release *ReleaseRequest
	// Finish reports the outcome to the replicas.
	Finish *FinishRequest
}

// Dispatched reports whether MayDispatch has ever returned true.
func (c *Claim) Dispatched() bool { return c.dispatched }

// Settle ends the claim. A claim without a majority is released whatever the
// outcome. Response is stored for OutcomeAnswered unless it is nil or larger
// than MaxResponseBytes. Further calls return an empty Settlement.
func (c *Claim) Settle(outcome Outcome, response []byte) Settlement {
	if c.stage == stageSettled {
		return Settlement{}
	}
	release := c.stage != stageClaimed || outcome == OutcomeNotRun
	c.stage = stageSettled
	if release {
		return Settlement{Release: &ReleaseRequest{Record: c.record, Claim: c.id}}
	}
	finish := &FinishRequest{Record: c.record, Claim: c.id, State: StateUnknown}
	if outcome == OutcomeAnswered {
		finish.State = StateResponseNotStored
		if response != nil && len(response) <= c.config.MaxResponseBytes {
			finish.State, finish.Response = StateResponseStored, response
		}
	}
	return Settlement{Finish: finish}
}
