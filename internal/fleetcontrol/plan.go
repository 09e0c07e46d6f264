package fleetcontrol

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/residency"
)

// wantedTime is how long a question for a model keeps it urgent.
const modelRequestTTL = 2 * time.Second

// plan gives the orders that the demand asks for. The caller holds the lock.
func (l *leaderState) plan(now time.Duration) {
	for i := range l.doc.Services {
		if s := &l.doc.Services[i]; s.Engine != nil {
			l.planService(s, now)
		}
	}
}

func (l *leaderState) planService(s *document.Service, now time.Duration) {
	budget := l.budgets[s.Name]
	if budget == nil {
		budget = residency.NewStoreBudget(s.Engine.LoadsPerSecond, l.s.cfg.StoreWindow.D())
		l.budgets[s.Name] = budget
	}
	budget.SetRate(s.Engine.LoadsPerSecond)
	in := residency.Input{Slots: s.Engine.Slots, AdapterPlaces: s.Engine.AdapterPlaces, MaxStoreLoads: min(budget.Left(now), l.availableStoreLoads(s))}
	recent := l.demand.RecentAdapters(now)
	for _, e := range l.enginesOf(s.Name) {
		in.Engines = append(in.Engines, e.plannerInput(s.Engine, now))
	}
	for _, m := range s.Engine.Models {
		in.Models = append(in.Models, residency.Model{
			Name: m.Name, MB: m.WeightsMB + adapterReserveMB(s.Engine, m), Demand: l.demand.Places(m.Name, now), Ahead: l.demand.Ahead(m.Name, m.Load, now),
			Adapters: recent[m.Name], Wanted: l.requestedUntil[m.Name] > now,
		})
	}
	l.logPlacement(s.Name, in, now)
	for _, step := range residency.Plan(in) {
		l.startStep(step, budget, now)
	}
}

// storePlaces returns how many more loads from the weight store may run at the
// same time: as many as keep it busy at its rate. More would slow each other.
func (l *leaderState) availableStoreLoads(s *document.Service) int {
	longest := time.Duration(0)
	for _, m := range s.Engine.Models {
		longest = max(longest, m.Load)
	}
	available := int(math.Ceil(s.Engine.LoadsPerSecond * longest.Seconds()))
	for _, e := range l.engines {
		if e.listed.Service == s.Name && e.loading != "" && e.fromStore {
			available--
		}
	}
	return max(available, 0)
}

// noteInterval is the time between two lines on what a service's engines hold.
const placementLogInterval = time.Second

// notePlan logs the demand and the replicas of the models in use, and what the
// gateways have in progress.
func (l *leaderState) logPlacement(service string, in residency.Input, now time.Duration) {
	if now-l.placementLoggedAt[service] < placementLogInterval {
		return
	}
	l.placementLoggedAt[service] = now
	replicas := map[string]int{}
	running := uint32(0)
	for _, e := range in.Engines {
		running += l.loads[e.ID].GetRunning()
		for m := range e.Models {
			replicas[m]++
		}
	}
	var parts []string
	for _, m := range in.Models {
		if m.Demand > 0 || replicas[m.Name] == 0 {
			parts = append(parts, fmt.Sprintf("%s:%.1f/%d/%d", m.Name, m.Demand, replicas[m.Name], m.Adapters))
		}
	}
	l.s.log.WithFields(logrus.Fields{
		"service": service, "engines": len(in.Engines), "running": running, "loads_left": in.MaxStoreLoads,
		"model_demand_replicas_adapters": strings.Join(parts, " "),
	}).Info("placement state")
}

// adapterReserve is the room kept for a model's adapters beside its weights.
func adapterReserveMB(e *document.Engine, m document.Model) float64 {
	return float64(min(m.Adapters, e.AdapterPlaces)) * m.AdapterMB
}

// enginesOf returns the engines of a service in a fixed order.
func (l *leaderState) enginesOf(service string) []*engineState {
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
func (e *engineState) plannerInput(d *document.Engine, now time.Duration) residency.Engine {
	out := residency.Engine{
		ID: e.listed.ID, CapacityMB: d.WeightsMB, UsedMB: e.usedMB(d), Models: map[string]bool{},
		Busy: e.stepInFlight || e.foreignOrder || e.leader.blocked(e.listed.ID, now), Closed: e.listed.Leaving || e.held == nil, NearBy: e.cached,
	}
	for name := range e.held {
		if !e.unloading[name] {
			out.Models[name] = true
		}
	}
	if e.loading != "" {
		out.Models[e.loading] = true
	}
	return out
}

// readyIn returns the time until the model is expected to be ready on an engine
// of the service that loads it; zero where none does.
func (l *leaderState) timeToReady(service, model string) time.Duration {
	soonest := time.Duration(0)
	for _, e := range l.engines {
		if e.listed.Service != service || e.loading != model || model == "" {
			continue
		}
		left := max(e.readyAt-l.s.clock(), minPollInterval)
		if soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// start begins one step.
func (l *leaderState) startStep(step residency.Step, budget *residency.StoreBudget, now time.Duration) {
	e := l.engines[step.Engine]
	e.stepInFlight, e.loading, e.fromStore = true, step.Load, step.FromStore
	e.readyAt = now + e.loadTime(step.Load)
	for _, m := range step.Unload {
		e.unloading[m] = true
		e.readyAt += modelDrainTime
	}
	if step.FromStore {
		budget.Start(now)
		storeLoads.Inc()
	}
	l.s.log.WithFields(logrus.Fields{
		"endpoint": step.Engine, "load": step.Load, "unload": strings.Join(step.Unload, " "), "from_store": step.FromStore,
		"demand": l.demand.Places(step.Load, now), "term": l.term,
	}).Info("placement step")
	go e.executeStep(l.ctx, step)
}
