package fleetcontrol

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"parsleyramp/internal/state"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// intentValidity is how long an order intent covers further orders of the same
	// replica. It counts from before the commit of the intent.
	intentValidity = 500 * time.Millisecond
	// minIntentLeft is how long an intent must remain valid for an order to be sent
	// without a new intent.
	minIntentLeft = 50 * time.Millisecond
	// intentPollInterval is the time between two reads of the committed intents.
	intentPollInterval = 100 * time.Millisecond
	// orderLeaseMargin is added to the order lease, for an order in flight.
	orderLeaseMargin = 500 * time.Millisecond
)

// orderIntents tracks the engines to which another replica may have sent orders
// that are still valid. A replica commits an order intent under each of the
// engine's intentKeys before it sends an order. Every replica records, by its own
// clock, when it first observed an intent, which is later than the time at which
// the intent was created. It is safe for concurrent use.
type orderIntents struct {
	mu sync.Mutex
	// observed holds the committed intents by key, as of the log index
	// observedIndex.
	observed      map[string]observedIntent
	observedIndex uint64
	// own holds, by key, when this replica last started to commit an intent.
	own map[string]time.Duration
	// loads holds the committed orders to load by engine, as of the log index loadsIndex.
	loads      map[string][]observedLoad
	loadsIndex uint64
}

type observedIntent struct {
	holder    string
	index     uint64
	firstSeen time.Duration
}

// intentKeys returns the keys of the intents for an engine: its ID and its address.
// A restarted engine has another ID, but orders that are addressed to its former
// incarnation arrive at the same address.
func intentKeys(x ListedEndpoint) []string { return []string{x.ID, x.Address} }

func newOrderIntents() *orderIntents {
	return &orderIntents{observed: map[string]observedIntent{}, own: map[string]time.Duration{}}
}

// observe applies the intents that are committed up to the log index, and drops
// those that were withdrawn. It ignores intents that are older than the observed
// ones, because the reads of several goroutines may arrive in another order.
func (o *orderIntents) observe(index uint64, intents []*wire.OrderNote, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if index < o.observedIndex {
		return
	}
	o.observedIndex = index
	current := map[string]bool{}
	for _, intent := range intents {
		current[intent.Endpoint] = true
	}
	maps.DeleteFunc(o.observed, func(id string, _ observedIntent) bool { return !current[id] })
	for _, intent := range intents {
		if o.observed[intent.Endpoint].index != intent.Index {
			o.observed[intent.Endpoint] = observedIntent{holder: intent.Holder, index: intent.Index, firstSeen: now}
		}
	}
}

// availableAt returns the time from which no intent under the key prevents orders
// of the replica. It is 0 if there is no intent, or if the last one is the
// replica's own.
func (o *orderIntents) availableAt(key, self string, lease time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	intent, ok := o.observed[key]
	if !ok || intent.holder == self {
		return 0
	}
	return intent.firstSeen + intentValidity + lease + orderLeaseMargin
}

// currentFrom returns the time from which a report of the engine shows every order under
// the key that was covered by an intent seen before the time since, which is that of an
// earlier leader or of an earlier lead of this replica. It is 0 if there is no such
// intent.
func (o *orderIntents) currentFrom(key string, since time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	intent, ok := o.observed[key]
	if !ok || intent.firstSeen > since {
		return 0
	}
	return intent.firstSeen + intentValidity + orderResponseTimeout + reportLag
}

// coveredUntil returns the time until which an intent of this replica under the key
// covers orders. It is 0 if there is no intent.
func (o *orderIntents) coveredUntil(key string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.own[key]
	if !ok {
		return 0
	}
	return at + intentValidity
}

// expired returns the keys of which the last intent of this replica is so old that
// its orders are no longer valid.
func (o *orderIntents) expired(lease, now time.Duration) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for key, at := range o.own {
		if now-at > intentValidity+lease+orderLeaseMargin {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// drop removes the keys that expired returned.
func (o *orderIntents) drop(keys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range keys {
		delete(o.own, key)
	}
}

func (o *orderIntents) recordOwn(key string, at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own[key] = at
}

// pollIntents observes the committed intents until ctx ends, whether this replica
// leads or not.
func (s *Server) pollIntents(ctx context.Context) {
	for wait.For(ctx, intentPollInterval) {
		s.refreshIntents(ctx)
	}
}

func (s *Server) refreshIntents(ctx context.Context) {
	var index uint64
	var intents []*wire.OrderNote
	var loads []*wire.LoadOrder
	err := s.node.ReadStale(ctx, func(m *state.Machine) { index, intents, loads = m.AppliedIndex(), m.OrderIntents(), m.LoadOrders() })
	if err != nil {
		return
	}
	s.intents.observe(index, intents, s.clock())
	s.intents.observeLoads(index, loads, s.clock())
}

// mayOrder reports whether this replica may send the engine an order now: it
// holds the leader lease in its term, no order of another replica may still be
// valid, and an intent of its own is committed. The order must be written before
// the returned time, because the next leader expects no order after the intent.
func (l *leaderState) mayOrder(ctx context.Context, x ListedEndpoint) (until time.Duration, ok bool) {
	if l.blocked(x, l.s.clock()) || !l.commitIntent(ctx, x) {
		return 0, false
	}
	term, leads := l.s.leadingTerm(ctx)
	until = l.coveredUntil(x)
	return until, leads && term == l.term && l.s.clock() < until
}

// blocked reports whether orders of another replica to the engine may still be
// valid.
func (l *leaderState) blocked(x ListedEndpoint, now time.Duration) bool {
	return slices.ContainsFunc(intentKeys(x), func(key string) bool {
		return now < l.s.intents.availableAt(key, l.s.cfg.ID, l.s.cfg.OrderLease.D())
	})
}

// reportsCurrentFrom returns the time from which a report of the engine shows every
// order that was sent before this leaderState.
func (l *leaderState) reportsCurrentFrom(x ListedEndpoint) time.Duration {
	from := time.Duration(0)
	for _, key := range intentKeys(x) {
		from = max(from, l.s.intents.currentFrom(key, l.startedAt))
	}
	return from
}

// coveredUntil returns the time until which intents of this replica cover orders to
// the engine.
func (l *leaderState) coveredUntil(x ListedEndpoint) time.Duration {
	until := time.Duration(math.MaxInt64)
	for _, key := range intentKeys(x) {
		until = min(until, l.s.intents.coveredUntil(key))
	}
	return until
}

// covered reports whether intents are committed that are valid for minIntentLeft, and all
// orders to load that are about to be sent to the engine.
func (l *leaderState) covered(x ListedEndpoint) bool {
	return l.coveredUntil(x)-l.s.clock() >= minIntentLeft && l.announced.committed(x.ID)
}

// commitIntent commits an order intent for the engine unless it is covered, and withdraws
// expired ones. Commits are serialized, so that none of them withdraws a newer intent; the
// engines that wait for one share the next.
func (l *leaderState) commitIntent(ctx context.Context, x ListedEndpoint) bool {
	if l.covered(x) {
		return true
	}
	l.announced.request(x)
	l.intentMu.Lock()
	defer l.intentMu.Unlock()
	if l.covered(x) {
		return true
	}
	// The commit of another engine, which failed, may have taken the request.
	l.announced.request(x)
	ctx, cancel := context.WithTimeout(ctx, intentValidity)
	defer cancel()
	if err := l.commitRequested(ctx); err != nil {
		l.s.log.WithError(err).WithField("endpoint", x.ID).Warn("failed to commit order intent; order not sent")
		return false
	}
	return true
}

// commitRequested commits the intents and the orders to load of all engines that wait for
// that. l.intentMu must be held.
func (l *leaderState) commitRequested(ctx context.Context) error {
	at := l.s.clock()
	engines, loads := l.announced.take()
	n := &wire.NoteOrders{Holder: l.s.cfg.ID, SettledLoads: l.settledLoads(at)}
	for _, x := range engines {
		n.Endpoints = append(n.Endpoints, intentKeys(x)...)
	}
	for _, o := range loads {
		n.Loads = append(n.Loads, o.order)
	}
	n.Settled = slices.DeleteFunc(l.s.intents.expired(l.s.cfg.OrderLease.D(), at), func(key string) bool { return slices.Contains(n.Endpoints, key) })
	if _, err := l.s.node.ProposeInTerm(ctx, l.term, &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: n}}); err != nil {
		return err
	}
	l.s.intents.drop(n.Settled)
	for _, key := range n.Endpoints {
		l.s.intents.recordOwn(key, at)
	}
	l.announced.recordCommitted(loads)
	l.announced.drop(n.SettledLoads)
	return nil
}
