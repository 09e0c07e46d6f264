package fleetcontrol

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/wire"
)

// simGroup simulates a group of consensus cores with losses of messages and disks.
// A disk loses either all data or none.
type simGroup struct {
	t   *rapid.T
	now time.Duration
	// random draws message losses from a uniform distribution. The draws of rapid
	// favour small values and would lose nearly every message.
	random   *rand.Rand
	nodes    []*simReplica
	queue    []*wire.RaftMessage
	nextID   uint64
	proposed int
	// slowSyncs makes some writes take several steps, and a loss of power leaves them out or not.
	slowSyncs bool
	minVoters int
	// halves holds the half of each address while the group is split.
	halves map[string]int
	// acknowledged are the commands that a leader has applied.
	acknowledged []string
}

type simReplica struct {
	core    *consensus.Core
	address string
	domain  string
	// up is false while the machine is down.
	up      bool
	group   string
	applied []string
	initial consensus.InitialState
	entries []*wire.LogEntry
	hard    *wire.HardState
	reach   reachability
	// syncing is the work whose write is not yet synced, or nil.
	syncing *consensus.Effects
}

func newSimGroup(t *rapid.T) *simGroup {
	g := &simGroup{t: t, nextID: 1000, minVoters: smallestGroup, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "losses from"), 0))}
	peers := []string{"a0", "a1", "a2"}
	m := firstMembership(peers)
	for i, a := range peers {
		g.nodes = append(g.nodes, g.start(a, fmt.Sprint("d", i), consensus.InitialState{
			ID: seedID(a), HardState: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: m},
		}, replica.GroupName(m)))
	}
	return g
}

func (g *simGroup) start(address, domain string, initial consensus.InitialState, group string) *simReplica {
	cfg := DefaultSettings()
	return &simReplica{
		core: consensus.New(cfg.consensusConfig(), initial, g.now, 1), address: address, domain: domain, up: true, group: group,
		initial: initial, entries: initial.Entries, hard: initial.HardState,
	}
}

// restart starts a replica again with what its disk holds.
func (g *simGroup) restart(n *simReplica) *simReplica {
	n.initial.HardState, n.initial.Entries = n.hard, slices.Clone(n.entries)
	return g.start(n.address, n.domain, n.initial, n.group)
}

// emptied starts a replica with an empty disk and a new id in place of another one.
func (g *simGroup) emptied(n *simReplica) *simReplica {
	g.nextID++
	return g.start(n.address, n.domain, consensus.InitialState{ID: g.nextID, HardState: &wire.HardState{}}, "")
}

// blank starts a replica with an empty disk at a new address in the domain.
func (g *simGroup) blank(domain string) *simReplica {
	return g.emptied(&simReplica{address: fmt.Sprint("b", g.nextID), domain: domain})
}

// step advances the time by 10 ms, and delivers the queued messages except for a
// share that is lost.
func (g *simGroup) step(lossPercent int) {
	g.now += 10 * time.Millisecond
	for _, n := range g.nodes {
		if !n.up || !g.finishSync(n) {
			continue
		}
		n.core.Tick(g.now)
		n.core.Flush()
		g.applyEffects(n)
	}
	queue := g.queue
	g.queue = nil
	for _, m := range queue {
		if g.random.IntN(100) < lossPercent {
			continue
		}
		g.deliver(m)
	}
}

func (g *simGroup) applyEffects(n *simReplica) {
	for n.syncing == nil {
		e := n.core.Effects()
		if e.Empty() {
			return
		}
		g.queue = append(g.queue, e.EarlyMessages...)
		n.syncing = &e
		if g.slowSyncs && g.random.IntN(2) == 0 {
			return
		}
		g.complete(n)
	}
}

// deliver passes a message to the replica with the id of its recipient. A replica
// without a group joins it with the first message of a leader.
func (g *simGroup) deliver(m *wire.RaftMessage) {
	if g.isCut(m) {
		return
	}
	for _, n := range g.nodes {
		if !n.up || n.core.ID() != m.To {
			continue
		}
		fromLeader := m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND || m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT
		if n.group == "" && fromLeader {
			n.group = "joined"
		}
		if n.syncing != nil {
			g.queue = append(g.queue, m)
		} else if n.group != "" {
			n.core.Step(g.now, m)
			g.applyEffects(n)
		}
		return
	}
	g.reportLost(m)
}

// isCut reports whether the message would leave its half of a split group.
func (g *simGroup) isCut(m *wire.RaftMessage) bool {
	half := map[uint64]int{}
	for _, n := range g.nodes {
		half[n.core.ID()] = g.halves[n.address]
	}
	return half[m.From] != half[m.To]
}

func (g *simGroup) leaders() []*simReplica {
	var out []*simReplica
	for _, n := range g.nodes {
		if n.up && n.core.Role() == consensus.Leader && n.core.LeaseUntil() > g.now {
			out = append(out, n)
		}
	}
	return out
}

// repairMembership does the work of the leader's loops: it admits replicas and
// changes the membership step by step.
func (g *simGroup) repairMembership() {
	leaders := g.readyLeaders()
	for _, n := range g.nodes {
		if !slices.Contains(leaders, n) {
			n.reach = reachability{}
		}
	}
	for _, l := range leaders {
		s := l.status()
		l.reach.record(s, g.now)
		next, _ := nextMembership(s, l.reach.contacts(s, g.now), g.minVoters)
		for _, n := range g.nodes {
			if n.up && next == nil && g.halves[n.address] == g.halves[l.address] {
				next = withMember(s.Membership, &wire.JoinRequest{Id: n.core.ID(), Address: n.address, Group: n.group, Domain: n.domain})
			}
		}
		if next != nil {
			// The proposal fails while an earlier change is not committed; the next
			// call proposes it again.
			_, _ = l.core.ProposeMembership(next)
		}
	}
}

// propose commits a command through the leader, if there is one, and records it as
// acknowledged once the leader has applied it.
func (g *simGroup) propose() {
	for _, l := range g.readyLeaders() {
		g.proposed++
		text := fmt.Sprint("c", g.proposed)
		if _, err := l.core.Propose([]byte(text)); err != nil {
			return
		}
		for range 10 {
			g.step(0)
			if slices.Contains(l.applied, text) {
				g.acknowledged = append(g.acknowledged, text)
				return
			}
		}
	}
}

func (g *simGroup) run(d time.Duration, lossPercent int) {
	for end := g.now + d; g.now < end; {
		g.step(lossPercent)
		if g.now%(250*time.Millisecond) == 0 {
			g.repairMembership()
		}
	}
}

// check fails unless the commands that the replicas have applied are prefixes of
// one sequence, which contains every acknowledged command, and at most one leader
// holds a lease.
func (g *simGroup) check() {
	var longest []string
	for _, n := range g.nodes {
		if len(n.applied) > len(longest) {
			longest = n.applied
		}
	}
	for _, n := range g.nodes {
		if !slices.Equal(n.applied, longest[:len(n.applied)]) {
			g.t.Fatalf("applied commands differ: %v and %v", n.applied, longest)
		}
	}
	for _, text := range g.acknowledged {
		if !slices.Contains(longest, text) {
			g.t.Fatalf("acknowledged command %s is missing from %v", text, longest)
		}
	}
	if len(g.leaders()) > 1 {
		g.t.Fatal("two leaders hold a lease")
	}
}

// checkCommits fails unless the group commits within the time of recovery, and check holds.
func (g *simGroup) checkCommits() {
	before := len(g.acknowledged)
	for end := g.now + recovery; g.now < end && len(g.acknowledged) == before; g.run(100*time.Millisecond, 0) {
		g.propose()
	}
	g.run(time.Second, 0)
	g.check()
	if len(g.acknowledged) == before {
		g.t.Fatalf("the group no longer commits: %v", g.nodes[0].core.Membership())
	}
}
