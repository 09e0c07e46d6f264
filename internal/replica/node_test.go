package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

type stateMachine = state.Machine

func TestGroup(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, g *group)
	}{
		{"restart after hundreds of changes", restartAfterHundredsOfChanges},
		{"second loss right after a repair", secondLossAfterRepair},
		{"replaced replica restarts", replacedReplicaRestarts},
		{"partial bootstrap", partialBootstrap},
		{"full disk", fullDisk},
		{"lost leadership", lostLeadership},
		{"paused leader", pausedLeader},
		{"group commit", groupCommit},
		{"slow disk", slowDisk},
		{"failover", failover},
		{"planned stop", plannedStop},
		{"every replica names the leader", everyReplicaNamesTheLeader},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t)
				defer g.stop()
				tt.run(t, g)
			})
		})
	}
}

// everyReplicaNamesTheLeader checks that callers are sent to the leader by each replica,
// the leader itself included, so that they do not leave it before it is ready.
func everyReplicaNamesTheLeader(t *testing.T, g *group) {
	m := membershipOf(1, 2, 3)
	for _, r := range m.Replicas {
		r.Address = fmt.Sprint("address of ", r.Id)
	}
	var nodes []*Node
	for _, r := range m.Replicas {
		n := g.add(r.Id).node
		if err := n.Bootstrap(t.Context(), m); err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, n)
	}
	want := fmt.Sprint("address of ", g.leader().Identity().ID)
	for i, n := range nodes {
		if _, got := rpcerror.FromConnect(n.RPCError(t.Context(), fail.New(fail.NotLeader, "not ready"))); got != want {
			t.Errorf("replica %d names %q as the leader, want %q", i+1, got, want)
		}
	}
}

func mustHaveEntries(t *testing.T, g *group, n int) {
	t.Helper()
	got := g.entries()
	if len(got) != n {
		t.Fatalf("leader has %d applied changes, want %d", len(got), n)
	}
}

func restartAfterHundredsOfChanges(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	for i := range 400 {
		g.commit(fmt.Sprintf("e%03d", i))
	}
	var old []*member
	for id := range uint64(3) {
		old = append(old, g.kill(id+1))
	}
	for i, m := range old {
		d := m.storage.(*memoryStorage)
		if d.snap.Index < 300 || len(d.entries) > 128 {
			t.Fatalf("snapshot at index %d with %d entries after it, want index 300 or above and at most 128 entries", d.snap.Index, len(d.entries))
		}
		g.restart(uint64(i+1), m)
	}
	mustHaveEntries(t, g, 400)
}

// repair replaces a lost replica in the way an operator does: it adds a learner,
// removes the lost replica once the learner has caught up, and promotes the learner.
func repair(t *testing.T, g *group, lost, added uint64, left ...uint64) {
	t.Helper()
	g.add(added)
	replace(t, g, lost, added, left...)
}

// replace is repair with a replica that was added already.
func replace(t *testing.T, g *group, lost, added uint64, left ...uint64) {
	t.Helper()
	all := append(slices.Clone(left), lost)
	learner := membershipOf(all...)
	learner.Replicas = append(learner.Replicas, &wire.Replica{Id: added, Learner: true})
	g.change(learner)
	for {
		s, err := g.leader().Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if s.CaughtUp[added] {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	removed := membershipOf(left...)
	removed.Replicas = append(removed.Replicas, &wire.Replica{Id: added, Learner: true})
	g.change(removed)
	g.change(membershipOf(append(slices.Clone(left), added)...))
}

func secondLossAfterRepair(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	for i := range 200 {
		g.commit(fmt.Sprintf("e%03d", i))
	}
	g.kill(3)
	repair(t, g, 3, 4, 1, 2)
	g.kill(1)
	g.commit("last")
	mustHaveEntries(t, g, 201)
	repair(t, g, 1, 5, 2, 4)
	g.kill(2)
	mustHaveEntries(t, g, 201)
}

func replacedReplicaRestarts(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	g.commit("a")
	old := g.kill(3)
	repair(t, g, 3, 4, 1, 2)
	g.commit("b")
	before, err := g.leader().Status(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	restarted := g.restart(3, old)
	time.Sleep(10 * time.Second)
	after, err := g.leader().Status(context.Background())
	if err != nil || after.Term != before.Term || after.Leader != before.Leader {
		t.Fatalf("leadership changed from %+v to %+v after the replaced replica restarted", before, after)
	}
	g.kill(1)
	g.kill(2)
	time.Sleep(10 * time.Second)
	for _, n := range []*Node{restarted.node, g.nodes[4].node} {
		if s, _ := n.Status(context.Background()); s.Leading {
			t.Fatalf("replica %d is leader without a quorum", s.ID)
		}
	}
}

func partialBootstrap(t *testing.T, g *group) {
	ctx, m := context.Background(), membershipOf(1, 2, 3)
	first := g.add(1)
	if err := first.node.Bootstrap(ctx, m); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	if s, _ := first.node.Status(ctx); s.Leading {
		t.Fatal("a single replica of three became leader")
	}
	first = g.restart(1, g.kill(1))
	second := g.add(2)
	for range 2 {
		for _, x := range []*member{first, second} {
			if err := x.node.Bootstrap(ctx, m); err != nil {
				t.Fatal(err)
			}
		}
	}
	g.commit("a")
	// The third replica receives the log from the leader, or a late Bootstrap.
	third := g.add(3)
	time.Sleep(3 * time.Second)
	if err := third.node.Bootstrap(ctx, m); err != nil {
		t.Fatal(err)
	}
	g.kill(1)
	g.commit("b")
	mustHaveEntries(t, g, 2)
}

func fullDisk(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	g.commit("a")
	n := g.leader()
	id := n.Identity().ID
	m := g.nodes[id]
	d := m.storage.(*memoryStorage)
	d.mu.Lock()
	d.failing = true
	d.mu.Unlock()
	_, err := n.Propose(context.Background(), entryCommand("b"))
	if f := fail.From(err); f.Ran != fail.RanUnknown {
		t.Fatalf("proposal on a full disk returned %v, ran %s, want an unknown outcome", err, f.Ran)
	}
	if err := <-m.done; !fail.Is(err, fail.StorageFailed) {
		t.Fatalf("node stopped with error %v, want StorageFailed", err)
	}
	m.done <- nil
	g.kill(id)
	g.commit("c")
	d.failing = false
	g.restart(id, m)
	g.commit("d")
	if got := g.entries(); !slices.Contains(got, "a") || !slices.Contains(got, "c") || !slices.Contains(got, "d") {
		t.Fatalf("entries after the failover = %v, want a, c and d among them", got)
	}
}

// A leader that is partitioned from the others returns an unknown outcome for its
// proposals and rejects reads once its lease has expired. Its uncommitted change is
// dropped.
func lostLeadership(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	g.commit("a")
	old := g.leader()
	id := old.Identity().ID
	g.isolate(id, true)
	_, err := old.Propose(context.Background(), entryCommand("b"))
	if f := fail.From(err); f.Ran != fail.RanUnknown {
		t.Fatalf("proposal on an isolated leader returned %v, ran %s, want an unknown outcome", err, f.Ran)
	}
	if err := old.Read(context.Background(), func(Leadership, *stateMachine) {}); !fail.Is(err, fail.NotLeader) {
		t.Fatalf("read on an isolated leader returned %v, want NotLeader", err)
	}
	g.commit("c")
	g.isolate(id, false)
	g.commit("d")
	if got := g.entries(); !slices.Equal(got, []string{"a", "c", "d"}) {
		t.Fatalf("entries after the failover = %v, want a, c and d", got)
	}
}

// A leader whose process was paused beyond its lease rejects reads, although it does
// not know the next leader yet.
func pausedLeader(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	g.commit("a")
	old := g.leader()
	g.isolate(old.Identity().ID, true)
	resume := make(chan struct{})
	old.inbox <- func() { <-resume }
	read := make(chan error, 1)
	go func() { read <- old.Read(context.Background(), func(Leadership, *stateMachine) {}) }()
	g.commit("b")
	close(resume)
	if err := <-read; !fail.Is(err, fail.NotLeader) {
		t.Fatalf("read on a resumed leader returned %v, want NotLeader", err)
	}
}

// Proposals that arrive during a sync share the next one.
func groupCommit(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	g.commit("a")
	leader := g.leader()
	d := g.nodes[leader.Identity().ID].storage.(*memoryStorage)
	synctest.Wait()
	const n, maxSyncs = 200, 10
	d.mu.Lock()
	d.delay = 5 * time.Millisecond
	before := d.syncs
	d.mu.Unlock()
	results := make(chan error, n)
	for i := range n {
		go func() {
			_, err := leader.Propose(context.Background(), entryCommand(fmt.Sprintf("e%03d", i)))
			results <- err
		}()
	}
	for range n {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	d.mu.Lock()
	syncs := d.syncs - before
	d.mu.Unlock()
	if syncs > maxSyncs {
		t.Fatalf("%d syncs for %d proposals, want at most maxSyncs", syncs, n)
	}
}

// A change is committed within 3 s after the leader is killed or partitioned, each
// ten times.
func failover(t *testing.T, g *group) {
	const maxFailover = 3 * time.Second
	g.bootstrap(1, 2, 3)
	g.commit("a")
	var longest time.Duration
	for i := range 20 {
		id := g.leader().Identity().ID
		start := time.Now()
		var old *member
		if i%2 == 0 {
			old = g.kill(id)
		} else {
			g.isolate(id, true)
		}
		g.commit(fmt.Sprintf("b%d", i))
		longest = max(longest, time.Since(start))
		if old != nil {
			g.restart(id, old)
		}
		g.isolate(id, false)
		time.Sleep(5 * time.Second)
	}
	if longest > maxFailover {
		t.Fatalf("longest failover took %v, longer than maxFailover", longest)
	}
	t.Logf("longest failover %v", longest)
}

// A planned stop of the leader aborts no proposal in flight, and another replica
// becomes leader at once, not after an election timeout.
func plannedStop(t *testing.T, g *group) {
	const maxGap = 200 * time.Millisecond
	g.bootstrap(1, 2, 3, 4, 5) // With three, the vote of the old leader would be enough.
	for i := range 10 {
		g.commit(fmt.Sprintf("a%d", i))
		old := g.leader()
		inFlight := make(chan error, 1)
		go func() {
			_, err := old.Propose(context.Background(), entryCommand("in flight"))
			inFlight <- err
		}()
		synctest.Wait()
		start := time.Now()
		old.TransferLeadership(context.Background())
		if err := <-inFlight; err != nil {
			t.Fatal(err)
		}
		if _, err := old.Propose(context.Background(), entryCommand("late")); !fail.Is(err, fail.NotLeader) {
			t.Fatalf("proposal after the leadership transfer returned %v, want NotLeader", err)
		}
		g.commit(fmt.Sprintf("b%d", i))
		if gap := time.Since(start); gap > maxGap {
			t.Fatalf("the leadership transfer took %v, longer than maxGap", gap)
		}
		id := old.Identity().ID
		g.restart(id, g.kill(id))
		time.Sleep(3 * time.Second)
	}
}

// A proposal returns at its deadline, with an unknown outcome, while the Run
// goroutine is blocked.
func slowDisk(t *testing.T, g *group) {
	g.bootstrap(1, 2, 3)
	leader := g.leader()
	g.isolate(leader.Identity().ID, true)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	release := make(chan struct{})
	leader.inbox <- func() { <-release }
	start := time.Now()
	_, err := leader.Propose(ctx, entryCommand("a"))
	if f := fail.From(err); f.Ran != fail.RanUnknown || time.Since(start) > time.Second {
		t.Fatalf("after %v the proposal returned %v, want an unknown outcome within 1 s", time.Since(start), err)
	}
	close(release)
}
