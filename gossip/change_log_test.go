package gossip

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
)

func snapshotOf(liveness membership.Liveness, count int) *Snapshot {
	var members []membership.Member
	for i := range count {
		id := fleetconfig.InstanceID(fmt.Sprintf("i%03d", i))
		members = append(members, membership.Member{Record: membership.Record{ID: id}, Liveness: liveness})
	}
	return NewSnapshot("i000", members)
}

func TestLogChangesLogsEachChangeOnceUpToLimit(t *testing.T) {
	var out bytes.Buffer
	logger := slog.New(slog.NewJSONHandler(&out, nil))
	logged := func(before, after *Snapshot) int {
		out.Reset()
		logChanges(logger, before, after)
		return strings.Count(out.String(), "\n")
	}
	const few, many = 3, 200
	must.Eq(t, few-1, logged(nil, snapshotOf(membership.Alive, few)))
	must.Zero(t, logged(snapshotOf(membership.Alive, few), snapshotOf(membership.Alive, few)))
	must.Eq(t, few-1, logged(snapshotOf(membership.Alive, few), snapshotOf(membership.Dead, few)))
	must.StrContains(t, out.String(), `"from":"alive","to":"dead"`)
	must.Eq(t, maxChangeLogLines+1, logged(snapshotOf(membership.Alive, many), snapshotOf(membership.Suspect, many)))
	must.StrContains(t, out.String(), fmt.Sprintf(`"lines":%d`, many-1-maxChangeLogLines))
}
