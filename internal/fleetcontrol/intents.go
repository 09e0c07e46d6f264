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
	intentValidity = 500 * time.Millisecond
	// watchInterval is the time between two looks at the notes.
	intentPollInterval = 100 * time.Millisecond
	// turnMargin is added to the lease of orders, for one that is on its way.
	orderLeaseMargin = 500 * time.Millisecond
)

// turns knows which engines another replica may have ordered lately. Every
// order is preceded by a committed note, and every replica remembers by its own
// clock when it first saw a note, which is after the note was made. It is safe
// for concurrent use.
type orderIntents struct {
	mu       sync.Mutex
	observed map[string]observedIntent
	// own is when this replica last began to commit a note for the engine.
	own map[string]time.Duration
}

type observedIntent struct {
	holder    string
	index     uint64
	firstSeen time.Duration
}

func newOrderIntents() *orderIntents {
	return &orderIntents{observed: map[string]observedIntent{}, own: map[string]time.Duration{}}
}

// observe takes the notes over, and forgets those that were taken back.
func (t *orderIntents) observe(intents []*wire.OrderNote, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := map[string]bool{}
	for _, n := range intents {
		current[n.Endpoint] = true
	}
	maps.DeleteFunc(t.observed, func(id string, _ observedIntent) bool { return !current[id] })
	for _, n := range intents {
		if t.observed[n.Endpoint].index != n.Index {
			t.observed[n.Endpoint] = observedIntent{holder: n.Holder, index: n.Index, firstSeen: now}
		}
	}
}

// freeAt returns from when on the replica may order the engine: at once where
// it gave the last order itself.
func (t *orderIntents) availableAt(endpoint, self string, lease time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, ok := t.observed[endpoint]
	if !ok || n.holder == self {
		return 0
	}
	return n.firstSeen + intentValidity + lease + orderLeaseMargin
}

// covered reports whether a note of this replica covers an order now.
func (t *orderIntents) covered(endpoint string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.own[endpoint]
	return ok && now-at < intentValidity
}

// settled returns the engines whose last note of this replica is so old that
// its orders no longer hold.
func (t *orderIntents) expired(lease, now time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, at := range t.own {
		if now-at > intentValidity+lease+orderLeaseMargin {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// forget drops what settled returned.
func (t *orderIntents) drop(endpoints []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range endpoints {
		delete(t.own, id)
	}
}

func (t *orderIntents) recordOwn(endpoint string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own[endpoint] = at
}

// watchNotes observes the notes until ctx ends, whether this replica leads or not.
func (s *Server) pollIntents(ctx context.Context) {
	for wait.For(ctx, intentPollInterval) {
		s.refreshIntents(ctx)
	}
}

func (s *Server) refreshIntents(ctx context.Context) {
	var intents []*wire.OrderNote
	if err := s.node.Peek(ctx, func(m *state.Machine) { intents = m.OrderNotes() }); err != nil {
		return
	}
	s.intents.observe(intents, s.clock())
}

// mayOrder reports whether this replica may give the engine an order now. It
// holds the leader lease in its term, no other replica's orders may still hold,
// and a note of its own is committed.
func (l *leaderState) mayOrder(ctx context.Context, endpoint string) bool {
	if l.blocked(endpoint, l.s.clock()) {
		return false
	}
	if !l.s.intents.covered(endpoint, l.s.clock()) && !l.commitIntent(ctx, endpoint) {
		return false
	}
	term, ok := l.s.leadingTerm(ctx)
	return ok && term == l.term && l.s.intents.covered(endpoint, l.s.clock())
}

// blocked reports whether another replica's orders to the engine may still hold.
func (l *leaderState) blocked(endpoint string, now time.Duration) bool {
	return now < l.s.intents.availableAt(endpoint, l.s.cfg.ID, l.s.cfg.OrderLease.D())
}

// note commits a note for the engine, and takes back those that are settled.
// One note is committed at a time, so that none of them takes back a newer one.
func (l *leaderState) commitIntent(ctx context.Context, endpoint string) bool {
	l.intentMu.Lock()
	defer l.intentMu.Unlock()
	at := l.s.clock()
	if l.s.intents.covered(endpoint, at) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, intentValidity)
	defer cancel()
	expired := l.s.intents.expired(l.s.cfg.OrderLease.D(), at)
	expired = slices.DeleteFunc(expired, func(id string) bool { return id == endpoint })
	c := &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: &wire.NoteOrders{Holder: l.s.cfg.ID, Endpoints: []string{endpoint}, Settled: expired}}}
	if _, err := l.s.node.ProposeInTerm(ctx, l.term, c); err != nil {
		l.s.log.WithError(err).WithField("endpoint", endpoint).Warn("order not noted, so not given")
		return false
	}
	l.s.intents.drop(expired)
	l.s.intents.recordOwn(endpoint, at)
	return true
}
