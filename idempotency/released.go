package idempotency

// maxReleasedClaims is the number of released claims that a replica remembers.
const maxReleasedClaims = 2048

// releasedClaims holds the IDs of the most recently released claims, so that a
// vote request that arrives after the release of its claim does not block the
// record. This affects availability only: if an ID has been evicted, the
// replica votes for a claim that never dispatches.
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
