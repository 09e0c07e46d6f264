package fleetcontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// removeWithSuccessor removes one of the minVoters oldest replicas; a successor has caught up.
func (o *lossOrder) removeWithSuccessor(stopped bool) {
	old := o.nodes[o.random.IntN(o.minVoters)]
	if stopped {
		o.leave(old, o.upTo(200*time.Millisecond), o.random.IntN(4))
	}
	o.remove(old)
}

// TestGroupBearsLostDisksAfterRemovalsWhoseSuccessorsVote guards against a group that never
// commits again: successors vote beside the replicas that they replace, these are removed one
// after the other, and then as many disks are lost as the group tolerates.
func TestGroupBearsLostDisksAfterRemovalsWhoseSuccessorsVote(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newLossOrder(t)
		successors := rapid.IntRange(2, 3).Draw(t, "successors")
		for range successors {
			o.nodes = append(o.nodes, o.blank(fmt.Sprint("b", o.nextID)))
		}
		o.pass(2 * catchUp)
		for range rapid.IntRange(1, successors).Draw(t, "removals") {
			o.pass(2*goneTimeout + o.upTo(2*time.Second))
			o.removeWithSuccessor(rapid.Bool().Draw(t, "stopped"))
			if rapid.Bool().Draw(t, "commit") {
				o.propose()
			}
			switch rapid.SampledFrom([]string{"none", "disks", "power"}).Draw(t, "loss") {
			case "disks":
				o.emptyDisks()
			case "power":
				o.losePower(o.loseDisks())
				o.allBack()
			}
		}
		o.checkCommits()
	})
}

// TestGroupBearsTheLossOfADiskAfterTwoRemovals guards against a group of real servers that never
// has a leader again: two machines, whose successors vote, are killed for good one after the
// other, and then one disk is lost.
func TestGroupBearsTheLossOfADiskAfterTwoRemovals(t *testing.T) {
	for _, leaderFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader first %t", leaderFirst), func(t *testing.T) {
			t.Parallel()
			b := newBed(t)
			b.formGroup()
			b.add(4, false)
			b.add(5, false)
			b.awaitVoters(5)
			leader, _ := b.leader(t.Context())
			old := []*machine{b.machines[1], b.machines[2], b.machines[3]}
			old = slices.DeleteFunc(old, func(m *machine) bool { return m == leader })
			if leaderFirst {
				old = slices.Insert(old, 0, leader)
			} else {
				old = append(old, leader)
			}
			old[0].kill()
			time.Sleep(2 * goneTimeout)
			old[1].kill()
			b.put(7)
			b.wipe(old[2], 300*time.Millisecond)
			b.want(7)
			b.put(9)
			b.awaitVoters(3)
		})
	}
}
