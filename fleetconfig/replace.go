package fleetconfig

import "fmt"

// replacement returns the replacement that a command makes, or nil.
func (c *Command) replacement() *Replacement {
	if len(c.Changes) != 1 {
		return nil
	}
	return c.Changes[0].Replacement
}

// isBasedOn reports whether a command was made from the document. A replacement
// names the operators' number, other commands the document's own version.
func (c *Command) isBasedOn(document *Document) bool {
	if replacement := c.replacement(); replacement != nil {
		return replacement.BaseOperatorVersion == document.OperatorVersion
	}
	return c.BaseVersion == document.Version
}

func (e *editor) replaceAll(change *Change) {
	next := change.Replacement
	if next == nil {
		e.add("change", string(change.Kind), "the replacement is missing", "send it as the only change of a command")
		return
	}
	if next.OperatorVersion <= e.base.OperatorVersion {
		e.add(change.Subject(), "declared", fmt.Sprintf("is not above %d, which is in force", e.base.OperatorVersion),
			"give the configuration a higher number")
		return
	}
	replaceTable(e, e.accounts, next.Accounts, "account")
	replaceTable(e, e.keys, next.Keys, "key")
	replaceTable(e, e.routes, next.Routes, "route")
	replaceTable(e, e.services, next.Services, "service")
	e.presets.put(next.Preset)
	e.inForce = next.Preset.Name
	e.limits = next.CallerLimits
	e.declared = next.OperatorVersion
}

// replaceTable makes a table hold the items and nothing else. Items that stay the
// same are not touched, so that the delta between two versions stays small.
func replaceTable[K comparable, V any](e *editor, t *table[K, V], items []V, subject string) {
	wanted := make(map[K]struct{}, len(items))
	for i := range items {
		key := t.id(&items[i])
		if _, twice := wanted[key]; twice {
			e.add(fmt.Sprintf("%s %v", subject, key), "", "is named twice", "name it once")
			return
		}
		wanted[key] = struct{}{}
		t.put(items[i])
	}
	for i := range t.base {
		key := t.id(&t.base[i])
		if _, stays := wanted[key]; !stays {
			t.remove(key)
		}
	}
}
