package fleetcontrol

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"parsleyramp/internal/state"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// noteValid is how long after its commit a note covers further orders of the
	// same giver.
	noteValid = 500 * time.Millisecond
	// watchInterval is the time between two looks at the notes.
	watchInterval = 100 * time.Millisecond
	// turnMargin is added to the lease of orders, for one that is on its way.
	turnMargin = 500 * time.Millisecond
)

// turns knows which engines another replica may have ordered lately. Every
// order is preceded by a committed note, and every replica remembers by its own
// clock when it first saw a note, which is after the note was made. It is safe
// for concurrent use.
type turns struct {
	mu   sync.Mutex
	seen map[string]seenNote
	// own is when this replica last began to commit a note for the engine.
	own map[string]time.Duration
}

type seenNote struct {
	holder string
	index  uint64
	at     time.Duration
}

func newTurns() *turns {
	return &turns{seen: map[string]seenNote{}, own: map[string]time.Duration{}}
}

// observe takes the notes over, and forgets those that were taken back.
func (t *turns) observe(notes []*wire.OrderNote, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := map[string]bool{}
	for _, n := range notes {
		kept[n.Endpoint] = true
	}
	maps.DeleteFunc(t.seen, func(id string, _ seenNote) bool { return !kept[id] })
	for _, n := range notes {
		if t.seen[n.Endpoint].index != n.Index {
			t.seen[n.Endpoint] = seenNote{holder: n.Holder, index: n.Index, at: now}
		}
	}
}

// freeAt returns from when on the replica may order the engine: at once where
// it gave the last order itself.
func (t *turns) freeAt(endpoint, self string, lease time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.seen[endpoint]
	if !ok || n.holder == self {
		return 0
	}
	return n.at + noteValid + lease + turnMargin
}

// covered reports whether a note of this replica covers an order now.
func (t *turns) covered(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.own[endpoint]
	return ok && now-at < noteValid
}

// settled returns the engines whose last note of this replica is so old that
// its orders no longer hold.
func (t *turns) settled(lease, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, at := range t.own {
		if now-at > noteValid+lease+turnMargin {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// forget drops what settled returned.
func (t *turns) forget(endpoints []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range endpoints {
		delete(t.own, id)
	}
}

func (t *turns) noted(endpoint string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[endpoint] = at
}

// watchNotes observes the notes until ctx ends, whether this replica leads or not.
func (s *Server) watchNotes(ctx context.Context) {
	for wait.For(ctx, watchInterval) {
		s.lookAtNotes(ctx)
	}
}

func (s *Server) lookAtNotes(ctx context.Context) {
	var notes []*wire.OrderNote
	if err := s.node.Peek(ctx, func(m *state.Machine) { notes = m.OrderNotes() }); err != nil {
		return
	}
	s.turns.observe(notes, s.clock())
}

// mayOrder reports whether this replica may give the engine an order now. It
// holds the leader lease in its term, no other replica's orders may still hold,
// and a note of its own is committed.
func (l *leadState) mayOrder(ctx context.Context, endpoint string) bool {
	if l.blocked(endpoint, l.s.clock()) {
		return false
	}
	if !l.s.turns.covered(endpoint, l.s.clock()) && !l.note(ctx, endpoint) {
		return false
	}
	term, ok := l.s.leadingTerm(ctx)
	return ok && term == l.term && l.s.turns.covered(endpoint, l.s.clock())
}

// blocked reports whether another replica's orders to the engine may still hold.
func (l *leadState) blocked(endpoint string, now time.Duration) bool {
	return now < l.s.turns.freeAt(endpoint, l.s.cfg.ID, l.s.cfg.OrderLease.D())
}

// note commits a note for the engine, and takes back those that are settled.
// One note is committed at a time, so that none of them takes back a newer one.
func (l *leadState) note(ctx context.Context, endpoint string) bool {
	l.noting.Lock()
	defer l.noting.Unlock()
	at := l.s.clock()
	if l.s.turns.covered(endpoint, at) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, noteValid)
	defer cancel()
	settled := l.s.turns.settled(l.s.cfg.OrderLease.D(), at)
	settled = slices.DeleteFunc(settled, func(id string) bool { return id == endpoint })
	c := &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: &wire.NoteOrders{Holder: l.s.cfg.ID, Endpoints: []string{endpoint}, Settled: settled}}}
	if _, err := l.s.node.ProposeInTerm(ctx, l.term, c); err != nil {
		l.s.log.WithError(err).WithField("endpoint", endpoint).Warn("order not noted, so not given")
		return false
	}
	l.s.turns.forget(settled)
	l.s.turns.noted(endpoint, at)
	return true
}
