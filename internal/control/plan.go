package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/placement"
	"parsleyramp/internal/wire"
)

// plannerState is the state that the leader keeps between plans. It starts empty
// in every term. It is safe for concurrent use.
type plannerState struct {
	mu     sync.Mutex
	term   uint64
	demand *placement.Estimator
	starts *placement.StartLimiter
	unmet  []placement.Unmet
}

// enterTerm resets the state if the term is new.
func (p *plannerState) enterTerm(term uint64, now time.Duration, cfg *Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.term == term && p.demand != nil {
		return
	}
	p.term = term
	p.demand = placement.NewEstimator(now, placement.ShortWindow, placement.LongWindow)
	p.starts = placement.NewStartLimiter(now, cfg.ModelLoadRate, cfg.ModelLoads)
	p.unmet = nil
}

// addDemand adds the demand that an entry reports. Reports received before the
// first plan of a term are dropped.
func (p *plannerState) addDemand(reports []*wire.DemandReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand == nil {
		return
	}
	for _, r := range reports {
		name := r.Model
		if r.Adapter != "" {
			p.demand.Add(name+":"+r.Adapter, uint64(r.Requests))
		}
		p.demand.Add(name, uint64(r.Requests))
	}
}

// reasonFor returns why the last plan did not bring the model or adapter into
// service, or "".
func (p *plannerState) reasonFor(model, version, adapter string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.unmet {
		if u.Model == model && u.Version == version && u.Adapter == adapter {
			return u.Reason
		}
	}
	return ""
}

// plan runs the planner and proposes its steps.
func (s *Server) plan(ctx context.Context, snap *snapshot) {
	now := s.clock()
	s.planner.enterTerm(snap.term, now, &s.cfg)
	incarnations := map[string]string{}
	for _, e := range snap.view.Endpoints {
		incarnations[e.Id] = e.Incarnation
	}
	result := placement.Plan(s.planInput(snap, now))
	s.planner.mu.Lock()
	s.planner.unmet = result.Unmet
	s.planner.mu.Unlock()
	for _, step := range result.Steps {
		if !s.proposeInTermAndLog(ctx, snap.term, step.Command(snap.term, incarnations[step.Endpoint]), "placement") {
			continue
		}
		if step.Action == placement.Load && step.Adapter == "" {
			s.planner.recordModelStart()
		}
		s.log.WithFields(logrus.Fields{
			"action": step.Action.String(), "endpoint": step.Endpoint, "model": step.Model,
			"version": step.Version, "adapter": step.Adapter, "reason": step.Reason,
		}).Info("move planned")
		countMove(step)
	}
}

func (p *plannerState) recordModelStart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts.Take()
}

func (s *Server) planInput(snap *snapshot, now time.Duration) placement.Input {
	s.planner.mu.Lock()
	demand, starts := s.planner.demand.Advance(now), s.planner.starts.Available(now)
	s.planner.mu.Unlock()
	in := placement.Input{
		Endpoints: snap.view.Endpoints, Residents: snap.view.Residents, Orders: snap.orders,
		Idle:   func(r *wire.Resident) bool { return snap.idle[residentKey(r)] },
		Budget: placement.Budget{ModelLoads: s.cfg.ModelLoads, AdapterLoads: s.cfg.AdapterLoads, ModelStarts: starts},
		Policy: placement.Policy{MoveWeight: s.cfg.MoveWeight, ReplicaRate: s.cfg.ReplicaRate},
		Demand: demand,
		Health: s.health.Read(now),
	}
	for _, section := range snap.view.Sections {
		if parsed, err := sectionCache.ParseSection(section.Team, section.Text); err == nil {
			in.Sections = append(in.Sections, parsed)
		}
	}
	return in
}
