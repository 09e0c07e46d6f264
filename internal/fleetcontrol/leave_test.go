package fleetcontrol

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

// TestGroupBearsTheReplacementOfAllItsReplicas guards against a group without a quorum
// after three machines whose successors have joined are stopped, at once or one after
// the other. Later a disk is lost while all seeds are gone.
func TestGroupBearsTheReplacementOfAllItsReplicas(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			b := newBed(t)
			b.formGroup()
			var successors []*machine
			for id := range 3 {
				successors = append(successors, b.addSuccessor(id+4, b.machines[id+1]))
			}
			b.awaitVoters(3, successors...)
			var stopping sync.WaitGroup
			for id := range 3 {
				m := b.machines[id+1]
				stopping.Go(func() {
					if err := m.terminate(); err != nil {
						t.Error(err)
					}
				})
				time.Sleep(pause)
			}
			stopping.Wait()
			b.want(1)
			b.put(2)
			b.awaitVoters(3)
			b.wipe(b.machines[5], 100*time.Millisecond)
			b.awaitVoters(3)
			b.machines[6].kill()
			b.put(3)
		})
	}
}

// TestRestartOfANeededVoterDoesNotRemoveIt guards against a membership that shrinks with
// each planned restart.
func TestRestartOfANeededVoterDoesNotRemoveIt(t *testing.T) {
	b := newBed(t)
	b.formGroup()
	_, before := b.leader(t.Context())
	m := b.machines[2]
	if err := m.terminate(); err != nil {
		t.Error(err)
	}
	b.put(2)
	m.cfg.FirstStart = false
	b.start(m)
	b.awaitVoters(3)
	if _, after := b.leader(t.Context()); !slices.Equal(voterIDs(before), voterIDs(after)) {
		t.Errorf("voters %v after the restart, %v before", voterIDs(after), voterIDs(before))
	}
}

// TestVoterLeavesOnlyIfEnoughRemain tests which membership follows a request to leave.
func TestVoterLeavesOnlyIfEnoughRemain(t *testing.T) {
	voter := func(id uint64) *wire.Replica { return &wire.Replica{Id: id, Address: fmt.Sprint("a", id)} }
	learner := func(id uint64) *wire.Replica {
		return &wire.Replica{Id: id, Address: fmt.Sprint("a", id), Learner: true}
	}
	for _, c := range []struct {
		name     string
		replicas []*wire.Replica
		reached  []uint64
		want     string
		// err tells whether a later request may succeed.
		err error
	}{
		{"three voters", []*wire.Replica{voter(1), voter(2), voter(3)}, []uint64{1, 2, 3}, "none", errTooFewVoters},
		{"four voters", []*wire.Replica{voter(1), voter(2), voter(3), voter(4)}, []uint64{1, 2, 3, 4}, "-1", nil},
		{"four voters, two of which respond", []*wire.Replica{voter(1), voter(2), voter(3), voter(4)}, []uint64{1, 2}, "none", errTooFewReachable},
		{"a leader that has just been elected", []*wire.Replica{voter(1), voter(2), voter(3), voter(4), voter(5), voter(6)}, []uint64{2}, "none", errTooFewReachable},
		{"three voters and a learner", []*wire.Replica{voter(1), voter(2), voter(3), learner(4)}, []uint64{1, 2, 3, 4}, "+4 -1", nil},
		{"four voters and a learner", []*wire.Replica{voter(1), voter(2), voter(3), voter(4), learner(5)}, []uint64{1, 2, 3, 4, 5}, "-1", nil},
		{"a learner", []*wire.Replica{learner(1), voter(2), voter(3), voter(4)}, []uint64{1, 2, 3, 4}, "none", errTooFewVoters},
		{"three voters and a lost learner", []*wire.Replica{voter(1), voter(2), voter(3), learner(4)}, []uint64{1, 2, 3}, "none", errTooFewReachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := replica.Status{Membership: &wire.Membership{Replicas: c.replicas}, Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}}
			for _, id := range c.reached {
				s.Reachable[id], s.CaughtUp[id] = true, true
			}
			next, err := membershipWithoutLeaving(s, 1, smallestGroup)
			if got := describe(s.Membership, next); got != c.want || !errors.Is(err, c.err) {
				t.Errorf("membership change %q and %v, want %q and %v", got, err, c.want, c.err)
			}
		})
	}
}
