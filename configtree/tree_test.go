package configtree

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Every instance except the holders has exactly one parent in the tree, and no instance
// has more than fanOut children.
func TestTreeReachesEveryInstance(t *testing.T) {
	var all []Instance
	for i := range 820 {
		all = append(all, Instance{Control: i < 5, InstanceAddress: fleetconfig.InstanceAddress{
			ID:            fleetconfig.InstanceID(fmt.Sprintf("i%03d", i)),
			FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("fd%d", i%8)),
		}})
	}
	var holders []fleetconfig.InstanceAddress
	for i := range 7 {
		holders = append(holders, all[100*i+9].InstanceAddress)
	}
	offered := make(map[fleetconfig.InstanceID]int)
	for i, self := range all {
		peers := append(append([]Instance(nil), all[:i]...), all[i+1:]...)
		near := Find(self, holders, peers)
		must.LessEq(t, fanOut, len(near.Children))
		must.SliceNotEmpty(t, near.Parents)
		for _, child := range near.Children {
			offered[child.ID]++
		}
	}
	for _, peer := range all {
		isHolder := false
		for _, holder := range holders {
			isHolder = isHolder || holder.ID == peer.ID
		}
		if !isHolder {
			must.Eq(t, 1, offered[peer.ID], must.Sprint(peer.ID))
		}
	}
}
