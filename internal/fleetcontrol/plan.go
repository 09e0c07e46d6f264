package fleetcontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/residency"
)

// wantedTime is how long a question for a model keeps it urgent.
const wantedTime = 2 * time.Second

// plan gives the orders that the demand asks for. The caller holds the lock.
func (l *leadState) plan(now time.Duration) {
	if now-l.since < l.s.cfg.orderQuiet() {
		return
	}
	for i := range l.doc.Services {
		if s := &l.doc.Services[i]; s.Engine != nil {
			l.planService(s, now)
		}
	}
}

func (l *leadState) planService(s *document.Service, now time.Duration) {
	budget := l.budgets[s.Name]
	if budget == nil {
		budget = residency.NewStoreBudget(s.Engine.LoadsPerSecond, l.s.cfg.StoreWindow.D())
		l.budgets[s.Name] = budget
	}
	budget.SetRate(s.Engine.LoadsPerSecond)
	in := residency.Input{Slots: s.Engine.Slots, MaxLoads: budget.Left(now)}
	for _, e := range l.enginesOf(s.Name) {
		in.Engines = append(in.Engines, e.planned(s.Engine))
	}
	for _, m := range s.Engine.Models {
		in.Models = append(in.Models, residency.Model{
			Name: m.Name, MB: m.WeightsMB + adapterReserve(s.Engine, m), Demand: l.demand.Places(m.Name, now), Wanted: l.wanted[m.Name] > now,
		})
	}
	for _, a := range residency.Plan(in) {
		l.start(a, budget, now)
	}
}

// adapterReserve is the room kept for a model's adapters beside its weights.
func adapterReserve(e *document.Engine, m document.Model) float64 {
	return float64(min(m.Adapters, e.AdapterPlaces)) * m.AdapterMB
}

// enginesOf returns the engines of a service in a fixed order.
func (l *leadState) enginesOf(service string) []*engineState {
	var out []*engineState
	for _, e := range l.engines {
		if e.listed.Service == service {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *engineState) int { return cmp.Compare(a.listed.ID, b.listed.ID) })
	return out
}

// planned returns the engine as the planner sees it.
func (e *engineState) planned(d *document.Engine) residency.Engine {
	out := residency.Engine{
		ID: e.listed.ID, CapacityMB: d.WeightsMB, UsedMB: e.usedMB(d), Models: map[string]bool{},
		Busy: e.ordering, Closed: e.listed.Leaving || e.held == nil, NearBy: e.nearBy,
	}
	for name := range e.held {
		if !e.leaving[name] {
			out.Models[name] = true
		}
	}
	if e.loading != "" {
		out.Models[e.loading] = true
	}
	return out
}

// start begins one order.
func (l *leadState) start(a residency.Action, budget *residency.StoreBudget, now time.Duration) {
	e := l.engines[a.Engine]
	e.ordering = true
	if a.Load {
		e.loading = a.Model
		budget.Start(now)
	} else {
		e.leaving[a.Model] = true
	}
	l.s.log.WithFields(logrus.Fields{
		"endpoint": a.Engine, "model": a.Model, "load": a.Load, "demand": l.demand.Places(a.Model, now), "term": l.term,
	}).Info("placement step")
	go e.carryOut(l.ctx, a.Load, a.Model)
}
