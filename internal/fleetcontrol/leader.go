package fleetcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fairshare"
	"parsleyramp/internal/prefill"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/residency"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// initialReportWait is how long a new leader waits for the reports of gateways
	// before it publishes a view that names them.
	initialReportWait = 60 * time.Millisecond
	// maxLeaseLapse is how long the leader lease may lapse before this replica
	// drops its leaderState. Meanwhile it rejects Sync calls and sends no orders,
	// because both check the lease.
	maxLeaseLapse = time.Second
	// leaderCheckInterval is the time between two checks whether a replica without
	// leaderState leads now.
	leaderCheckInterval = 25 * time.Millisecond
	// gatewayTimeout is the time since its last report after which a gateway is
	// dropped.
	gatewayTimeout = 2500 * time.Millisecond
	// leadsBits is how many low bits of a leadership count those of the process in the term.
	leadsBits = 12
	// callTimeout bounds one call to the platform or an engine, and the commit with
	// which a new leader begins.
	callTimeout = time.Second
)

// leaderState is the state of a replica while it leads in one term. It is not
// replicated: the next leader builds its own from the list and from reports.
type leaderState struct {
	s    *Server
	term uint64
	// leadership differs from that of each other leaderState of the group, also in one term.
	leadership  uint64
	startedAt   time.Duration
	ctx         context.Context
	stepTrigger chan struct{}
	// orderAllowed reports whether an order may be sent to an engine now, and until
	// when. It is mayOrder except in tests.
	orderAllowed func(ctx context.Context, x ListedEndpoint) (until time.Duration, ok bool)

	// quotas has a mutex of its own.
	quotas quotas

	// intentMu serializes commits of order intents.
	intentMu sync.Mutex
	// announced has a mutex of its own.
	announced *announcedLoads

	mu  sync.Mutex
	doc *document.Document
	// docSince is when this replica first saw doc as the leader.
	docSince time.Duration
	gateways map[string]*gatewayState
	engines  map[string]*engineState
	// unanswered are the orders to load without a response, by engine.
	unanswered map[string][]unansweredOrder
	loads      map[string]*wire.InProgress
	// counts are the loads in the order of the endpoints of the published view, as of the
	// version countsOrder of it.
	counts      *endpointCounts
	countsOrder uint64
	// verdicts are those of the last exchange.
	verdicts       *verdicts
	listReceived   bool
	demand         *residency.Demand
	prefill        *prefill.Rates
	slowness       *prefill.Slowness
	speeds         speedLog
	budgets        map[string]*residency.StoreBudget
	requestedUntil map[string]time.Duration
	models         declaredModels
	// requestedVersions holds until when models are requested on engines of a version.
	requestedVersions map[modelVersion]time.Duration
	// waits are those of clients for models without a replica.
	waits             map[string]modelWait
	placementLoggedAt map[string]time.Duration
	jobs              map[adapterRequest]*adapterJob
	detector          *failureDetector
	suspects          *quarantine.Pool
	trials            quarantine.Trials
	limits            limitsState
	shares            fairShares
	roomGrants        roomGrants
	// recordedSuspects are those that the log holds, and recordedRevision is the
	// revision of the suspects of which they are up to date.
	recordedSuspects map[uint64]*wire.Suspect
	recordedRevision uint64
	// recordingSuspects is set while a change of recordedSuspects is being committed,
	// so that an older one does not follow a newer one.
	recordingSuspects bool
	// published is the view of the fleet that gateways receive.
	published *publishedView
	// control are the addresses of the control replicas.
	control []string
}

type gatewayState struct {
	gateway    *wire.Gateway
	lastReport time.Duration
	loads      []*wire.InProgress
	// ratesSentAt is when the gateway was last told how fast endpoints are, and
	// ratesOrder the version of the order of endpoints then.
	ratesSentAt time.Duration
	ratesOrder  uint64
	// documentVersion is the version that the gateway last reported, and slowVersion
	// the last one that was logged as missing there.
	documentVersion uint64
	slowVersion     uint64
}

// leaderLoop runs a step at every plan interval or trigger while this replica
// leads.
func (s *Server) leaderLoop(ctx context.Context) {
	var stop context.CancelFunc
	var leaseHeldAt time.Duration
	for {
		var trigger <-chan struct{}
		interval := leaderCheckInterval
		if l := s.leader.Load(); l != nil {
			trigger, interval = l.stepTrigger, s.cfg.PlanInterval.D()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		case <-trigger:
		}
		term, ok := s.leadingTerm(ctx)
		l := s.leader.Load()
		now := s.clock()
		if ok {
			leaseHeldAt = now
		}
		if l != nil && (ok && l.term != term || now-leaseHeldAt > maxLeaseLapse) {
			s.log.WithField("term", l.term).Info("leadership lost")
			s.leader.Store(nil)
			stop()
			l = nil
		}
		if !ok {
			continue
		}
		if l == nil {
			l, stop = s.startLeading(ctx, term)
		}
		if l == nil {
			continue
		}
		began := s.clock()
		l.step(ctx)
		wait.For(ctx, stepPause(s.clock()-began, s.cfg.PlanInterval.D()))
	}
}

const (
	// minStepPause and stepPauseRatio, relative to the time that the last step took, bound the
	// pause before a trigger starts the next step. Under overload, requests for models trigger
	// steps without end, and gateways that wait for the leader wait for each of them.
	minStepPause   = 20 * time.Millisecond
	stepPauseRatio = 4
)

// stepPause returns the pause after a step that took the time, the plan interval at most.
func stepPause(took, planInterval time.Duration) time.Duration {
	return min(max(minStepPause, stepPauseRatio*took), planInterval)
}

// leadingTerm returns the term in which this replica holds the leader lease.
func (s *Server) leadingTerm(ctx context.Context) (uint64, bool) {
	var term uint64
	err := s.node.Read(ctx, func(l replica.Leadership, _ *state.Machine) { term = l.Term })
	return term, err == nil
}

// startLeading creates the leaderState for the term, or returns nil if that is not
// possible now. Its commit ensures that all commands that earlier leaders have
// committed are applied here, in particular their order intents.
func (s *Server) startLeading(ctx context.Context, term uint64) (*leaderState, context.CancelFunc) {
	confirm := &wire.Command{Body: &wire.Command_ConfirmLead{ConfirmLead: &wire.ConfirmLead{}}}
	call, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	if _, err := s.node.ProposeInTerm(call, term, confirm); err != nil {
		s.log.WithError(err).WithField("term", term).Warn("failed to confirm leadership")
		return nil, nil
	}
	s.refreshIntents(ctx)
	ctx, cancel := context.WithCancel(ctx)
	l := newLeaderState(ctx, s, term)
	l.restoreSuspects(ctx)
	s.leader.Store(l)
	go l.pollList(ctx)
	s.log.WithField("term", term).Info("leadership acquired")
	return l, cancel
}

// newLeaderState returns the state for a term in which this replica starts to
// lead now.
func newLeaderState(ctx context.Context, s *Server, term uint64) *leaderState {
	leadership := term<<leadsBits | s.leads.Add(1)%(1<<leadsBits)
	l := &leaderState{
		s: s, term: term, leadership: leadership, startedAt: s.clock(), ctx: ctx, stepTrigger: make(chan struct{}, 1),
		gateways: map[string]*gatewayState{}, engines: map[string]*engineState{}, loads: map[string]*wire.InProgress{},
		demand: residency.NewDemand(), prefill: prefill.NewRates(), slowness: prefill.NewSlowness(), budgets: map[string]*residency.StoreBudget{},
		requestedUntil: map[string]time.Duration{}, requestedVersions: map[modelVersion]time.Duration{}, waits: map[string]modelWait{}, roomGrants: roomGrants{}, placementLoggedAt: map[string]time.Duration{}, jobs: map[adapterRequest]*adapterJob{},
		announced: newAnnouncedLoads(leadership), unanswered: map[string][]unansweredOrder{}, detector: newFailureDetector(s.log), published: newPublishedView(s.viewRevision.Load()),
		shares: fairShares{services: map[string]*fairshare.Service{}}, suspects: quarantine.NewPool(leadership), recordedSuspects: map[uint64]*wire.Suspect{},
	}
	l.orderAllowed = l.mayOrder
	return l
}

// step applies a new document, executes the plan and publishes the view.
func (l *leaderState) step(ctx context.Context) {
	l.updateDocument(ctx)
	control := l.s.controlAddresses(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock()
	l.control = control
	l.dropLostGateways(now)
	if l.doc != nil && l.listReceived {
		l.plan(now)
	}
	l.publish(now)
	if r := l.evaluateSuspects(now); r != nil {
		go l.recordSuspects(ctx, r)
	}
	if len(l.settledLoads(now-settleDelay)) > 0 {
		go l.withdrawLoads(ctx)
	}
}

// triggerStep makes leaderLoop run a step without waiting for the plan interval.
func (l *leaderState) triggerStep() {
	select {
	case l.stepTrigger <- struct{}{}:
	default:
	}
}

// updateDocument decodes the committed document if its version has changed.
func (l *leaderState) updateDocument(ctx context.Context) {
	var stored *wire.Document
	err := l.s.node.ReadStale(ctx, func(m *state.Machine) { stored = m.Document() })
	if err != nil || stored == nil {
		return
	}
	l.mu.Lock()
	old := l.doc
	l.mu.Unlock()
	if old != nil && old.Version == stored.Version {
		return
	}
	d, err := l.s.deps.Decode(stored.Text)
	if err != nil {
		l.s.log.WithError(err).WithField("version", stored.Version).Error("failed to decode committed document")
		return
	}
	l.mu.Lock()
	l.doc, l.docSince = d, l.s.clock()
	l.mu.Unlock()
	l.updateQuotas(d)
}

// pollList polls the live list until ctx ends.
func (l *leaderState) pollList(ctx context.Context) {
	var lostAt time.Time
	for {
		listReads.Inc()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		endpoints, err := l.s.deps.Platform.Endpoints(call)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && lostAt.IsZero():
			lostAt = time.Now()
			l.s.log.WithError(err).Warn("reading the live list failed")
		case err == nil && !lostAt.IsZero():
			l.s.log.WithField("lost_for", time.Since(lostAt)).Info("reading the live list succeeds again")
			lostAt = time.Time{}
		}
		if err == nil {
			l.applyList(endpoints)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.s.cfg.ListInterval.D()):
		}
	}
}

// distinct returns the entries without those whose id another entry has, of a service that
// the document names if there is one: the other comes from another writer.
func distinct(endpoints []ListedEndpoint, d *document.Document) []ListedEndpoint {
	positions := map[string]int{}
	var out []ListedEndpoint
	for _, x := range endpoints {
		i, known := positions[x.ID]
		switch {
		case !known:
			positions[x.ID] = len(out)
			out = append(out, x)
		case d != nil && d.Service(out[i].Service) == nil && d.Service(x.Service) != nil:
			out[i] = x
		}
	}
	return out
}

// applyList applies the endpoints of the live list.
func (l *leaderState) applyList(endpoints []ListedEndpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock()
	listed := map[string]bool{}
	for _, x := range distinct(endpoints, l.doc) {
		listed[x.ID] = true
		e := l.engines[x.ID]
		if e == nil {
			e = &engineState{leader: l, unloading: map[string]bool{}}
			l.engines[x.ID] = e
			l.s.log.WithFields(logrus.Fields{"endpoint": x.ID, "service": x.Service, "address": x.Address, "version": x.Version, "leaving": x.Leaving}).Info("endpoint listed")
			if len(x.Models) > 0 {
				go e.probe(l.ctx)
			}
		}
		e.applyListing(x, now)
	}
	for id := range l.engines {
		if !listed[id] {
			l.suspects.Removed(id, l.engines[id].leaving())
			delete(l.engines, id)
			l.prefill.Forget(id)
			l.slowness.Forget(id)
			l.s.log.WithField("endpoint", id).Info("endpoint no longer listed")
		}
	}
	l.detector.retain(func(id string) bool { return listed[id] })
	l.dropLimits(listed)
	l.listReceived = true
	l.publish(now)
}
