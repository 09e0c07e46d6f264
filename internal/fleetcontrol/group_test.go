package fleetcontrol

import (
	"fmt"
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

func TestNextMembership(t *testing.T) {
	r := func(id uint64, learner bool) *wire.Replica {
		return &wire.Replica{Id: id, Address: fmt.Sprint("a", id), Learner: learner}
	}
	for _, c := range []struct {
		name          string
		replicas      []*wire.Replica
		reached       []uint64
		behind        []uint64
		sinceResponse map[uint64]time.Duration
		want          string
	}{
		{"all voters reachable", []*wire.Replica{r(1, false), r(2, false), r(3, false)}, []uint64{1, 2, 3}, nil, nil, "none"},
		{"one of three voters unresponsive", []*wire.Replica{r(1, false), r(2, false), r(3, false)}, []uint64{1, 2}, nil, map[uint64]time.Duration{3: time.Minute}, "none"},
		{"learner behind", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, true)}, []uint64{1, 2, 4}, []uint64{4}, map[uint64]time.Duration{3: time.Minute}, "none"},
		{"unresponsive voter replaced by learner", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, true)}, []uint64{1, 2, 4}, nil, map[uint64]time.Duration{3: time.Minute}, "without 3"},
		{"briefly unresponsive voter stays, learner promoted", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, true)}, []uint64{1, 2, 4}, nil, map[uint64]time.Duration{3: time.Second}, "4 votes"},
		{"emptied disk at the same address", []*wire.Replica{r(1, false), r(2, false), r(3, false), {Id: 9, Address: "a3", Learner: true}}, []uint64{1, 2, 9}, nil, nil, "without 3"},
		{"one of four voters unresponsive", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, false)}, []uint64{1, 2, 4}, nil, map[uint64]time.Duration{3: time.Minute}, "without 3"},
		{"no voter removed if the remaining ones lack a quorum", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, true)}, []uint64{1, 4}, nil, map[uint64]time.Duration{2: time.Minute, 3: time.Minute}, "4 votes"},
		{"longest silent of two voters", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, false), r(5, false), r(6, false)}, []uint64{1, 2, 3, 4}, nil, map[uint64]time.Duration{5: 3 * time.Second, 6: time.Minute}, "without 6"},
		{"longest silent of two voters replaced by learner", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, false), r(5, false), r(6, true)}, []uint64{1, 2, 3, 6}, nil, map[uint64]time.Duration{4: 3 * time.Second, 5: time.Minute}, "without 5"},
		{"two voters briefly silent", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, false), r(5, false), r(6, true)}, []uint64{1, 2, 3, 6}, nil, map[uint64]time.Duration{4: time.Second, 5: time.Second}, "none"},
		{"one of two silent voters for long", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, false), r(5, false)}, []uint64{1, 2, 3}, nil, map[uint64]time.Duration{4: time.Second, 5: time.Minute}, "without 5"},
		{"two of five voters silent, neither for long", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, false), r(5, false)}, []uint64{1, 2, 3}, nil, map[uint64]time.Duration{4: time.Second, 5: 3 * time.Second}, "none"},
		{"unresponsive learner", []*wire.Replica{r(1, false), r(2, false), r(3, false), r(4, true)}, []uint64{1, 2, 3}, nil, map[uint64]time.Duration{4: time.Minute}, "without 4"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := replica.Status{Membership: &wire.Membership{Replicas: c.replicas}, Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}}
			for _, id := range c.reached {
				s.Reachable[id], s.CaughtUp[id] = true, !slices.Contains(c.behind, id)
			}
			next, _ := nextMembership(s, c.sinceResponse, smallestGroup)
			if got := describe(s.Membership, next); got != c.want {
				t.Errorf("membership change %q, want %q", got, c.want)
			}
		})
	}
}

// TestVotersThatAreGoneDoNotLastInTheQuorum guards against a group that cannot elect a
// leader after the loss of replicas that it should bear, because replicas that have left
// for good still count.
func TestVotersThatAreGoneDoNotLastInTheQuorum(t *testing.T) {
	for _, c := range []struct {
		voters, gone, tolerated int
		silent                  time.Duration
		want                    string
	}{
		{voters: 7, gone: 2, tolerated: 2, silent: time.Minute, want: "without 6"},
		{voters: 6, gone: 1, tolerated: 2, silent: 3 * time.Second, want: "without 6"},
		{voters: 5, gone: 2, tolerated: 1, silent: time.Minute, want: "without 4"},
		{voters: 7, gone: 3, tolerated: 2, silent: time.Minute, want: "without 5"},
		{voters: 5, gone: 2, tolerated: 1, silent: 3 * time.Second, want: "none"},
		{voters: 5, gone: 1, tolerated: 1, silent: time.Minute, want: "without 5"},
		{voters: 5, gone: 1, tolerated: 1, silent: 3 * time.Second, want: "without 5"},
		{voters: 5, gone: 1, tolerated: 1, silent: time.Second, want: "none"},
		{voters: 7, gone: 1, tolerated: 2, silent: 3 * time.Second, want: "without 7"},
		{voters: 5, gone: 1, tolerated: 2, silent: time.Minute, want: "none"},
		{voters: 3, gone: 1, tolerated: 1, silent: time.Minute, want: "none"},
		{voters: 7, gone: 4, tolerated: 2, silent: time.Minute, want: "none"},
		// A commit has to be on three disks if two may be lost.
		{voters: 5, gone: 2, tolerated: 2, silent: time.Minute, want: "none"},
		{voters: 4, gone: 1, tolerated: 2, silent: time.Minute, want: "none"},
	} {
		t.Run(fmt.Sprintf("%d of %d for %v, %d tolerated", c.gone, c.voters, c.silent, c.tolerated), func(t *testing.T) {
			s := replica.Status{Membership: &wire.Membership{}, Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}}
			since := map[uint64]time.Duration{}
			for i := range c.voters {
				id := uint64(i + 1)
				s.Membership.Replicas = append(s.Membership.Replicas, &wire.Replica{Id: id, Address: fmt.Sprint("a", id)})
				if i < c.voters-c.gone {
					s.Reachable[id], s.CaughtUp[id] = true, true
				} else {
					since[id] = c.silent
				}
			}
			cfg := Settings{ToleratedLosses: c.tolerated}
			next, _ := nextMembership(s, since, cfg.minVoters())
			if got := describe(s.Membership, next); got != c.want {
				t.Errorf("membership change %q, want %q", got, c.want)
			}
		})
	}
}

// describe returns the difference between two memberships as text.
func describe(from, to *wire.Membership) string {
	if to == nil {
		return "none"
	}
	out := ""
	for _, old := range from.Replicas {
		i := slices.IndexFunc(to.Replicas, func(r *wire.Replica) bool { return r.Id == old.Id })
		switch {
		case i < 0:
			out += fmt.Sprint("without ", old.Id)
		case old.Learner && !to.Replicas[i].Learner:
			out += fmt.Sprint(old.Id, " votes")
		}
	}
	return out
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
				g.nodes[i] = g.blank(lost.address)
			case "replaced":
				g.nextID++
				g.nodes[i] = g.blank(fmt.Sprint("b", g.nextID))
			case "all restarted":
				for j, n := range g.nodes {
					n.initial.HardState, n.initial.Entries = n.hard, n.entries
					g.nodes[j] = g.start(n.address, n.initial, n.group)
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
		if next, reason := nextMembership(s, r.sinceResponse(s, step.at), smallestGroup); next != nil {
			t.Errorf("at %v: %s, want no change", step.at, reason)
		}
	}
}
