package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// stepTimeout bounds one duty of the leader.
const stepTimeout = 2 * time.Second

// answerDelay gathers answers of engines that come close together.
const answerDelay = 10 * time.Millisecond

// picture is a consistent copy of what the leader's duties depend on.
type picture struct {
	term   uint64
	view   *wire.View
	orders []*wire.Order
	// copies are resolved orders that may still arrive.
	copies    []*wire.Order
	sendTerms []*wire.SendTerm
	members   []*wire.Replica
	deferred  []*wire.DeferredRequest
	// dead lists live-marked entries whose lease is over for certain.
	dead []*wire.EntryVM
	idle map[string]bool
}

// lead carries out the leader's duties as long as this replica leads.
func (s *Server) lead(ctx context.Context) {
	tick := time.NewTicker(s.cfg.PollInterval.D())
	defer tick.Stop()
	lastExpiry := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.orders.answered:
			// One more look a little later sees what else was answered.
			time.Sleep(answerDelay)
		}
		p, err := s.picture(ctx)
		if err != nil {
			s.orders.enterTerm(ctx, 0)
			continue
		}
		s.orders.enterTerm(ctx, p.term)
		s.step(ctx, p)
		if time.Since(lastExpiry) > time.Minute {
			lastExpiry = time.Now()
			s.expireRecords(ctx)
		}
	}
}

func (s *Server) step(ctx context.Context, p *picture) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	s.markDead(ctx, p)
	s.followLiveList(ctx, p)
	s.meetEngines(ctx, p)
	s.assignOwners(ctx, p)
	if s.startTerm(ctx, p) {
		s.orders.follow(ctx, p)
		s.plan(ctx, p)
	}
	s.assignDeferred(ctx, p)
}

func (s *Server) picture(ctx context.Context) (*picture, error) {
	p := &picture{idle: map[string]bool{}}
	status, err := s.node.Status(ctx)
	if err != nil {
		return nil, err
	}
	p.members = status.Membership.GetReplicas()
	err = s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
		s.leases.enterTerm(l.Term, l.Now)
		p.term, p.view, p.orders, p.deferred = l.Term, m.View(), m.Orders(), m.DeferredWork()
		p.copies, p.sendTerms = m.Copies(), m.SendTerms()
		lease := s.cfg.EntryLease.D()
		for _, e := range p.view.Entries {
			if e.Live && s.leases.expired(e.Id, lease, l.Now) {
				p.dead = append(p.dead, e)
			}
		}
		for _, r := range p.view.Residents {
			if r.State != wire.ResidentState_RESIDENT_STATE_DRAINING {
				continue
			}
			lagging := s.leases.lagging(p.view.Entries, r.StateRevision, lease, l.Now)
			p.idle[residentName(r)] = len(lagging) == 0 && s.leases.inFlight(r) == 0
		}
	})
	return p, err
}

func residentName(r *wire.Resident) string {
	return r.Endpoint + "|" + r.Model + "|" + r.Version + "|" + r.Adapter
}

// try proposes a command and logs a failure; the next look tries again.
func (s *Server) try(ctx context.Context, c *wire.Command, duty string) bool {
	r, err := s.propose(ctx, c)
	if err != nil {
		s.log.WithError(err).WithField("duty", duty).Warn("change not committed")
		return false
	}
	if !r.Applied {
		s.log.WithFields(logrus.Fields{"duty": duty, "reason": r.Reason}).Debug("change refused")
	}
	return r.Applied
}

func (s *Server) markDead(ctx context.Context, p *picture) {
	for _, e := range p.dead {
		gone := proto.Clone(e).(*wire.EntryVM)
		gone.Live = false
		if s.try(ctx, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: gone}}}, "mark entry dead") {
			s.log.WithField("entry", e.Id).Warn("entry lost: its lease is over")
		}
	}
}

// assignDeferred gives queued overnight work to live entries in turn.
func (s *Server) assignDeferred(ctx context.Context, p *picture) {
	var live []*wire.EntryVM
	for _, e := range p.view.Entries {
		if e.Live && !e.Draining {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return
	}
	for i, d := range p.deferred {
		if d.State != wire.DeferredState_DEFERRED_STATE_QUEUED {
			continue
		}
		to := live[i%len(live)]
		s.try(ctx, &wire.Command{Body: &wire.Command_StartDeferred{StartDeferred: &wire.StartDeferred{
			Id: d.Id, RunnerEntry: to.Id, RunnerIncarnation: to.Incarnation, ExpectedAttempt: d.Attempt,
		}}}, "assign overnight work")
	}
}

func (s *Server) expireRecords(ctx context.Context) {
	now := time.Now()
	s.try(ctx, &wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{
		ClaimsBeforeUnixMs:   now.Add(-s.cfg.ClaimRetention.D()).UnixMilli(),
		DeferredBeforeUnixMs: now.Add(-s.cfg.DeferredRetention.D()).UnixMilli(),
		SuspectsBeforeUnixMs: now.Add(-s.cfg.SuspectRetention.D()).UnixMilli(),
	}}}, "expire records")
}
