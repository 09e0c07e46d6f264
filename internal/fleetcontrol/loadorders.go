package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"parsleyramp/internal/wire"
)

// settleDelay is how long a settled order to load stays announced if no other order is
// announced meanwhile.
const settleDelay = time.Second

// announcedLoads are the orders to load that a leaderState announces: each is committed
// before it is sent, so that the next leader knows which may arrive later. Several are
// committed at once. It is safe for concurrent use.
type announcedLoads struct {
	leadership uint64
	mu         sync.Mutex
	// last is the number of the last order.
	last uint64
	// open are the orders that are being sent, and settling those that need no
	// announcement any more, with the time from which.
	open     map[uint64]*announcedLoad
	settling map[uint64]time.Duration
	// requested are the engines that wait for a commit, by ID.
	requested map[string]ListedEndpoint
}

type announcedLoad struct {
	order *wire.LoadOrder
	// proposed and committed are set once a command with the order was proposed, and is
	// committed.
	proposed, committed bool
}

func newAnnouncedLoads(leadership uint64) *announcedLoads {
	return &announcedLoads{
		leadership: leadership, open: map[uint64]*announcedLoad{}, settling: map[uint64]time.Duration{}, requested: map[string]ListedEndpoint{},
	}
}

// add adds an order that is about to be sent.
func (a *announcedLoads) add(o *wire.LoadOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	o.Leadership, o.Number = a.leadership, a.last
	a.open[a.last] = &announcedLoad{order: o}
}

// end ends the sending of an order, which may be carried out until the given time.
func (a *announcedLoads) end(number uint64, until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o := a.open[number]; o != nil && o.proposed {
		a.settling[number] = until
	}
	delete(a.open, number)
}

// committed reports whether all open orders to the engine are committed.
func (a *announcedLoads) committed(endpoint string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range a.open {
		if o.order.Endpoint == endpoint && !o.committed {
			return false
		}
	}
	return true
}

// request adds an engine to the next commit.
func (a *announcedLoads) request(x ListedEndpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requested[x.ID] = x
}

// take returns the engines that wait for a commit, and the open orders to them.
func (a *announcedLoads) take() (engines []ListedEndpoint, loads []*announcedLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.requested {
		engines = append(engines, x)
	}
	for _, o := range a.open {
		if _, ok := a.requested[o.order.Endpoint]; ok {
			o.proposed = true
			loads = append(loads, o)
		}
	}
	clear(a.requested)
	return engines, loads
}

// recordCommitted records that the orders are committed.
func (a *announcedLoads) recordCommitted(loads []*announcedLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range loads {
		o.committed = true
	}
}

// settled returns the orders that may not be carried out any more at the time.
func (a *announcedLoads) settled(now time.Duration) []*wire.LoadOrder {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*wire.LoadOrder
	for number, until := range a.settling {
		if until <= now {
			out = append(out, &wire.LoadOrder{Leadership: a.leadership, Number: number})
		}
	}
	return out
}

// drop removes orders that settled returned, once their withdrawal is committed.
func (a *announcedLoads) drop(settled []*wire.LoadOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range settled {
		if o.Leadership == a.leadership {
			delete(a.settling, o.Number)
		}
	}
}

// observedLoad is a committed order to load, and when this replica first observed it.
type observedLoad struct {
	*wire.LoadOrder
	firstSeen time.Duration
}

// until returns the time until which the order may be carried out.
func (o observedLoad) until() time.Duration { return o.firstSeen + intentValidity + lateOrderTTL }

// observeLoads applies the orders to load that are committed up to the log index, like
// observe.
func (o *orderIntents) observeLoads(index uint64, loads []*wire.LoadOrder, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if index < o.loadsIndex {
		return
	}
	firstSeen := map[uint64]time.Duration{}
	for _, former := range o.loads {
		for _, x := range former {
			firstSeen[x.Index] = x.firstSeen
		}
	}
	o.loadsIndex, o.loads = index, map[string][]observedLoad{}
	for _, x := range loads {
		at, known := firstSeen[x.Index]
		if !known {
			at = now
		}
		o.loads[x.Endpoint] = append(o.loads[x.Endpoint], observedLoad{x, at})
	}
}

// lateLoads returns the orders to load of other leaderStates that the engine may still carry
// out.
func (o *orderIntents) lateLoads(endpoint string, leadership uint64, now time.Duration) []observedLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []observedLoad
	for _, x := range o.loads[endpoint] {
		if x.Leadership != leadership && now < x.until() {
			out = append(out, x)
		}
	}
	return out
}

// expiredLoads returns the orders to load of other leaderStates that no engine carries out
// any more.
func (o *orderIntents) expiredLoads(leadership uint64, now time.Duration) []*wire.LoadOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []*wire.LoadOrder
	for _, loads := range o.loads {
		for _, x := range loads {
			if x.Leadership != leadership && now >= x.until() {
				out = append(out, &wire.LoadOrder{Leadership: x.Leadership, Number: x.Number})
			}
		}
	}
	return out
}

// announceLoad announces an order to load that names the engine's sequence. The commit is
// that of the intent. It returns nil for an unload, and if the sequence is not known.
func (e *engineState) announceLoad(o Order) *wire.LoadOrder {
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	if !o.Load || !e.sequenceKnown {
		return nil
	}
	announced := &wire.LoadOrder{
		Endpoint: e.listed.ID, StartedUnixMs: e.startedUnixMs, Model: o.Model, Adapter: o.Adapter, ExpectedSequence: e.sequence,
	}
	e.leader.announced.add(announced)
	return announced
}

// isAnnounced reports whether the order was announced with the engine's sequence and process.
// e.leader.mu must be held.
func (e *engineState) isAnnounced(o *wire.LoadOrder) bool {
	return o != nil && o.ExpectedSequence == e.sequence && o.StartedUnixMs == e.startedUnixMs
}

// endLoad ends the sending of an announced order. A copy may be on its way if one of them got
// no response.
func (l *leaderState) endLoad(announced *wire.LoadOrder, unanswered bool) {
	if announced == nil {
		return
	}
	until := l.s.clock()
	if unanswered {
		until += lateOrderTTL
	}
	l.announced.end(announced.Number, until)
}

// settledLoads returns the announced orders that no engine carries out any more, as of the
// time.
func (l *leaderState) settledLoads(now time.Duration) []*wire.LoadOrder {
	return append(l.announced.settled(now), l.s.intents.expiredLoads(l.leadership, now)...)
}

// withdrawLoads withdraws settled orders unless a commit is in progress, which does so too.
func (l *leaderState) withdrawLoads(ctx context.Context) {
	if !l.intentMu.TryLock() {
		return
	}
	defer l.intentMu.Unlock()
	settled := l.settledLoads(l.s.clock())
	if len(settled) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, intentValidity)
	defer cancel()
	c := &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: &wire.NoteOrders{Holder: l.s.cfg.ID, SettledLoads: settled}}}
	if _, err := l.s.node.ProposeInTerm(ctx, l.term, c); err != nil {
		l.s.log.WithError(err).Debug("failed to withdraw settled orders to load")
		return
	}
	l.announced.drop(settled)
}
