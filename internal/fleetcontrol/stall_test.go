package fleetcontrol

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSuccessorGetsItsVoteAlthoughAllStandStill guards against a successor that never gets the vote of
// the replica that it replaces, because all replicas stand still again and again, as on an overloaded
// machine, so that leaders last for less than a second.
func TestSuccessorGetsItsVoteAlthoughAllStandStill(t *testing.T) {
	const stalls = 40
	rapid.Check(t, func(t *rapid.T) {
		g := newSimGroup(t)
		g.run(catchUp, 0)
		successor := g.blank(g.nodes[0].domain)
		g.nodes = append(g.nodes, successor)
		upTo := func(d time.Duration) time.Duration { return time.Duration(g.random.Int64N(int64(d))) }
		for range stalls {
			g.run(300*time.Millisecond+upTo(600*time.Millisecond), 0)
			g.now += (300*time.Millisecond + upTo(2200*time.Millisecond)).Truncate(10 * time.Millisecond)
		}
		m := successor.core.Membership()
		if !isVoter(m, successor.core.ID()) || isVoter(m, g.nodes[0].core.ID()) {
			t.Fatalf("the successor has no vote, or the replica that it replaces has one: %v", m)
		}
	})
}
