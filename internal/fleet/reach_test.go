package fleet

import (
	"testing"
	"time"
)

func TestGroupIsCheckedOnceSeveralEndpointsOrAllAreNotReached(t *testing.T) {
	large, small := Group{"s", "d1"}, Group{"t", "d1"}
	sizes := map[Group]int{large: 6, small: 1}
	var r Reach
	r.RecordFailure(large, "a", 0)
	r.RecordFailure(large, "a", 0)
	if due := r.Due(sizes, 0); len(due) != 0 {
		t.Errorf("%v are checked after failures at one of six endpoints, want none", due)
	}
	r.RecordFailure(small, "x", 0)
	if due := r.Due(sizes, 0); len(due) != 1 || due[0] != small {
		t.Errorf("%v are checked, want the group whose only endpoint was not reached", due)
	}
	r.RecordFailure(large, "b", failureWindow+1)
	if due := r.Due(sizes, failureWindow+1); len(due) != 0 {
		t.Errorf("%v are checked, want none: the first failure is old, and a check is under way", due)
	}
}

func TestGroupOutOfReachMakesOthersSuspectAndIsCheckedUntilItIsReached(t *testing.T) {
	a, b := Group{"s", "d1"}, Group{"s", "d2"}
	sizes := map[Group]int{a: 1, b: 3}
	var r Reach
	r.Due(sizes, 0)
	r.RecordFailure(a, "x", 0)
	if due := r.Due(sizes, 0); len(due) != 1 {
		t.Fatalf("%v are checked, want one group", due)
	}
	if !r.RecordCheck(a, Check{Sampled: 1}, 0) || !r.Cut(a) || r.Cut(b) {
		t.Error("want the group that was not reached, and no other, to be out of reach")
	}
	if due := r.Due(sizes, 0); len(due) != 1 || due[0] != b {
		t.Errorf("%v are checked, want the other group at once", due)
	}
	if r.RecordCheck(b, Check{Accepted: 1, Sampled: 3}, 0) || r.Cut(b) {
		t.Error("a group that is reached has changed")
	}
	if due := r.Due(sizes, cutCheckInterval); len(due) != 1 || due[0] != a {
		t.Errorf("%v are checked later, want the group out of reach", due)
	}
	whole := Check{Accepted: 1, Sampled: 1}
	if r.RecordCheck(a, whole, cutCheckInterval) || !r.Cut(a) {
		t.Error("one check that reaches the group ends the cut, want two in a row")
	}
	r.RecordCheck(a, Check{Sampled: 1}, 2*cutCheckInterval)
	r.RecordCheck(a, whole, 3*cutCheckInterval)
	if !r.RecordCheck(a, whole, 4*cutCheckInterval) || r.AnyCut() {
		t.Error("the group is still out of reach")
	}
}

func TestEndpointsThatAreAllDownOfASmallServiceAreNoLostLinks(t *testing.T) {
	for _, c := range []struct {
		name       string
		outOfReach []string
		lost       bool
	}{
		{"a small service", []string{"a"}, false},
		{"most endpoints", []string{"a", "b", "c"}, true},
	} {
		l := NewLoads(sequentialDraws())
		out := map[string]bool{}
		for _, id := range c.outOfReach {
			out[id] = true
		}
		l.SetOutOfReach(out, 5)
		l.Begin("a", 0, 0, 0)
		if silent := l.Report(time.Hour)[0].Silent; silent == c.lost || l.OutOfReach("a") != c.lost {
			t.Errorf("%s: reported as unresponsive: %v, link lost: %v, want %v and %v", c.name, silent, l.OutOfReach("a"), !c.lost, c.lost)
		}
	}
}
