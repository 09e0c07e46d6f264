package routing

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func testReplicas(n, domains int) []Replica {
	out := make([]Replica, n)
	for i := range out {
		out[i] = NewReplica(fmt.Sprint("e", i), fmt.Sprint("o", i%7), fmt.Sprint("d", i%domains), 8, false)
	}
	return out
}

func replicaAt(replicas []Replica) func(int) *Replica {
	return func(i int) *Replica { return &replicas[i] }
}

// TestChooseReturnsEligibleReplica generates replicas, failures and tried
// endpoints. Choose must find a replica whenever one is eligible, and never
// return one that was tried or has no owner. With the Owner policy it must not
// return one in a failed domain, or an unreachable one, while a better one is
// eligible.
func TestChooseReturnsEligibleReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{Owner, RoundRobin, LeastInFlight}).Draw(t, "policy")
		table := NewTable(policy, 1)
		replicas := testReplicas(rapid.IntRange(0, 20).Draw(t, "n"), 4)
		q := Query{Group: "g", Prefix: rapid.Uint64Range(0, 3).Draw(t, "prefix"), Isolated: rapid.Bool().Draw(t, "alone")}
		now := time.Minute
		for i := range replicas {
			switch rapid.IntRange(0, 4).Draw(t, "state") {
			case 0:
				q.Tried = append(q.Tried, replicas[i].Endpoint)
			case 1:
				replicas[i].Owner = ""
			case 2:
				table.RecordFailure(now, replicas[i].Endpoint)
			case 3:
				table.UpdateLoad(now, replicas[i].Endpoint, Load{InFlight: rapid.IntRange(0, 50).Draw(t, "load")})
			}
		}
		if rapid.Bool().Draw(t, "failed domain") {
			q.FailedDomains = []string{"d0"}
		}
		best, found := 0.0, false
		for i := range replicas {
			if r := &replicas[i]; eligible(r, &q) {
				if c := penalty(table.cost(now, r, &q)); !found || c < best {
					best, found = c, true
				}
			}
		}
		i := table.Choose(now, len(replicas), replicaAt(replicas), q)
		if (i >= 0) != found {
			t.Fatalf("Choose returned %d, but an eligible replica exists: %v", i, found)
		}
		if i < 0 {
			return
		}
		if !eligible(&replicas[i], &q) {
			t.Fatalf("Choose returned a replica that is not eligible: %+v", replicas[i])
		}
		if got := penalty(table.cost(now, &replicas[i], &q)); policy == Owner && got > best {
			t.Fatalf("Choose returned a replica with penalty %v, lowest penalty %v", got, best)
		}
	})
}

// penalty returns the larger penalty that a cost contains, or zero.
func penalty(cost float64) float64 {
	switch {
	case cost >= unreachablePenalty:
		return unreachablePenalty
	case cost >= failedDomainPenalty:
		return failedDomainPenalty
	}
	return 0
}

// TestPrefixAffinity checks that every entry sends a prefix to the same replica,
// that the removal of another replica of its group does not change that, and
// that a loaded replica is not preferred.
func TestPrefixAffinity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := testReplicas(rapid.IntRange(2, affinityGroupSize).Draw(t, "n"), 4)
		prefix := rapid.Uint64Min(1).Draw(t, "prefix")
		a, b := NewTable(Owner, 1), NewTable(Owner, 2)
		preferredIndex := a.Choose(0, len(replicas), replicaAt(replicas), Query{Prefix: prefix})
		if other := b.Choose(0, len(replicas), replicaAt(replicas), Query{Prefix: prefix}); other != preferredIndex {
			t.Fatalf("two entries prefer replicas %d and %d for one prefix", preferredIndex, other)
		}
		removed := rapid.IntRange(0, len(replicas)-1).Draw(t, "gone")
		if remaining := slices.Delete(slices.Clone(replicas), removed, removed+1); removed != preferredIndex && len(remaining) > 0 {
			if index := a.Choose(0, len(remaining), replicaAt(remaining), Query{Prefix: prefix}); remaining[index].Endpoint != replicas[preferredIndex].Endpoint {
				t.Fatalf("removal of another replica changed the preferred replica")
			}
		}
		a.UpdateLoad(0, replicas[preferredIndex].Endpoint, Load{InFlight: 8, Queued: 8})
		if index := a.Choose(0, len(replicas), replicaAt(replicas), Query{Prefix: prefix}); index == preferredIndex {
			t.Fatal("the prefix is sent to its preferred replica although that is loaded")
		}
	})
}

// TestLoadReportsDecay checks that a load report counts less as it ages, while
// the attempts that the entry itself has in flight count in full.
func TestLoadReportsDecay(t *testing.T) {
	table, r := NewTable(Owner, 1), NewReplica("e", "o", "d", 1, false)
	table.AddInFlight("e", 2)
	table.UpdateLoad(0, "e", Load{InFlight: 10})
	table.AddInFlight("e", 1)
	for _, tt := range []struct {
		at   time.Duration
		want float64
	}{{0, 11}, {reportHalfLife, 6}, {time.Hour, 3}} {
		if got := table.utilization(tt.at, &r); got != tt.want {
			t.Errorf("utilization at %v is %v, want %v", tt.at, got, tt.want)
		}
	}
}

// TestTwoChoicesBalanceLoad sends requests that never end, without load reports:
// no replica may get far more than its share of the attempts of the entry.
func TestTwoChoicesBalanceLoad(t *testing.T) {
	table, replicas := NewTable(Owner, 1), testReplicas(100, 4)
	most := 0
	for range 1000 {
		i := table.Choose(0, len(replicas), replicaAt(replicas), Query{})
		table.AddInFlight(replicas[i].Endpoint, 1)
		most = max(most, table.loadOf(replicas[i].Endpoint).inFlight)
	}
	if most > 13 {
		t.Fatalf("one of 100 replicas got %d of 1000 requests, want at most 13", most)
	}
}

// BenchmarkChoose measures one choice with prefix affinity.
func BenchmarkChoose(b *testing.B) {
	for _, policy := range []Policy{Owner, RoundRobin, LeastInFlight} {
		for _, n := range []int{22, 220, 2200} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", policy, n), func(b *testing.B) {
				table, replicas := NewTable(policy, 1), testReplicas(n, 13)
				for i := range replicas {
					table.UpdateLoad(0, replicas[i].Endpoint, Load{InFlight: i % 5})
				}
				at := replicaAt(replicas)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					table.Choose(time.Millisecond, n, at, Query{Group: "g", Prefix: uint64(i + 1)})
				}
			})
		}
	}
}
