package fleetcontrol

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// limitFiles lets no file of this process grow beyond the size in bytes, as on a full disk, until
// restore is called.
func limitFiles(t *testing.T, size uint64) (restore func()) {
	t.Helper()
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
			t.Fatal(err)
		}
	}
}

// TestServerStaysUpWhileItsDiskIsFull guards against a replica that ends, that leaves callers
// without an answer, or that stores nothing once there is room.
func TestServerStaysUpWhileItsDiskIsFull(t *testing.T) {
	if !runAlone(t) {
		return
	}
	const answerWithin = time.Second
	cfg := singleSettings(t)
	s, stop := startSingle(t, cfg)
	defer stop()
	eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte("1")) })
	for version := '2'; version <= '4'; version++ {
		restore := limitFiles(t, 16)
		start := time.Now()
		err := s.Put(t.Context(), []byte(string(version)))
		again := s.Put(t.Context(), []byte(string(version)))
		took := time.Since(start)
		restore()
		if fail.From(err).Ran != fail.RanUnknown || !fail.Is(again, fail.NotLeader) || took > answerWithin {
			t.Errorf("changes on a full disk returned %v and %v within %v, want one with an unknown outcome and one that was not made", err, again, took)
		}
		eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte(string(version))) })
		select {
		case <-s.Stopped():
			t.Fatal("the replica has ended")
		default:
		}
	}
}

// TestServerStartsOnceItsDiskHasRoom also guards against a first start whose membership is not
// installed because the disk refused it once.
func TestServerStartsOnceItsDiskHasRoom(t *testing.T) {
	if !runAlone(t) {
		return
	}
	cfg := singleSettings(t)
	deps := Dependencies{Platform: &fakeEngine{}, Decode: decodeVersion, OperatorHandler: func(DocumentStore) http.Handler { return http.NewServeMux() }}
	// The limits refuse the identity, the log and the membership of the first start.
	for _, size := range []uint64{0, 50, 80} {
		restore := limitFiles(t, size)
		cfg.DataFolder = t.TempDir()
		ctx, cancel := context.WithCancel(t.Context())
		started := make(chan *Server, 1)
		go func() {
			s, err := Start(ctx, cfg, deps, testLog())
			if err != nil {
				t.Error(err)
			}
			started <- s
		}()
		time.Sleep(600 * time.Millisecond)
		restore()
		s := <-started
		if s == nil {
			t.FailNow()
		}
		eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte("1")) })
		if err := s.Shutdown(context.Background(), cancel); err != nil {
			t.Error(err)
		}
	}
}

// suspend does what a replica does whose disk refuses a write: it hands its leadership over and
// takes no part in the group for d. Half of the refused writes are found on the disk later.
func (g *simGroup) suspend(i int, d time.Duration) {
	n := g.nodes[i]
	if n.syncing != nil && g.random.IntN(2) == 0 {
		n.save(*n.syncing)
	}
	if request := n.core.StepDown(); request != nil {
		g.queue = append(g.queue, request)
	}
	n.up = false
	g.run(d, 0)
	n.initial.Committed = n.core.Applied()
	g.nodes[i] = g.restart(n)
}

// TestMembershipIsWholeAfterFullDisksInTurn guards against voters that are removed while their
// disks are full and don't vote again.
func TestMembershipIsWholeAfterFullDisksInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newSimGroup(t)
		g.slowSyncs = true
		if rapid.Bool().Draw(t, "four") {
			g.nodes = append(g.nodes, g.blank("d3"))
		}
		g.run(catchUp, 0)
		for range 2 {
			for i := range g.nodes {
				g.propose()
				g.suspend(i, time.Duration(g.random.Int64N(int64(6*time.Second))))
				g.run(time.Second, rapid.IntRange(0, 2).Draw(t, "loss percent"))
				g.check()
			}
		}
		g.run(catchUp, 0)
		before := len(g.acknowledged)
		for end := g.now + catchUp; g.now < end && len(g.acknowledged) == before; g.run(100*time.Millisecond, 0) {
			g.propose()
		}
		g.check()
		leaders := g.leaders()
		if len(g.acknowledged) == before || len(leaders) != 1 {
			t.Fatalf("%d leaders, and no change was acknowledged: %v", len(leaders), g.nodes[0].core.Membership())
		}
		for _, n := range g.nodes {
			isVoter := func(r *wire.Replica) bool { return r.Id == n.core.ID() && !r.Learner }
			if m := leaders[0].core.Membership(); !slices.ContainsFunc(m.Replicas, isVoter) {
				t.Errorf("replica %d at %s does not vote: %v", n.core.ID(), n.address, m)
			}
		}
	})
}
