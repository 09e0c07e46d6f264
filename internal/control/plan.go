package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/placement"
	"parsleyramp/internal/wire"
)

// placing is what the leader remembers between two plans. It starts empty in
// every term. It is safe for concurrent use.
type placing struct {
	mu     sync.Mutex
	term   uint64
	demand *placement.Estimator
	starts *placement.StartLimiter
	unmet  []placement.Unmet
}

// enterTerm forgets everything where the term is a new one.
func (p *placing) enterTerm(term uint64, now time.Duration, cfg *Settings) {
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

// addDemand counts what an entry reports. Reports before the first plan of a
// term are dropped.
func (p *placing) addDemand(reports []*wire.DemandReport) {
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

// reason returns why the plan has not brought the item into service, or "".
func (p *placing) reason(model, version, adapter string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.unmet {
		if u.Model == model && u.Version == version && u.Adapter == adapter {
			return u.Reason
		}
	}
	return ""
}

// plan asks the planner for the next steps and carries them out.
func (s *Server) plan(ctx context.Context, p *picture) {
	now := s.clock()
	s.placing.enterTerm(p.term, now, &s.cfg)
	incarnations := map[string]string{}
	for _, e := range p.view.Endpoints {
		incarnations[e.Id] = e.Incarnation
	}
	result := placement.Plan(s.planInput(p, now))
	s.placing.mu.Lock()
	s.placing.unmet = result.Unmet
	s.placing.mu.Unlock()
	for _, step := range result.Steps {
		if !s.tryInTerm(ctx, p.term, step.Command(p.term, incarnations[step.Endpoint]), "placement") {
			continue
		}
		if step.Action == placement.Load && step.Adapter == "" {
			s.placing.took()
		}
		s.log.WithFields(logrus.Fields{
			"action": step.Action.String(), "endpoint": step.Endpoint, "model": step.Model,
			"version": step.Version, "adapter": step.Adapter, "reason": step.Reason,
		}).Info("move decided")
		countMove(step)
	}
}

func (p *placing) took() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts.Take()
}

func (s *Server) planInput(p *picture, now time.Duration) placement.Input {
	s.placing.mu.Lock()
	demand, starts := s.placing.demand.Advance(now), s.placing.starts.Available(now)
	s.placing.mu.Unlock()
	in := placement.Input{
		Endpoints: p.view.Endpoints, Residents: p.view.Residents, Orders: p.orders,
		Idle:   func(r *wire.Resident) bool { return p.idle[residentName(r)] },
		Budget: placement.Budget{ModelLoads: s.cfg.ModelLoads, AdapterLoads: s.cfg.AdapterLoads, ModelStarts: starts},
		Policy: placement.Policy{MoveWeight: s.cfg.MoveWeight, ReplicaRate: s.cfg.ReplicaRate},
		Demand: demand,
		Health: s.health.Read(now),
	}
	for _, section := range p.view.Sections {
		if parsed, err := parsedSections.ParseSection(section.Team, section.Text); err == nil {
			in.Sections = append(in.Sections, parsed)
		}
	}
	return in
}
