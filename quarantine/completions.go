package quarantine

import "time"

// completions remembers the requests that completed last, up to maxCompletions.
type completions struct {
	index map[Fingerprint]int
	ring  []completion
	next  int
}

type completion struct {
	fingerprint Fingerprint
	at          time.Time
}

func newCompletions() *completions {
	return &completions{index: make(map[Fingerprint]int)}
}

func (c *completions) add(fingerprint Fingerprint, now time.Time) {
	if index, known := c.index[fingerprint]; known {
		c.ring[index].at = now
		return
	}
	if len(c.ring) < maxCompletions {
		c.index[fingerprint] = len(c.ring)
		c.ring = append(c.ring, completion{fingerprint, now})
		return
	}
	delete(c.index, c.ring[c.next].fingerprint)
	c.ring[c.next] = completion{fingerprint, now}
	c.index[fingerprint] = c.next
	c.next = (c.next + 1) % maxCompletions
}

// clears reports whether a completed run of the request clears it of a crash at the given
// time.
func (c *completions) clears(fingerprint Fingerprint, crash time.Time) bool {
	index, known := c.index[fingerprint]
	return known && crash.Before(c.ring[index].at.Add(completionWindow))
}
