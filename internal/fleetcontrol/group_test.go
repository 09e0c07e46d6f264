package fleetcontrol

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

func TestSeedsDeriveSameGroupIndependently(t *testing.T) {
	seeds := []string{"10.0.0.1:8144", "10.0.0.2:8144", "10.0.0.3:8144"}
	var first *wire.Membership
	for i, address := range []string{"10.0.0.1:7380", "10.0.0.2:7380", "10.0.0.3:7380"} {
		cfg := Settings{Address: address, FirstStart: true, Seeds: slices.Clone(seeds)}
		// The order of the seeds may differ between replicas.
		slices.Reverse(cfg.Seeds[:i+1])
		m := firstMembership(cfg.seedPeers())
		if first == nil {
			first = m
		}
		if !proto.Equal(m, first) || replica.GroupName(m) != replica.GroupName(first) {
			t.Errorf("%s derives a different group: %v", address, m)
		}
		if id := newReplicaID(cfg); !slices.ContainsFunc(m.Replicas, func(r *wire.Replica) bool { return r.Id == id && r.Address == address }) {
			t.Errorf("%s is not a member of the group that it derives", address)
		}
		emptied := cfg
		emptied.FirstStart = false
		if id := newReplicaID(emptied); id == seedID(address) {
			t.Errorf("%s reuses its old id after its data folder was emptied", address)
		}
	}
	other := Settings{Address: "10.0.0.9:7380", FirstStart: true, Seeds: seeds}
	if id := newReplicaID(other); id == seedID(other.Address) {
		t.Error("a replica that is not a seed derives its id from its address")
	}
}

// TestGroupSurvivesReplicaLosses empties disks, replaces machines and takes them
// down one at a time, with time to catch up in between, and restarts all replicas
// at once. No acknowledged command is lost, all replicas apply the same sequence,
// and the group still commits at the end.
func TestGroupSurvivesReplicaLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newSimGroup(t)
		g.run(3*time.Second, 0)
		for range rapid.IntRange(1, 5).Draw(t, "losses") {
			g.propose()
			i := rapid.IntRange(0, len(g.nodes)-1).Draw(t, "lost")
			lost := g.nodes[i]
			switch rapid.SampledFrom([]string{"emptied", "replaced", "all restarted", "down for a while"}).Draw(t, "how") {
			case "emptied":
				g.nodes[i] = g.emptied(lost)
			case "replaced":
				g.nodes[i] = g.blank(lost.domain)
			case "all restarted":
				for j, n := range g.nodes {
					g.nodes[j] = g.restart(n)
				}
				g.queue = nil
			default:
				lost.up = false
				g.run(2500*time.Millisecond, 2)
				lost.up = true
			}
			g.run(time.Duration(rapid.IntRange(6, 9).Draw(t, "seconds"))*time.Second, rapid.IntRange(0, 3).Draw(t, "loss percent"))
			g.check()
		}
		g.run(6*time.Second, 0)
		before := len(g.acknowledged)
		g.propose()
		g.run(time.Second, 0)
		g.check()
		if len(g.acknowledged) == before {
			t.Fatalf("the group no longer commits: %v", g.nodes[0].core.Membership())
		}
	})
}

// TestReplicaThatJoinsAgainIsNotTakenForSilent guards against the removal of a replica that has
// just been admitted for the time in which it was no member.
func TestReplicaThatJoinsAgainIsNotTakenForSilent(t *testing.T) {
	status := func(learner bool) replica.Status {
		s := replica.Status{Membership: &wire.Membership{}, Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}}
		for id := uint64(1); id <= 3; id++ {
			s.Membership.Replicas = append(s.Membership.Replicas, &wire.Replica{Id: id})
			s.Reachable[id], s.CaughtUp[id] = true, true
		}
		if learner {
			s.Membership.Replicas = append(s.Membership.Replicas, &wire.Replica{Id: 4, Learner: true})
		}
		return s
	}
	var r reachability
	for _, step := range []struct {
		at      time.Duration
		learner bool
	}{{0, true}, {time.Second, false}, {time.Minute, true}} {
		s := status(step.learner)
		r.record(s, step.at)
		if next, reason := nextMembership(s, r.contacts(s, step.at), smallestGroup); next != nil {
			t.Errorf("at %v: %s, want no change", step.at, reason)
		}
	}
}
