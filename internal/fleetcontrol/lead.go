package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/residency"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

const (
	// settleTime is how long a new leader lets gateways report before it
	// publishes a view that names them.
	settleTime = 60 * time.Millisecond
	// lapseLimit is how long the leader lease may lapse before what this replica
	// knows as a leader is dropped. Meanwhile it answers no gateway and gives no
	// order, for both check the lease.
	lapseLimit = time.Second
	// leadCheck is the time between two looks at whether this replica leads now.
	leadCheck = 25 * time.Millisecond
	// gatewayLost is how long a gateway must be silent before it is left out.
	gatewayLost = 2500 * time.Millisecond
	// callTimeout bounds one call to the platform or an engine.
	callTimeout = time.Second
)

// leadState is what a replica knows while it leads in one term. Everything in
// it is learned again by the next leader.
type leadState struct {
	s     *Server
	term  uint64
	since time.Duration
	ctx   context.Context
	hurry chan struct{}
	// allowed reports whether an engine may be given an order now; mayOrder
	// outside of tests.
	allowed func(ctx context.Context, endpoint string) bool

	// noting lets one note be committed at a time.
	noting sync.Mutex

	mu       sync.Mutex
	doc      *document.Document
	gateways map[string]*gatewayState
	engines  map[string]*engineState
	loads    map[string]*wire.InProgress
	listed   bool
	demand   *residency.Demand
	budgets  map[string]*residency.StoreBudget
	wanted   map[string]time.Duration
	notedAt  map[string]time.Duration
	jobs     map[wantedAdapter]*adapterJob
	detector *detector
	// published is what gateways are told.
	published *publication
	// control are the addresses of the replicas.
	control []string
}

type gatewayState struct {
	gateway *wire.Gateway
	seen    time.Duration
	loads   []*wire.InProgress
}

// leadLoop carries out the leader's duties whenever this replica leads.
func (s *Server) leadLoop(ctx context.Context) {
	var stop context.CancelFunc
	var heldAt time.Duration
	for {
		var hurry <-chan struct{}
		wait := leadCheck
		if l := s.lead.Load(); l != nil {
			hurry, wait = l.hurry, s.cfg.PlanInterval.D()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-hurry:
		}
		term, ok := s.leadingTerm(ctx)
		l := s.lead.Load()
		now := s.clock()
		if ok {
			heldAt = now
		}
		if l != nil && (ok && l.term != term || now-heldAt > lapseLimit) {
			s.log.WithField("term", l.term).Info("lead ended")
			s.lead.Store(nil)
			stop()
			l = nil
		}
		if !ok {
			continue
		}
		if l == nil {
			l, stop = s.startLead(ctx, term)
		}
		if l != nil {
			l.step(ctx)
		}
	}
}

// leadingTerm returns the term in which this replica holds the leader lease.
func (s *Server) leadingTerm(ctx context.Context) (uint64, bool) {
	var term uint64
	err := s.node.Read(ctx, func(l replica.Leadership, _ *state.Machine) { term = l.Term })
	return term, err == nil
}

// startLead begins a term, or returns nil where that is not possible now. The
// commit makes sure that everything that earlier leaders have committed is
// applied here, their notes above all.
func (s *Server) startLead(ctx context.Context, term uint64) (*leadState, context.CancelFunc) {
	confirm := &wire.Command{Body: &wire.Command_ConfirmLead{ConfirmLead: &wire.ConfirmLead{}}}
	call, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	if _, err := s.node.ProposeInTerm(call, term, confirm); err != nil {
		s.log.WithError(err).WithField("term", term).Warn("lead not started")
		return nil, nil
	}
	s.lookAtNotes(ctx)
	ctx, cancel := context.WithCancel(ctx)
	l := newLeadState(ctx, s, term)
	s.lead.Store(l)
	go l.followList(ctx)
	s.log.WithField("term", term).Info("lead started")
	return l, cancel
}

// newLeadState returns the state of a lead that begins now.
func newLeadState(ctx context.Context, s *Server, term uint64) *leadState {
	l := &leadState{
		s: s, term: term, since: s.clock(), ctx: ctx, hurry: make(chan struct{}, 1),
		gateways: map[string]*gatewayState{}, engines: map[string]*engineState{}, loads: map[string]*wire.InProgress{},
		demand: residency.NewDemand(), budgets: map[string]*residency.StoreBudget{},
		wanted: map[string]time.Duration{}, notedAt: map[string]time.Duration{}, jobs: map[wantedAdapter]*adapterJob{},
		detector: newDetector(s.log), published: newPublication(s.viewRevision.Load()),
	}
	l.allowed = l.mayOrder
	return l
}

// step looks at the document, plans and publishes the view.
func (l *leadState) step(ctx context.Context) {
	l.takeDocument(ctx)
	control := l.s.controlAddresses(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock()
	l.control = control
	l.dropLost(now)
	if l.doc != nil && l.listed {
		l.plan(now)
	}
	l.publish(now)
}

// wake asks for a step soon.
func (l *leadState) wake() {
	select {
	case l.hurry <- struct{}{}:
	default:
	}
}

// takeDocument decodes the document in force where it has changed.
func (l *leadState) takeDocument(ctx context.Context) {
	var stored *wire.Document
	err := l.s.node.Peek(ctx, func(m *state.Machine) { stored = m.Document() })
	if err != nil || stored == nil {
		return
	}
	l.mu.Lock()
	old := l.doc
	l.mu.Unlock()
	if old != nil && old.Version == stored.Version {
		return
	}
	d, err := l.s.adapter.Decode(stored.Text)
	if err != nil {
		l.s.log.WithError(err).WithField("version", stored.Version).Error("committed document not understood")
		return
	}
	l.mu.Lock()
	l.doc = d
	l.mu.Unlock()
}

// followList reads the live list until ctx ends.
func (l *leadState) followList(ctx context.Context) {
	var lostAt time.Time
	for {
		listReads.Inc()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		endpoints, err := l.s.adapter.Platform.Endpoints(call)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && lostAt.IsZero():
			lostAt = time.Now()
			l.s.log.WithError(err).Warn("live list lost")
		case err == nil && !lostAt.IsZero():
			l.s.log.WithField("lost_for", time.Since(lostAt)).Info("live list regained")
			lostAt = time.Time{}
		}
		if err == nil {
			l.takeList(endpoints)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.s.cfg.ListInterval.D()):
		}
	}
}

// takeList takes over what the platform says of the endpoints.
func (l *leadState) takeList(endpoints []ListedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock()
	named := map[string]bool{}
	for _, x := range endpoints {
		named[x.ID] = true
		e := l.engines[x.ID]
		if e == nil {
			e = &engineState{l: l, leaving: map[string]bool{}}
			l.engines[x.ID] = e
			l.s.log.WithFields(logrus.Fields{"endpoint": x.ID, "service": x.Service, "address": x.Address, "leaving": x.Leaving}).Info("endpoint listed")
			if len(x.Models) > 0 {
				go e.meet(l.ctx)
			}
		}
		e.take(x, now)
	}
	for id := range l.engines {
		if !named[id] {
			delete(l.engines, id)
			l.s.log.WithField("endpoint", id).Info("endpoint no longer listed")
		}
	}
	l.detector.keep(func(id string) bool { return named[id] })
	l.listed = true
	l.publish(now)
}
