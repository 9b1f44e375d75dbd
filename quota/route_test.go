package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/soup"
	"github.com/hemlockring/hemlockring/shard"
)

// TestFirstAttemptGoesToAnInstanceThatAnswers lets instances fall silent and owners
// be named, right or wrong.
func TestFirstAttemptGoesToAnInstanceThatAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var instances []fleetconfig.InstanceAddress
		for i := range 5 {
			instances = append(instances, fleetconfig.InstanceAddress{ID: fleetconfig.InstanceID(fmt.Sprintf("i%d", i))})
		}
		shards := shard.InitialMap(1, instances)
		table := NewOwnerTable()
		silentUntil := make(map[fleetconfig.InstanceID]time.Time)
		now := soup.Start
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pass")) * time.Millisecond)
			instance := instances[rapid.IntRange(0, 4).Draw(t, "instance")].ID
			if rapid.Bool().Draw(t, "silent") {
				table.Suspect(0, instance, now)
				silentUntil[instance] = now.Add(suspicion)
			} else {
				named := instances[rapid.IntRange(0, 4).Draw(t, "named")].ID
				table.Learn(instance, &BorrowReply{Owner: named}, now)
				delete(silentUntil, instance)
			}
			silent := 0
			for _, until := range silentUntil {
				if now.Before(until) {
					silent++
				}
			}
			target, ok := table.Target(0, &shards, 0, now)
			must.True(t, ok)
			if silent < len(instances) {
				must.False(t, now.Before(silentUntil[target.ID]))
			}
		}
	})
}
