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

// modelRequestTTL is how long a gateway's request for a model counts in the plan.
const modelRequestTTL = 2 * time.Second

// plan starts the placement steps that the demand requires. l.mu must be held.
func (l *leaderState) plan(now time.Duration) {
	l.dropPastWaits(now)
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
	available := l.availableStoreLoads(s)
	in := residency.Input{
		Slots: s.Engine.Slots, AdapterSlots: s.Engine.AdapterSlots, DemandUnknown: l.demandUnknown(now),
		MaxStoreLoads: max(min(budget.Left(now), available)-l.unresolvedStoreLoads(s.Name), 0),
	}
	in.MaxIdleStoreLoads = min(budget.LeftForIdle(now), in.MaxStoreLoads)
	recent := l.demand.RecentAdapters(now)
	for _, e := range l.enginesOf(s.Name) {
		in.Engines = append(in.Engines, e.plannerInput(s.Engine, now))
	}
	for _, m := range s.Engine.Models {
		in.Models = append(in.Models, l.modelInput(s.Engine, m, recent[m.Name], now))
	}
	l.logPlacement(s.Name, in, now)
	for _, step := range residency.Plan(in) {
		l.startStep(step, budget, now)
	}
}

// modelInput returns the state of a model, of which so many adapters are in use, as input of
// the planner. l.mu must be held.
func (l *leaderState) modelInput(d *document.Engine, m document.Model, adapters int, now time.Duration) residency.Model {
	patience, waited := l.urgency(m.Name, now)
	return residency.Model{
		Name: m.Name, MB: m.WeightsMB + adapterReserveMB(d, m), Load: m.Load, LoadFromMemory: m.LoadFromMemory,
		Demand: l.demand.Slots(m.Name, now), Forecast: l.demand.Forecast(m.Name, m.Load, now),
		UrgentDemand: l.demand.UrgentSlots(m.Name, now), Patience: patience,
		Requested: l.requestedUntil[m.Name] > now, Waited: waited,
		Adapters: adapters, RequestedVersions: l.versionsRequested(m.Name, now),
	}
}

const (
	// demandSettleTime is how long a leader measures demand before it relies on it.
	demandSettleTime = time.Second
	// trafficWait is how long a new leader waits for demand before it takes the fleet for
	// idle.
	trafficWait = 3 * time.Second
)

// demandUnknown reports whether demand has not been measured for long enough to plan by it.
// l.mu must be held.
func (l *leaderState) demandUnknown(now time.Duration) bool {
	observed := l.demand.Observed(now)
	return observed < demandSettleTime && (observed > 0 || now-l.startedAt < trafficWait)
}

// unresolvedStoreLoads returns how many loads from the weight store may still start because
// it is unknown whether engines have accepted them. l.mu must be held.
func (l *leaderState) unresolvedStoreLoads(service string) int {
	n := 0
	for _, e := range l.engines {
		if e.listed.Service != service {
			continue
		}
		for _, o := range e.pendingLoads() {
			if o.Adapter == "" && !e.cached[o.Model] {
				n++
			}
		}
	}
	return n
}

// availableStoreLoads returns how many more loads from the weight store may run
// concurrently. The limit is the number that saturates the store at its rate;
// more loads would slow each other down.
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

// placementLogInterval is the time between two log lines with the placement state
// of a service.
const placementLogInterval = time.Second

// maxModelsLogged bounds the models of one line on the placement state.
const maxModelsLogged = 60

// logPlacement logs the demand and the replicas of the models in use, those with the highest
// demand for each replica first, and the requests in flight at the service's engines.
func (l *leaderState) logPlacement(service string, in residency.Input, now time.Duration) {
	if now-l.placementLoggedAt[service] < placementLogInterval {
		return
	}
	l.placementLoggedAt[service] = now
	replicas := map[string]int{}
	running := uint32(0)
	demand, urgent := 0.0, 0.0
	for _, m := range in.Models {
		demand += m.Demand
		urgent += m.UrgentDemand
	}
	for _, e := range in.Engines {
		running += l.loads[e.ID].GetRunning()
		for m := range e.Models {
			replicas[m]++
		}
	}
	models := slices.DeleteFunc(slices.Clone(in.Models), func(m residency.Model) bool { return m.Demand == 0 && replicas[m.Name] > 0 })
	slices.SortStableFunc(models, func(a, b residency.Model) int {
		return cmp.Compare(b.Demand/float64(replicas[b.Name]+1), a.Demand/float64(replicas[a.Name]+1))
	})
	var parts []string
	for _, m := range models[:min(len(models), maxModelsLogged)] {
		parts = append(parts, fmt.Sprintf("%s:%.1f/%d/%d/%.1f", m.Name, m.Demand, replicas[m.Name], m.Adapters, m.UrgentDemand))
	}
	l.s.log.WithFields(logrus.Fields{
		"service": service, "engines": len(in.Engines), "running": running, "loads_left": in.MaxStoreLoads,
		"models_in_use": len(models), "demand_unknown": in.DemandUnknown,
		"demand": demand, "urgent_demand": urgent, "patient_models": patientModels(in.Models),
		"model_demand_replicas_adapters_urgent": strings.Join(parts, " "),
	}).Info("placement state")
}

// adapterReserveMB returns the memory reserved for a model's adapters in addition
// to its weights.
func adapterReserveMB(e *document.Engine, m document.Model) float64 {
	return float64(min(m.Adapters, e.AdapterSlots)) * m.AdapterMB
}

// enginesOf returns the engines of a service, sorted by ID.
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

// plannerInput returns the engine's state as input of the planner.
func (e *engineState) plannerInput(d *document.Engine, now time.Duration) residency.Engine {
	out := residency.Engine{
		ID: e.listed.ID, CapacityMB: d.WeightsMB, UsedMB: e.usedMB(d), Models: map[string]bool{},
		Busy:    e.stepInFlight || e.foreignOrder || e.leader.blocked(e.listed, now) || now < e.unreachedUntil,
		Version: e.version.known, Unavailable: e.leaving() || e.held == nil || now < e.refusedUntil || e.limitedBelow(minCapacityRatio, d.Slots), Cached: e.cached,
		Crashed: now < e.crashedUntil,
	}
	for name := range e.held {
		if !e.unloading[name] {
			out.Models[name] = true
		}
	}
	if e.loading != "" {
		out.Models[e.loading] = true
	}
	out.Loaded, out.Speed = e.lastLoads(now), e.leader.speedOf(e, now)
	return out
}

// timeToReady returns the time until the model is expected to be ready on an
// engine of the service and version that loads it, or 0 if no engine loads it.
func (l *leaderState) timeToReady(service, model, version string) time.Duration {
	soonest := time.Duration(0)
	for _, e := range l.engines {
		if e.listed.Service != service || e.loading != model || model == "" || !e.runs(version) {
			continue
		}
		left := max(e.readyAt-l.s.clock(), minPollInterval)
		if soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// startStep starts to execute a placement step.
func (l *leaderState) startStep(step residency.Step, budget *residency.StoreBudget, now time.Duration) {
	e := l.engines[step.Engine]
	e.stepInFlight, e.loading, e.fromStore = true, step.Load, step.FromStore
	e.readyAt = now + e.loadTime(step.Load)
	e.stepStartedAt = now
	for _, m := range step.Unload {
		e.unloading[m] = true
		e.readyAt += modelDrainTime(len(l.gateways))
	}
	reasons := countDisplacements(step)
	if step.FromStore {
		budget.Start(now)
		e.storeLoadAt = now
		storeLoads.Inc()
	}
	l.s.log.WithFields(logrus.Fields{
		"endpoint": step.Engine, "load": step.Load, "unload": strings.Join(step.Unload, " "), "unload_reasons": reasons, "from_store": step.FromStore,
		"demand": l.demand.Slots(step.Load, now), "urgent_demand": l.demand.UrgentSlots(step.Load, now),
		"waited_ms": l.waited(step.Load, now).Milliseconds(), "term": l.term,
	}).Info("placement step started")
	go e.executeStep(l.ctx, step)
}
