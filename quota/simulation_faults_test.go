package quota

import (
	"time"

	"github.com/hemlockring/hemlockring/internal/simnet"
)

// fault injects a random fault.
func (s *simulation) fault() {
	node := s.nodes[s.draw("victim", len(s.nodes))]
	other := s.nodes[s.draw("other", len(s.nodes))]
	switch s.draw("fault", 10) {
	case 0:
		node.frozenUntil = s.now.Add(time.Duration(s.draw("freeze", 6000)) * time.Millisecond)
	case 1:
		s.start(node)
	case 2:
		if s.draw("isolate", 2) == 0 {
			s.isolate(node)
		}
		s.network.Cut[simnet.Link{From: node.address.ID, To: other.address.ID}] = true
	case 3, 4:
		clear(s.network.Cut)
	case 5, 6:
		shards := s.views[0].Document().Shards
		s.addView(&shards)
	case 7:
		s.loseOwner()
	default:
		s.loseOwnerAt = s.now.Add(time.Duration(s.draw("lose at", 1000)) * time.Millisecond)
		s.releaseAt = s.loseOwnerAt.Add(time.Duration(s.draw("release", 2000)) * time.Millisecond)
	}
}

// loseOwner stops, isolates, freezes or restarts the instance that owns the shard.
func (s *simulation) loseOwner() {
	for _, node := range s.nodes {
		now := node.clock.At(s.now)
		if _, held := node.shards.Held(0, now); !held || s.now.Before(node.frozenUntil) {
			continue
		}
		switch s.draw("loss", 5) {
		case 0:
			s.isolate(node)
		case 1:
			node.frozenUntil = s.now.Add(time.Duration(s.draw("freeze", 6000)) * time.Millisecond)
		case 2:
			s.start(node)
		default:
			s.sendShard(node, node.shards.Stop(now))
			node.restartAt = s.now.Add(time.Second)
		}
	}
}

// isolate drops all messages between a node and the others, in one or both directions.
func (s *simulation) isolate(node *simNode) {
	directions := s.draw("directions", 3)
	for _, other := range s.nodes {
		if other == node {
			continue
		}
		s.network.Cut[simnet.Link{From: node.address.ID, To: other.address.ID}] = directions != 0
		s.network.Cut[simnet.Link{From: other.address.ID, To: node.address.ID}] = directions != 1
	}
}
