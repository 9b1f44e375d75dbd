package idempotency

// maxReleasedClaims bounds the released claims that a replica remembers.
const maxReleasedClaims = 2048

// releasedClaims remembers the last released claims, so that a request for a
// vote that arrives after the release of its claim does not block the record.
// It is a matter of availability only: a forgotten one leaves a vote for a
// claim that never dispatches.
type releasedClaims struct {
	known map[ClaimID]struct{}
	ring  []ClaimID
	next  int
}

func newReleasedClaims() releasedClaims {
	return releasedClaims{known: make(map[ClaimID]struct{})}
}

func (c *releasedClaims) contains(claim ClaimID) bool {
	_, ok := c.known[claim]
	return ok
}

func (c *releasedClaims) add(claim ClaimID) {
	if c.contains(claim) {
		return
	}
	c.known[claim] = struct{}{}
	if len(c.ring) < maxReleasedClaims {
		c.ring = append(c.ring, claim)
		return
	}
	delete(c.known, c.ring[c.next])
	c.ring[c.next] = claim
	c.next = (c.next + 1) % maxReleasedClaims
}
