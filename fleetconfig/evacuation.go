package fleetconfig

import (
	"fmt"
	"slices"
)

// isEvacuation reports whether every change of the command starts or ends an evacuation.
func (c *Command) isEvacuation() bool {
	for i := range c.Changes {
		if kind := c.Changes[i].Kind; kind != EvacuateDomain && kind != EndEvacuation {
			return false
		}
	}
	return len(c.Changes) > 0
}

// IgnoresBaseVersion reports whether BaseVersion has no meaning for the command: a
// replacement is compared by the version number that the operators assigned, and a command
// that only starts and ends evacuations says all that it depends on. Of two such commands
// for one failure domain, the later one in the log decides.
func (c *Command) IgnoresBaseVersion() bool { return c.IsReplacement() || c.isEvacuation() }

// evacuate adds a failure domain to the evacuated ones. Validate checks its name.
func (e *editor) evacuate(domain FailureDomain) {
	if at, found := slices.BinarySearch(e.evacuated, domain); !found {
		e.evacuated = slices.Insert(slices.Clone(e.evacuated), at, domain)
	}
}

func (e *editor) endEvacuation(domain FailureDomain) {
	if at, found := slices.BinarySearch(e.evacuated, domain); found {
		e.evacuated = slices.Delete(slices.Clone(e.evacuated), at, at+1)
	}
}

func (c *validation) evacuations() {
	c.size("evacuated domains", len(c.document.EvacuatedDomains), maxEvacuated)
	for i, domain := range c.document.EvacuatedDomains {
		subject := fmt.Sprintf("failure domain %.64s", domain)
		c.name(subject, "name", string(domain))
		if i > 0 && c.document.EvacuatedDomains[i-1] >= domain {
			c.add(subject, "", "is evacuated twice or out of order", "fetch the document again from another instance")
		}
	}
}
