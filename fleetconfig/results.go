package fleetconfig

// maxCachedResults is the number of results that are kept: those of nine days at 440
// changes per day. An accepted command that is sent again after its result was evicted
// is refused as a conflict, because its base version is outdated by then, unless it is
// identified by its source; see StateMachine.formerAcceptance. No command is applied twice,
// except an evacuation (see Command.IgnoresBaseVersion) that is sent again after so many others.
const maxCachedResults = 4096

// cachedResult is the result of a command with the digest of the command.
type cachedResult struct {
	Digest contentDigest `cbor:"1,keyasint"`
	Result *Result       `cbor:"2,keyasint"`
}

// resultCache keeps the latest results by change id, up to maxCachedResults. It
// evicts the oldest result first, so that every replica evicts the same ones.
type resultCache struct {
	ring []cachedResult
	// next is the index in ring of the oldest result once ring is full.
	next int
	// byID has the index in ring of each change id.
	byID map[string]int
}

func (c *resultCache) find(changeID string) (*cachedResult, bool) {
	at, found := c.byID[changeID]
	if !found {
		return nil, false
	}
	return &c.ring[at], true
}

// add stores a result whose change id is not in the cache yet.
func (c *resultCache) add(r cachedResult) {
	if c.byID == nil {
		c.byID = make(map[string]int)
	}
	if len(c.ring) < maxCachedResults {
		c.byID[r.Result.ChangeID] = len(c.ring)
		c.ring = append(c.ring, r)
		return
	}
	delete(c.byID, c.ring[c.next].Result.ChangeID)
	c.ring[c.next] = r
	c.byID[r.Result.ChangeID] = c.next
	c.next = (c.next + 1) % maxCachedResults
}

// list returns the results, oldest first.
func (c *resultCache) list() []cachedResult {
	list := make([]cachedResult, 0, len(c.ring))
	list = append(list, c.ring[c.next:]...)
	return append(list, c.ring[:c.next]...)
}
