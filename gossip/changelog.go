package gossip

import (
	"log/slog"

	"github.com/hemlockring/hemlockring/membership"
)

// maxChangeLines bounds the lines about one change of the members.
const maxChangeLines = 32

// logChanges writes a line for each instance that was found, doubted, lost, regained
// or has left between two snapshots, up to a bound. before may be nil.
func logChanges(logger *slog.Logger, before, after *Snapshot) {
	lines, omitted := 0, 0
	for i := range after.Members {
		member := &after.Members[i]
		state := stateOf(member)
		former := ""
		if before != nil {
			if known := before.byID[member.Record.ID]; known != nil {
				former = stateOf(known)
			}
		}
		if state == former || member.Record.ID == after.Self {
			continue
		}
		if lines++; lines > maxChangeLines {
			omitted++
			continue
		}
		logger.Info("member changed", "member", member.Record.ID, "from", former, "to", state,
			"path", member.Path.String(), "incarnation", member.Record.Incarnation)
	}
	if omitted > 0 {
		logger.Info("member lines omitted", "lines", omitted)
	}
}

// stateOf names what is believed of a member.
func stateOf(member *membership.Member) string {
	switch {
	case member.Record.Left:
		return "left"
	case member.Liveness == membership.Alive && member.Record.Draining:
		return "draining"
	default:
		return member.Liveness.String()
	}
}
