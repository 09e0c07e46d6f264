package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// leaderPassTimeout bounds one pass of the leader loop: all tasks together.
const leaderPassTimeout = 2 * time.Second

// resultDelay is the wait before a pass that an order result triggers, so that
// results arriving close together are handled in one pass.
const resultDelay = 10 * time.Millisecond

// snapshot is a consistent copy of the state that the leader's tasks depend on.
// Its view is shared and must not be modified.
type snapshot struct {
	term   uint64
	view   *wire.View
	orders []*wire.Order
	// copies are resolved orders of which a copy may still reach its engine.
	copies    []*wire.Order
	sendTerms []*wire.SendTerm
	members   []*wire.Replica
	deferred  []*wire.DeferredRequest
	// dead holds the commands that record as not live the entries whose lease
	// has certainly expired.
	dead []*wire.SetEntry
	// idle holds, by residentKey, whether a draining resident can be unloaded:
	// every entry has applied its draining state and no request is in flight.
	idle map[string]bool
}

// expiryInterval is the time between two removals of expired records.
const expiryInterval = time.Minute

// overdue reports whether a deferred request is past its deadline and the grace
// period. The requests are sorted by deadline.
func (s *snapshot) overdue(now time.Time) bool {
	return len(s.deferred) > 0 && s.deferred[0].FinishByUnixMs < now.Add(-deferredGracePeriod).UnixMilli()
}

// runLeader runs the leader loop until ctx ends. A pass is skipped while this
// replica is not the leader.
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
			// Wait for the results of other orders that finish at about the same time.
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

// leaderPass runs every task of the leader once on the snapshot.
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

// snapshot reads the replicated state and the lease table. It fails if this
// replica is not the leader.
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
			snap.idle[residentKey(r)] = len(lagging) == 0 && s.leases.inFlight(r) == 0
		}
	})
	return snap, err
}

func residentKey(r *wire.Resident) string {
	return r.Endpoint + "|" + r.Model + "|" + r.Version + "|" + r.Adapter
}

// proposeAndLog proposes a command and logs a failure. It does not retry: the
// next pass of the leader does.
func (s *Server) proposeAndLog(ctx context.Context, c *wire.Command, task string) bool {
	r, err := s.propose(ctx, c)
	if err != nil {
		s.log.WithError(err).WithField("duty", task).Warn("change not committed")
		return false
	}
	if !r.Applied {
		s.log.WithFields(logrus.Fields{"duty": task, "reason": r.Reason}).Debug("change rejected")
	}
	return r.Applied
}

// proposeInTermAndLog is proposeAndLog for a command derived from a snapshot of
// one term. The command takes no effect if this replica has lost the leadership
// since, even if it is the leader again.
func (s *Server) proposeInTermAndLog(ctx context.Context, term uint64, c *wire.Command, task string) bool {
	c.ProposedUnixMs = time.Now().UnixMilli()
	r, err := s.node.ProposeInTerm(ctx, term, c)
	log := s.log.WithField("duty", task)
	switch {
	case err != nil:
		log.WithError(err).Warn("change not committed")
	case !r.Applied:
		log.WithField("reason", r.Reason).Debug("change rejected")
	default:
		return true
	}
	return false
}

// markDead records the entries with expired leases as not live. The command is
// valid only in the term in which their leases were revoked.
func (s *Server) markDead(ctx context.Context, snap *snapshot) {
	for _, dead := range snap.dead {
		log := s.log.WithField("entry", dead.Entry.Id)
		r, err := s.node.ProposeInTerm(ctx, snap.term, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: dead}})
		switch {
		case err != nil:
			log.WithError(err).Warn("entry with an expired lease not recorded as not live")
		case r.Applied:
			log.Warn("entry recorded as not live: its lease expired")
		}
	}
}

// maxDeferredPerEntry bounds the deferred requests that one entry runs at a time.
const maxDeferredPerEntry = 16

// assignDeferred assigns queued deferred requests, earliest deadline first, to
// the live entries that run the fewest.
func (s *Server) assignDeferred(ctx context.Context, snap *snapshot) {
	for _, start := range deferredStarts(snap.view.Entries, snap.deferred) {
		s.proposeAndLog(ctx, &wire.Command{Body: &wire.Command_StartDeferred{StartDeferred: start}}, "assign deferred requests")
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

// deferredGracePeriod is the time after the deadline of a deferred request in
// which the entry that runs it can record the failure itself.
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
