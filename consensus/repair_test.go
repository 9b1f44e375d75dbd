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

func answering(id, disk string) Instance {
	return Instance{ID: MemberID(id), Address: id, Disk: DiskID(disk)}
}

// repairAll makes the first step that may follow until nothing is left, as a leader
// does whose members catch up at once.
func repairAll(t rapid.TB, membership Membership, instances []Instance, wanted int) Membership {
	for range 40 {
		steps := PlanMembershipChanges(membership, instances, wanted)
		if len(steps) == 0 {
			return membership
		}
		taken := false
		for _, next := range steps {
			if next.mayFollow(membership) {
				membership, taken = next, true
				break
			}
		}
		must.True(t, taken, must.Sprint("no step may follow"))
	}
	t.Fatal("the repair does not end")
	return membership
}

// Whatever was wiped, came or went: the steps are ones that the log takes, a
// majority always consists of disks that it has admitted, and in the end every
// instance that answers votes with the disk that it has.
func TestRepairEndsWithAllAnsweringInstancesAsVoters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const wanted = 5
		var members []Member
		var instances []Instance
		for i := range wanted {
			id := fmt.Sprintf("c%d", i)
			members = append(members, voter(id, "old-"+id))
			instance := answering(id, "old-"+id)
			switch rapid.IntRange(0, 3).Draw(t, "fate of "+id) {
			case 0:
				instance.Disk = DiskID("new-" + id)
			case 1:
				instance.SinceLastContact = time.Duration(rapid.IntRange(0, 10).Draw(t, "silent")) * time.Second
			}
			instances = append(instances, instance)
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "newcomers") {
			id := fmt.Sprintf("n%d", i)
			instances = append(instances, answering(id, "new-"+id))
		}
		repaired := repairAll(t, NewMembership(members...), instances, wanted)
		for _, instance := range instances {
			if instance.SinceLastContact < silentAfter {
				must.True(t, repaired.IsVoter(instance.ID, instance.Disk), must.Sprint(instance.ID))
			}
		}
		must.LessEq(t, maxVoters-1, repaired.VoterCount())
	})
}

// A member that is merely silent keeps its vote: it may hold what was accepted.
func TestASilentMemberStaysUntilItIsReplaced(t *testing.T) {
	group := NewMembership(voter("a", "1"), voter("b", "2"), voter("c", "3"))
	silent := Instance{ID: "c", Address: "c", Disk: "3", SinceLastContact: time.Hour}
	instances := []Instance{answering("a", "1"), answering("b", "2"), silent}
	must.SliceEmpty(t, PlanMembershipChanges(group, instances, 3))

	instances = append(instances, answering("d", "4"))
	repaired := repairAll(t, group, instances, 3)
	must.True(t, repaired.IsVoter("d", "4"))
	_, stays := repaired.Find("c")
	must.False(t, stays)
	must.Eq(t, 3, repaired.VoterCount())
}
