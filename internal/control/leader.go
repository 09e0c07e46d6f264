package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// stepTimeout bounds one duty of the leader.
const leaderPassTimeout = 2 * time.Second

// answerDelay gathers answers of engines that come close together.
const resultDelay = 10 * time.Millisecond

// picture is a consistent copy of what the leader's duties depend on. Its view
// is shared and must not be changed.
type snapshot struct {
	term   uint64
	view   *wire.View
	orders []*wire.Order
	// copies are resolved orders that may still arrive.
	copies    []*wire.Order
	sendTerms []*wire.SendTerm
	members   []*wire.Replica
	deferred  []*wire.DeferredRequest
	// dead lists the entries whose lease is over for certain, as they are to
	// be recorded.
	dead []*wire.SetEntry
	idle map[string]bool
}

// expiryInterval is the time between two clearings of old records.
const expiryInterval = time.Minute

// overdue reports whether an overnight request is past its time.
func (s *snapshot) overdue(now time.Time) bool {
	return len(s.deferred) > 0 && s.deferred[0].FinishByUnixMs < now.Add(-deferredGracePeriod).UnixMilli()
}

// lead carries out the leader's duties as long as this replica leads.
func (s *Server) runLeader(ctx context.Context) {
	tick := time.NewTicker(s.cfg.PollInterval.D())
	defer tick.Stop()
	lastExpiry := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.orders.resultReady:
			// One more look a little later sees what else was answered.
			time.Sleep(resultDelay)
		}
		snap, err := s.snapshot(ctx)
		if err != nil {
			s.orders.enterTerm(ctx, 0)
			continue
		}
		s.orders.enterTerm(ctx, snap.term)
		s.leaderPass(ctx, snap)
		if time.Since(lastExpiry) > expiryInterval || snap.overdue(time.Now()) {
			lastExpiry = time.Now()
			s.expireRecords(ctx)
		}
	}
}

func (s *Server) leaderPass(ctx context.Context, snap *snapshot) {
	ctx, cancel := context.WithTimeout(ctx, leaderPassTimeout)
	defer cancel()
	s.markDead(ctx, snap)
	s.syncLiveList(ctx, snap)
	s.probeEngines(ctx, snap)
	s.assignOwners(ctx, snap)
	if s.startTerm(ctx, snap) {
		s.orders.execute(ctx, snap)
		s.plan(ctx, snap)
	}
	s.assignDeferred(ctx, snap)
}

func (s *Server) snapshot(ctx context.Context) (*snapshot, error) {
	snap := &snapshot{idle: map[string]bool{}}
	status, err := s.node.Status(ctx)
	if err != nil {
		return nil, err
	}
	snap.members = status.Membership.GetReplicas()
	err = s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
		s.leases.enterTerm(l.Term, l.Now)
		snap.term, snap.view, snap.orders, snap.deferred = l.Term, s.leases.view(m), m.Orders(), m.UnfinishedDeferred()
		snap.copies, snap.sendTerms = m.OutstandingCopies(), m.SendTerms()
		lease := s.cfg.EntryLease.D()
		snap.dead = s.leases.revokeExpired(snap.view.Entries, lease, l.Now)
		s.leases.prune(l.Now)
		for _, r := range snap.view.Residents {
			if r.State != wire.ResidentState_RESIDENT_STATE_DRAINING {
				continue
			}
			lagging := s.leases.lagging(snap.view.Entries, r.StateRevision, lease, l.Now)
			snap.idle[residentName(r)] = len(lagging) == 0 && s.leases.inFlight(r) == 0
		}
	})
	return snap, err
}

func residentName(r *wire.Resident) string {
	return r.Endpoint + "|" + r.Model + "|" + r.Version + "|" + r.Adapter
}

// try proposes a command and logs a failure; the next look tries again.
func (s *Server) proposeAndLog(ctx context.Context, c *wire.Command, task string) bool {
	r, err := s.propose(ctx, c)
	if err != nil {
		s.log.WithError(err).WithField("duty", task).Warn("change not committed")
		return false
	}
	if !r.Applied {
		s.log.WithFields(logrus.Fields{"duty": task, "reason": r.Reason}).Debug("change refused")
	}
	return r.Applied
}

// tryInTerm is try for what follows from the picture of one term. It takes no
// effect where this replica lost the lead meanwhile, also if it leads again.
func (s *Server) proposeInTermAndLog(ctx context.Context, term uint64, c *wire.Command, task string) bool {
	c.ProposedUnixMs = time.Now().UnixMilli()
	r, err := s.node.ProposeInTerm(ctx, term, c)
	log := s.log.WithField("duty", task)
	switch {
	case err != nil:
		log.WithError(err).Warn("change not committed")
	case !r.Applied:
		log.WithField("reason", r.Reason).Debug("change refused")
	default:
		return true
	}
	return false
}

// markDead records entries as lost. The mark is valid only in the term that
// revoked their leases.
func (s *Server) markDead(ctx context.Context, snap *snapshot) {
	for _, dead := range snap.dead {
		log := s.log.WithField("entry", dead.Entry.Id)
		r, err := s.node.ProposeInTerm(ctx, snap.term, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: dead}})
		switch {
		case err != nil:
			log.WithError(err).Warn("entry not marked as lost")
		case r.Applied:
			log.Warn("entry lost: its lease is over")
		}
	}
}

// maxDeferredPerEntry bounds the overnight work that one entry runs at once.
const maxDeferredPerEntry = 16

// assignDeferred gives queued overnight work, earliest deadline first, to the
// live entries that run least of it.
func (s *Server) assignDeferred(ctx context.Context, snap *snapshot) {
	for _, start := range deferredStarts(snap.view.Entries, snap.deferred) {
		s.proposeAndLog(ctx, &wire.Command{Body: &wire.Command_StartDeferred{StartDeferred: start}}, "assign overnight work")
	}
}

func deferredStarts(entries []*wire.EntryVM, requests []*wire.DeferredRequest) []*wire.StartDeferred {
	running := map[string]int{}
	for _, d := range requests {
		if d.State == wire.DeferredState_DEFERRED_STATE_RUNNING {
			running[d.RunnerEntry]++
		}
	}
	var out []*wire.StartDeferred
	for _, d := range requests {
		if d.State != wire.DeferredState_DEFERRED_STATE_QUEUED {
			continue
		}
		var to *wire.EntryVM
		for _, e := range entries {
			if e.Live && !e.Draining && running[e.Id] < maxDeferredPerEntry && (to == nil || running[e.Id] < running[to.Id]) {
				to = e
			}
		}
		if to == nil {
			return out
		}
		running[to.Id]++
		out = append(out, &wire.StartDeferred{Id: d.Id, RunnerEntry: to.Id, RunnerIncarnation: to.Incarnation, ExpectedAttempt: d.Attempt})
	}
	return out
}

// deferredGrace leaves the runner of an overnight request time to record its
// own failure at the deadline.
const deferredGracePeriod = 10 * time.Second

func (s *Server) expireRecords(ctx context.Context) {
	now := time.Now()
	s.proposeAndLog(ctx, &wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{
		ClaimsBeforeUnixMs:   now.Add(-s.cfg.ClaimRetention.D()).UnixMilli(),
		DeferredBeforeUnixMs: now.Add(-s.cfg.DeferredRetention.D()).UnixMilli(),
		SuspectsBeforeUnixMs: now.Add(-s.cfg.SuspectRetention.D()).UnixMilli(),
		AppliesBeforeUnixMs:  now.Add(-s.cfg.ApplyRetention.D()).UnixMilli(),
		NowUnixMs:            now.Add(-deferredGracePeriod).UnixMilli(),
	}}}, "expire records")
}
