package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
)

func voter(id, disk string) Member {
	return Member{ID: MemberID(id), Address: id, Disk: DiskID(disk), Voter: true}
}

func reachableInstance(id, disk string) Instance {
	return Instance{ID: MemberID(id), Address: id, Disk: DiskID(disk)}
}

// applyPlannedChanges applies the first valid planned change until none is left. A
// leader does the same if its members catch up immediately.
func applyPlannedChanges(t rapid.TB, membership Membership, instances []Instance, targetVoters int) Membership {
	for range 40 {
		changes := PlanMembershipChanges(membership, instances, targetVoters)
		if len(changes) == 0 {
			return membership
		}
		applied := false
		for _, next := range changes {
			if next.isValidChangeFrom(membership) {
				membership, applied = next, true
				break
			}
		}
		must.True(t, applied, must.Sprint("no planned change is valid"))
	}
	t.Fatal("further changes are planned after 40 changes")
	return membership
}

// Some instances are new, some are unreachable and some have a wiped disk. Each plan
// contains a valid change, so that majorities consist only of admitted disks. After
// all changes every reachable instance is a voter with its current disk.
func TestPlanMembershipChangesMakesReachableInstancesVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targetVoters = 5
		var members []Member
		var instances []Instance
		for i := range targetVoters {
			id := fmt.Sprintf("c%d", i)
			members = append(members, voter(id, "old-"+id))
			instance := reachableInstance(id, "old-"+id)
			switch rapid.IntRange(0, 3).Draw(t, "fault of "+id) {
			case 0:
				instance.Disk = DiskID("new-" + id)
			case 1:
				instance.SinceLastContact = time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds since contact")) * time.Second
			}
			instances = append(instances, instance)
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "new instances") {
			id := fmt.Sprintf("n%d", i)
			instances = append(instances, reachableInstance(id, "new-"+id))
		}
		result := applyPlannedChanges(t, NewMembership(members...), instances, targetVoters)
		for _, instance := range instances {
			if instance.SinceLastContact < voterRemovalTimeout {
				must.True(t, result.IsVoter(instance.ID, instance.Disk), must.Sprint(instance.ID))
			}
		}
		must.LessEq(t, maxVoters-1, result.VoterCount())
	})
}

// An unreachable voter is kept until it is replaced, because its disk may hold
// committed entries.
func TestPlanMembershipChangesKeepsUnreachableVoterUntilReplaced(t *testing.T) {
	membership := NewMembership(voter("a", "1"), voter("b", "2"), voter("c", "3"))
	unreachable := Instance{ID: "c", Address: "c", Disk: "3", SinceLastContact: time.Hour}
	instances := []Instance{reachableInstance("a", "1"), reachableInstance("b", "2"), unreachable}
	must.SliceEmpty(t, PlanMembershipChanges(membership, instances, 3))

	instances = append(instances, reachableInstance("d", "4"))
	result := applyPlannedChanges(t, membership, instances, 3)
	must.True(t, result.IsVoter("d", "4"))
	_, stillMember := result.Find("c")
	must.False(t, stillMember)
	must.Eq(t, 3, result.VoterCount())
}
