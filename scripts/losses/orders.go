package main

import (
	"fmt"
	"slices"
	"time"
)

// removalOrder is an order of events in which replicas whose successors run are removed without
// SIGTERM, and as many others are lost as the group tolerates.
type removalOrder struct {
	replicas, domains, removed int
	// pause is the time between two events.
	pause time.Duration
	// second is the first replica that is lost: the leader or a successor.
	second string
	// emptied is true if the lost replicas come back with empty disks, and false if they are lost
	// for good and their successors come later.
	emptied bool
}

func (o removalOrder) name() string {
	loss := "gone"
	if o.emptied {
		loss = "emptied"
	}
	return fmt.Sprintf("%d-in-%d-domains-%d-removed-%v-%s-%s", o.replicas, o.domains, o.removed, o.pause, o.second, loss)
}

// borne reports whether the group bears the order. In a shared domain nobody knows which replica a
// successor replaces before one is silent.
func (o removalOrder) borne() bool { return o.domains == o.replicas || o.emptied && o.removed == 1 }

// removalOrders returns all orders.
func removalOrders() []removalOrder {
	var out []removalOrder
	for _, size := range [][2]int{{3, 3}, {5, 5}, {5, 3}} {
		for removed := 1; removed <= 2; removed++ {
			for _, pause := range []time.Duration{0, time.Second} {
				for _, second := range []string{"leader", "successor"} {
					for _, emptied := range []bool{false, true} {
						out = append(out, removalOrder{replicas: size[0], domains: size[1], removed: removed, pause: pause, second: second, emptied: emptied})
					}
				}
			}
		}
	}
	return out
}

// play plays the order. The replica that leads when the successors are started is removed first.
func (o removalOrder) play(b *bed) error {
	leader, err := b.put()
	if err != nil {
		return err
	}
	old := []int{leader}
	if o.removed > 1 {
		old = append(old, b.others(o.removed-1, leader)...)
	}
	successors, err := b.addSuccessors(b.some(old)...)
	if err != nil {
		return err
	}
	b.wait(replacementTime, replacementTime+time.Second)
	leader, err = b.put()
	if err != nil {
		return err
	}
	for _, id := range old {
		b.remove(true, id)
		b.wait(o.pause, o.pause)
	}
	lost := []int{successors[0]}
	if o.second == "leader" && !slices.Contains(old, leader) {
		lost = []int{leader}
	}
	lost = append(lost, b.others(0, lost...)[:b.tolerated-1]...)
	return b.loseAfterRemovals(lost, o.emptied)
}

// loseAfterRemovals empties the disks of replicas, or loses them for good and starts their successors later.
func (b *bed) loseAfterRemovals(lost []int, emptied bool) error {
	if emptied {
		return b.wipe(lost...)
	}
	replaced := b.some(lost)
	b.remove(true, lost...)
	b.wait(time.Second, time.Second)
	_, err := b.addSuccessors(replaced...)
	return err
}
