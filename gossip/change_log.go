package gossip

import (
	"log/slog"

	"github.com/hemlockring/hemlockring/membership"
)

// maxChangeLogLines bounds the log messages about one new snapshot.
const maxChangeLogLines = 32

// logChanges logs each member whose state differs between two snapshots, up to
// maxChangeLogLines members. before may be nil. This instance itself is not logged.
func logChanges(logger *slog.Logger, before, after *Snapshot) {
	lines, omitted := 0, 0
	for i := range after.Members {
		member := &after.Members[i]
		state := stateName(member)
		previousState := ""
		if before != nil {
			if known := before.byID[member.Record.ID]; known != nil {
				previousState = stateName(known)
			}
		}
		if state == previousState || member.Record.ID == after.Self {
			continue
		}
		if lines++; lines > maxChangeLogLines {
			omitted++
			continue
		}
		logger.Info("member changed", "member", member.Record.ID, "from", previousState, "to", state,
			"path", member.Path.String(), "incarnation", member.Record.Incarnation)
	}
	if omitted > 0 {
		logger.Info("member change messages omitted", "lines", omitted)
	}
}

// stateName returns the name of a member's state in log messages.
func stateName(member *membership.Member) string {
	switch {
	case member.Record.Left:
		return "left"
	case member.Liveness == membership.Alive && member.Record.Draining:
		return "draining"
	default:
		return member.Liveness.String()
	}
}
