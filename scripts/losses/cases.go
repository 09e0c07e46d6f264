package main

import (
	"syscall"
	"time"
)

// lossCase is an order of events after which the newest acknowledged document must be served.
type lossCase struct {
	name string
	// replicas is the number of replicas at the start: three bear the loss of one disk
	// at a time and five that of two.
	replicas int
	play     func(*bed) error
	// domains is the number of failure domains, zero if each replica has its own.
	domains int
	// notBorne is true for an order that may end the group; it is played only by name.
	notBorne bool
}

func init() {
	for _, o := range removalOrders() {
		cases = append(cases, lossCase{name: o.name(), replicas: o.replicas, play: o.play, domains: o.domains, notBorne: !o.borne()})
	}
}

const (
	// replacementTime is how long a successor has run when the machine that it replaces is removed.
	replacementTime = 2 * catchUp
	// removalGap is the time between the removals of two machines whose successors run.
	removalGap = 10 * time.Second
	// shortGap bounds the time between two losses that follow each other at once.
	shortGap = 1900 * time.Millisecond
)

var cases = []lossCase{
	{name: "all-killed", replicas: 3, play: func(b *bed) error { return b.lose(false, 0) }},
	{name: "all-killed-acker-emptied", replicas: 3, play: func(b *bed) error { return b.lose(true, 1) }},
	{name: "acker-emptied", replicas: 3, play: func(b *bed) error { return b.lose(false, 1) }},
	{name: "unacknowledged-all-killed", replicas: 3, play: unacknowledged},
	{name: "replaced-acker-emptied", replicas: 3, play: func(b *bed) error { return replaced(b, 1, false, false) }},
	{name: "replaced-killed-acker-emptied", replicas: 3, play: func(b *bed) error { return replaced(b, 1, true, false) }},
	{name: "replaced-all-killed", replicas: 3, play: func(b *bed) error { return replaced(b, 1, false, true) }},
	{name: "replaced-killed-all-killed", replicas: 3, play: func(b *bed) error { return replaced(b, 1, true, true) }},
	{name: "all-replaced-acker-emptied", replicas: 3, play: func(b *bed) error { return replaced(b, 3, false, false) }},
	{name: "all-replaced-all-killed", replicas: 3, play: func(b *bed) error { return replaced(b, 3, false, true) }},
	{name: "removed-in-turn-acker-emptied", replicas: 3, play: func(b *bed) error { return removedInTurn(b, 2, true, false) }},
	{name: "removed-in-turn-all-killed", replicas: 3, play: func(b *bed) error { return removedInTurn(b, 2, true, true) }},
	{name: "stopped-in-turn-acker-emptied", replicas: 3, play: func(b *bed) error { return removedInTurn(b, 2, false, false) }},
	{name: "removed-then-one-gone", replicas: 3, play: func(b *bed) error { return removedThenGone(b, 1) }},
	{name: "removed-together-acker-emptied", replicas: 3, play: func(b *bed) error { return removedTogether(b, 2, false) }},
	{name: "removed-together-all-killed", replicas: 3, play: func(b *bed) error { return removedTogether(b, 2, true) }},
	{name: "all-removed-together-acker-emptied", replicas: 3, play: func(b *bed) error { return removedTogether(b, 3, false) }},
	{name: "successor-joins", replicas: 3, play: func(b *bed) error { return joining(b, 1) }},
	{name: "two-join", replicas: 3, play: func(b *bed) error { return joining(b, 2) }},
	{name: "gone-then-successor", replicas: 3, play: func(b *bed) error { return goneFirst(b, 1) }},
	{name: "two-added", replicas: 3, play: func(b *bed) error { return added(b, 2) }},
	{name: "emptied-in-turn", replicas: 3, play: emptiedInTurn},
	{name: "repair-interrupted", replicas: 3, play: func(b *bed) error { return repairInterrupted(b, 1) }},
	{name: "paused-half", replicas: 3, play: pausedHalf},
	{name: "paused-leader", replicas: 3, play: pausedLeader},
	{name: "paused-then-all-killed", replicas: 3, play: pausedThenKilled},
	{name: "seeds-exchanged", replicas: 3, play: seedsExchanged},
	{name: "rolling-restart", replicas: 3, play: rollingRestart},
	{name: "five-acker-and-one-emptied", replicas: 5, play: func(b *bed) error { return b.lose(false, 2) }},
	{name: "five-all-killed-two-emptied", replicas: 5, play: func(b *bed) error { return b.lose(true, 2) }},
	{name: "five-two-emptied-in-turn", replicas: 5, play: emptiedWithin},
	{name: "five-replaced-two-emptied", replicas: 5, play: func(b *bed) error { return replaced(b, 2, false, false) }},
	{name: "five-replaced-all-killed", replicas: 5, play: func(b *bed) error { return replaced(b, 2, false, true) }},
	{name: "five-one-killed-two-emptied", replicas: 5, play: func(b *bed) error { return replaced(b, 1, true, false) }},
	{name: "five-removed-in-turn-two-emptied", replicas: 5, play: func(b *bed) error { return removedInTurn(b, 2, true, false) }},
	{name: "five-removed-then-two-gone", replicas: 5, play: func(b *bed) error { return removedThenGone(b, 2) }},
	{name: "five-removed-together-two-emptied", replicas: 5, play: func(b *bed) error { return removedTogether(b, 2, false) }},
	{name: "five-removed-together-all-killed", replicas: 5, play: func(b *bed) error { return removedTogether(b, 3, true) }},
	{name: "five-two-gone-then-successors", replicas: 5, play: func(b *bed) error { return goneFirst(b, 2) }},
	{name: "five-two-join", replicas: 5, play: func(b *bed) error { return joining(b, 2) }},
	{name: "five-repair-interrupted", replicas: 5, play: func(b *bed) error { return repairInterrupted(b, 2) }},
}

// lose has a document acknowledged and then empties disks at once, the one of the replica that
// acknowledged it first. All processes are killed, or only those of the lost disks.
func (b *bed) lose(killAll bool, disks int) error {
	acker, err := b.put()
	if err != nil {
		return err
	}
	emptied := append(b.present(acker), b.others(0, acker)...)[:disks]
	if killAll || disks == 0 {
		return b.crash(b.all(), emptied)
	}
	return b.wipe(emptied...)
}

// present returns the replica, or nothing if it has been removed: a replica that stops as planned
// still acknowledges what it has accepted.
func (b *bed) present(id int) []int {
	if b.cores[id] == nil {
		return nil
	}
	return []int{id}
}

// loseAny is lose with random disks.
func (b *bed) loseAny(killAll bool, disks int) error {
	if _, err := b.put(); err != nil {
		return err
	}
	emptied := b.others(disks)
	if killAll {
		return b.crash(b.all(), emptied)
	}
	return b.wipe(emptied...)
}

// nextID returns an id that no replica has had.
func (b *bed) nextID() int {
	b.added++
	return 10 + b.added
}

// addSuccessors starts replicas with empty disks at new addresses, each in the failure domain of
// one of the old ones.
func (b *bed) addSuccessors(old ...*core) ([]int, error) {
	var ids []int
	for _, c := range old {
		id := b.nextID()
		ids = append(ids, id)
		if err := b.add(id, false, c.domain); err != nil {
			return nil, err
		}
	}
	return ids, nil
}

// some returns the replicas with the ids.
func (b *bed) some(ids []int) []*core {
	var out []*core
	for _, id := range ids {
		out = append(out, b.cores[id])
	}
	return out
}

func unacknowledged(b *bed) error {
	if _, err := b.put(); err != nil {
		return err
	}
	b.sendOnly()
	b.wait(0, 10*time.Millisecond)
	return b.crash(b.all(), b.others(1))
}

// replaced removes n replicas whose successors have caught up, the leader among them, and
// then empties as many disks as may be lost.
func replaced(b *bed, n int, killed, killAll bool) error {
	leader, err := b.put()
	if err != nil {
		return err
	}
	old := []int{leader}
	if n > 1 {
		old = append(old, b.others(n-1, leader)...)
	}
	if _, err := b.addSuccessors(b.some(old)...); err != nil {
		return err
	}
	b.wait(replacementTime, replacementTime+time.Second)
	if _, err := b.put(); err != nil {
		return err
	}
	b.remove(killed, old...)
	return b.lose(killAll, b.tolerated)
}

// removedInTurn removes n replicas one after the other, whose successors have caught up before the
// first of them goes, and empties as many disks as may be lost right after the last removal.
func removedInTurn(b *bed, n int, killed, killAll bool) error {
	old := b.others(n)
	if _, err := b.addSuccessors(b.some(old)...); err != nil {
		return err
	}
	b.wait(replacementTime, replacementTime+time.Second)
	for i, id := range old {
		if i > 0 {
			b.wait(removalGap, removalGap)
		}
		b.remove(killed, id)
	}
	return b.lose(killAll, b.tolerated)
}

// removedTogether removes n replicas whose successors have caught up, all within shortGap or so, and
// empties as many disks as may be lost at once.
func removedTogether(b *bed, n int, killAll bool) error {
	old := b.others(n)
	if _, err := b.addSuccessors(b.some(old)...); err != nil {
		return err
	}
	b.wait(replacementTime, replacementTime+time.Second)
	for _, id := range old {
		b.remove(b.random.IntN(3) > 0, id)
		b.wait(0, shortGap/time.Duration(n))
	}
	return b.lose(killAll, b.tolerated)
}

// removedThenGone removes a replica whose successor has caught up, and within shortGap loses n others for
// good, the successor or not. Their own successors come a second later.
func removedThenGone(b *bed, n int) error {
	old := b.others(1)
	if _, err := b.addSuccessors(b.some(old)...); err != nil {
		return err
	}
	b.wait(replacementTime, replacementTime+time.Second)
	if _, err := b.put(); err != nil {
		return err
	}
	b.remove(true, old...)
	b.wait(0, shortGap)
	lost := b.others(n)
	return b.loseAfterRemovals(lost, false)
}

// joining loses a disk at any step of the joining of n replicas.
func joining(b *bed, n int) error {
	original := b.all()
	if _, err := b.addSuccessors(b.some(b.others(n))...); err != nil {
		return err
	}
	b.wait(0, 2*time.Second)
	if _, err := b.put(); err != nil {
		return err
	}
	b.random.Shuffle(len(original), func(i, j int) { original[i], original[j] = original[j], original[i] })
	return b.crash(b.all(), original[:b.tolerated])
}

// goneFirst kills n replicas for good and adds their successors later; disks are lost as soon as
// the successors count.
func goneFirst(b *bed, n int) error {
	gone := b.others(n)
	replaced := b.some(gone)
	b.remove(true, gone...)
	b.wait(300*time.Millisecond, time.Second)
	if _, err := b.addSuccessors(replaced...); err != nil {
		return err
	}
	b.wait(catchUp+200*time.Millisecond, catchUp+time.Second)
	return b.loseAny(true, b.tolerated)
}

func added(b *bed, n int) error {
	if _, err := b.addSuccessors(b.some(b.others(n))...); err != nil {
		return err
	}
	b.wait(catchUp+200*time.Millisecond, catchUp+time.Second)
	return b.lose(true, b.tolerated)
}

// emptiedInTurn empties one disk after the other, each as soon as the one before no longer counts
// as lost, and at last one while all others are killed.
func emptiedInTurn(b *bed) error {
	for range 2 {
		if err := b.lose(false, 1); err != nil {
			return err
		}
		b.wait(catchUp+100*time.Millisecond, catchUp+500*time.Millisecond)
	}
	return b.lose(true, 1)
}

// emptiedWithin empties a second disk during the repair after the first.
func emptiedWithin(b *bed) error {
	first, err := b.put()
	if err != nil {
		return err
	}
	if err := b.wipe(first); err != nil {
		return err
	}
	b.wait(0, 2*time.Second)
	acker, err := b.put()
	if err != nil {
		return err
	}
	if acker == first {
		acker = b.others(1, first)[0]
	}
	return b.wipe(acker)
}

// repairInterrupted kills all processes, or pauses some, in the middle of the repair.
func repairInterrupted(b *bed, disks int) error {
	if err := b.loseAny(false, disks); err != nil {
		return err
	}
	for range 3 {
		b.wait(0, 1500*time.Millisecond)
		if b.random.IntN(2) == 0 {
			if err := b.crash(b.all(), nil); err != nil {
				return err
			}
			continue
		}
		paused := b.others(1)
		b.signal(syscall.SIGSTOP, paused...)
		b.wait(450*time.Millisecond, 450*time.Millisecond)
		b.signal(syscall.SIGCONT, paused...)
	}
	return nil
}

// pausedHalf empties the disk of the replica that acknowledged a document without the paused one.
func pausedHalf(b *bed) error {
	paused := b.others(1)
	b.signal(syscall.SIGSTOP, paused...)
	acker, err := b.put()
	if err == nil && acker != paused[0] {
		err = b.wipe(acker)
	}
	b.wait(0, 3*time.Second)
	b.signal(syscall.SIGCONT, paused...)
	return err
}

// pausedLeader pauses the leader until another one has acknowledged a document, and empties a disk
// of the other half.
func pausedLeader(b *bed) error {
	leader, err := b.put()
	if err != nil {
		return err
	}
	b.signal(syscall.SIGSTOP, leader)
	b.sendOnly()
	acker, err := b.put()
	if err != nil {
		return err
	}
	b.kill(acker)
	if err := b.empty(acker); err != nil {
		return err
	}
	b.signal(syscall.SIGCONT, leader)
	b.wait(0, time.Second)
	return b.start(acker)
}

// pausedThenKilled kills all at the moment at which a paused replica goes on, and empties the disk
// of another one.
func pausedThenKilled(b *bed) error {
	paused := b.others(1)[0]
	b.signal(syscall.SIGSTOP, paused)
	if _, err := b.put(); err != nil {
		return err
	}
	b.signal(syscall.SIGCONT, paused)
	b.wait(0, 50*time.Millisecond)
	return b.crash(b.all(), b.others(1, paused))
}

// seedsExchanged replaces two seeds, whose successors are the seeds from then on, and empties the
// disk of the third.
func seedsExchanged(b *bed) error {
	old := b.others(2)
	successors, err := b.addSuccessors(b.some(old)...)
	if err != nil {
		return err
	}
	b.wait(replacementTime, replacementTime)
	b.remove(false, old...)
	b.wait(catchUp, catchUp)
	remaining := b.others(1, successors...)[0]
	for _, id := range b.all() {
		b.cores[id].seeds = append(successors, remaining)
	}
	if _, err := b.put(); err != nil {
		return err
	}
	return b.crash(b.all(), []int{remaining})
}

// rollingRestart stops and starts each replica as planned, and then loses a disk.
func rollingRestart(b *bed) error {
	for _, id := range b.all() {
		b.event("SIGTERM to core-%d", id)
		if err := b.cores[id].process.Stop(); err != nil {
			return err
		}
		if err := b.start(id); err != nil {
			return err
		}
		b.wait(catchUp, catchUp+time.Second)
	}
	return b.lose(true, 1)
}
