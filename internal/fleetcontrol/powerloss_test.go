package fleetcontrol

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

// save puts a synced write on the replica's disk.
func (n *simReplica) save(e consensus.Effects) {
	if e.HardState != nil {
		n.hard = e.HardState
	}
	if e.Snapshot != nil {
		n.initial.Snapshot, n.entries = e.Snapshot, nil
	}
	for _, entry := range e.Entries {
		first := n.initial.Snapshot.GetIndex() + 1
		n.entries = append(n.entries[:entry.Index-first:entry.Index-first], entry)
	}
}

// complete syncs the write of the replica and does the rest of its work.
func (g *simGroup) complete(n *simReplica) {
	e := *n.syncing
	n.syncing = nil
	n.save(e)
	n.core.Persisted(e)
	g.queue = append(g.queue, e.Messages...)
	for _, entry := range e.Committed {
		if entry.Kind == wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
			n.applied = append(n.applied, string(entry.Data))
		}
	}
}

// finishSync completes the write of the replica, if there is one, in half of the steps.
// It reports whether the replica may go on.
func (g *simGroup) finishSync(n *simReplica) bool {
	if n.syncing != nil && g.random.IntN(2) == 0 {
		g.complete(n)
	}
	return n.syncing == nil
}

func (n *simReplica) status() replica.Status {
	s := replica.Status{
		ID: n.core.ID(), Leading: true, Membership: n.core.Membership(),
		Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}, Stopping: map[uint64]bool{},
	}
	for _, r := range s.Membership.Replicas {
		s.Reachable[r.Id], s.CaughtUp[r.Id], s.Stopping[r.Id] = n.core.Reachable(r.Id), n.core.CaughtUp(r.Id), n.core.Stopping(r.Id)
	}
	return s
}

// readyLeaders returns the leaders that do not wait for their disk.
func (g *simGroup) readyLeaders() []*simReplica {
	return slices.DeleteFunc(g.leaders(), func(n *simReplica) bool { return n.syncing != nil })
}

// reportLost tells the sender of a message that another replica answers at the address.
func (g *simGroup) reportLost(m *wire.RaftMessage) {
	from := slices.IndexFunc(g.nodes, func(n *simReplica) bool { return n.up && n.syncing == nil && n.core.ID() == m.From })
	if from < 0 {
		return
	}
	for _, r := range g.nodes[from].core.Members().Replicas {
		other := slices.ContainsFunc(g.nodes, func(n *simReplica) bool { return n.up && n.address == r.Address })
		if r.Id == m.To && other {
			g.nodes[from].core.MarkLost(m.To)
		}
	}
}

// losePower ends all replicas at once, and starts those again whose disk is not lost. A
// write that was not yet synced is on the disk or not; half of the messages in flight arrive.
func (g *simGroup) losePower(lost []*simReplica) {
	for i, n := range g.nodes {
		if slices.Contains(lost, n) {
			g.nodes[i] = g.emptied(n)
			g.nodes[i].up = false
			continue
		}
		if n.syncing != nil && g.random.IntN(2) == 0 {
			n.save(*n.syncing)
		}
		g.nodes[i] = g.restart(n)
	}
	g.queue = slices.DeleteFunc(g.queue, func(*wire.RaftMessage) bool { return g.random.IntN(2) == 0 })
}

// leave does for d what a replica does that stops as planned.
func (g *simGroup) leave(n *simReplica, d time.Duration, lossPercent int) {
	n.core.SetStopping()
	for end := g.now + d; g.now < end; g.step(lossPercent) {
		for _, l := range g.readyLeaders() {
			if l == n {
				l.core.TransferLeadership()
				g.applyEffects(l)
				continue
			}
			s := l.status()
			if next, _ := membershipWithoutLeaving(s, n.core.ID(), g.minVoters); next != nil {
				// The proposal fails while an earlier change is not committed.
				_, _ = l.core.ProposeMembership(next)
			}
		}
	}
}

// catchUp is the time after which a machine that is back, or the successor of one that
// is gone, no longer counts as lost.
const catchUp = 4 * time.Second

// recovery is the time within which the group commits again after that.
const recovery = 8 * time.Second

// replaceMachine starts a successor and, in some ways, ends a machine that it replaces.
// It returns the machines of which one may lose its disk now.
func (g *simGroup) replaceMachine(t *rapid.T, lossPercent int) []*simReplica {
	before := slices.Clone(g.nodes)
	how := rapid.SampledFrom([]string{"none", "joining", "stopped", "killed"}).Draw(t, "replacement")
	if how == "none" {
		return before
	}
	i := g.random.IntN(len(before))
	old := before[i]
	successor := g.blank(old.domain)
	g.nodes = append(g.nodes, successor)
	if how == "joining" {
		g.run(time.Duration(g.random.Int64N(int64(catchUp))), lossPercent)
		return before
	}
	g.run(catchUp+time.Duration(g.random.Int64N(int64(catchUp))), lossPercent)
	if how == "stopped" {
		g.leave(old, time.Duration(g.random.Int64N(int64(200*time.Millisecond))), lossPercent)
	}
	if g.random.IntN(2) == 0 {
		g.propose()
	}
	g.nodes = slices.DeleteFunc(g.nodes, func(n *simReplica) bool { return n == old })
	return append(slices.Delete(before, i, i+1), successor)
}

// TestAcknowledgedCommandsSurviveLostDisksWhileAllOthersLosePower guards against an acknowledgement
// that relies on a write that is not synced, on memory or on as many disks as may be lost.
func TestAcknowledgedCommandsSurviveLostDisksWhileAllOthersLosePower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newSimGroup(t)
		g.slowSyncs = true
		tolerated := rapid.IntRange(1, 2).Draw(t, "tolerated")
		g.minVoters = (&Settings{ToleratedLosses: tolerated}).minVoters()
		for len(g.nodes) < g.minVoters {
			g.nodes = append(g.nodes, g.blank(fmt.Sprint("d", len(g.nodes))))
		}
		g.run(catchUp, 0)
		for left := rapid.IntRange(0, 3).Draw(t, "losses"); left >= 0; left-- {
			lossPercent := rapid.IntRange(0, 3).Draw(t, "loss percent")
			mayBeLost := g.replaceMachine(t, lossPercent)
			g.propose()
			g.random.Shuffle(len(mayBeLost), func(i, j int) { mayBeLost[i], mayBeLost[j] = mayBeLost[j], mayBeLost[i] })
			g.losePower(mayBeLost[:1+g.random.IntN(tolerated)])
			g.run(time.Duration(g.random.Int64N(int64(time.Second))), lossPercent)
			for _, n := range g.nodes {
				n.up = true
			}
			if left > 0 {
				g.run(catchUp, lossPercent)
				g.check()
			}
		}
		// The repair after the last loss is interrupted anywhere.
		g.run(time.Duration(g.random.Int64N(int64(2*catchUp))), rapid.IntRange(0, 60).Draw(t, "last loss percent"))
		if rapid.Bool().Draw(t, "interrupted") {
			g.losePower(nil)
		}
		g.checkCommits()
	})
}
