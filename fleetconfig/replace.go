package fleetconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// SourceChangeID returns the change ID of a replacement that is identified by its text alone.
// Instances with other settings may derive other presets and floors from the same text; a
// command with this ID is nevertheless the same change, whichever instance proposes it.
func SourceChangeID(source []byte) string {
	digest := sha256.Sum256(source)
	return hex.EncodeToString(digest[:])
}

// isIdentifiedBySource reports whether the change ID of the command is that of SourceChangeID.
func (c *Command) isIdentifiedBySource() bool {
	replacement := c.replacement()
	return replacement != nil && c.ChangeID == SourceChangeID(replacement.Source)
}

// replacement returns the Replacement of a command whose only change is ReplaceAll,
// otherwise nil.
func (c *Command) replacement() *Replacement {
	if len(c.Changes) != 1 || c.Changes[0].Kind != ReplaceAll {
		return nil
	}
	return c.Changes[0].Replacement
}

// IsReplacement reports whether the command is compared by the version number that the
// operators assigned. Its BaseVersion then has no meaning.
func (c *Command) IsReplacement() bool { return c.replacement() != nil }

// isBasedOn reports whether the command is based on this version of the document. A
// replacement is compared by the version number that the operators assigned, an evacuation
// is not compared, and any other command is compared by the version of the document.
func (c *Command) isBasedOn(document *Document) bool {
	if c.isEvacuation() {
		return true
	}
	if replacement := c.replacement(); replacement != nil {
		return replacement.BaseOperatorVersion == document.OperatorVersion
	}
	return c.BaseVersion == document.Version
}

func (e *editor) replaceAll(change *Change) {
	next := change.Replacement
	if next == nil {
		e.add("change", string(change.Kind), "the replacement is missing", "send the replacement as the only change of a command")
		return
	}
	if next.OperatorVersion <= e.base.OperatorVersion {
		e.add(change.Subject(), "declared", fmt.Sprintf("is not greater than the current version number %d", e.base.OperatorVersion),
			"use a higher version number for the configuration")
		return
	}
	replaceTable(e, e.accounts, next.Accounts, "account")
	replaceTable(e, e.keys, next.Keys, "key")
	replaceTable(e, e.routes, next.Routes, "route")
	replaceTable(e, e.services, next.Services, "service")
	e.presets.put(next.Preset)
	e.activePreset = next.Preset.Name
	e.callerLimits = next.CallerLimits
	e.operatorVersion = next.OperatorVersion
}

// replaceTable makes a table contain exactly the given items. It keeps items that do
// not change, so that the delta between the two versions stays small.
func replaceTable[K comparable, V any](e *editor, t *table[K, V], items []V, subject string) {
	wanted := make(map[K]struct{}, len(items))
	for i := range items {
		key := t.id(&items[i])
		if _, duplicate := wanted[key]; duplicate {
			e.add(fmt.Sprintf("%s %v", subject, key), "", "is listed twice", "list it once")
			return
		}
		wanted[key] = struct{}{}
		t.put(items[i])
	}
	for i := range t.base {
		key := t.id(&t.base[i])
		if _, kept := wanted[key]; !kept {
			t.remove(key)
		}
	}
}
