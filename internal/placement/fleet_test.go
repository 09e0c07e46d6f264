package placement

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/wire"
)

const (
	engineMemory = 80000 << 20
	// engineRate is the number of requests per second that one engine answers in
	// time.
	engineRate = 4
	// loadingFactor is the share of engineRate that remains while an engine loads a
	// model.
	loadingFactor = 0.8
)

// deployment is the site of one user at its stated size.
type deployment struct {
	name         string
	engines      int
	domains      int
	sections     []*desired.Section
	modelLoads   int
	adapterLoads int
	loadRate     float64
	moveWeight   float64
}

func ranmuthu(t testing.TB) deployment {
	return deployment{"ranmuthu", 18 + 4, 4, sections(t, "ranmuthu"), 3, 24, 3, 0.2}
}

func kalnins(t testing.TB) deployment {
	return deployment{"kalnins", 18 + 3, 3, sections(t, "kalnins"), 4, 32, 3, 0.8}
}

// sections reads the example documents of a deployment.
func sections(t testing.TB, name string) []*desired.Section {
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.jsonc"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no documents of %s: %v", name, err)
	}
	var out []*desired.Section
	for _, f := range files {
		if filepath.Base(f) == "control.jsonc" {
			continue
		}
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		s, err := desired.ParseSection(text)
		if err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		out = append(out, s)
	}
	return out
}

// fleet is a fake of the engines, the weight store and the ledger. It executes
// steps in order and counts the loads.
type fleet struct {
	now time.Duration
	// step is the time between two plans.
	step      time.Duration
	endpoints []*wire.Endpoint
	residents []*wire.Resident
	orders    []*order
	health    *HealthTable
	starts    *StartLimiter
	loads     int
	adapters  int
	perStore  int
	// overcommitted is true once more memory was charged to an engine than it has.
	overcommitted bool
}

type order struct {
	*wire.Order
	resident *wire.Resident
	done     time.Duration
}

const (
	modelLoadTime   = time.Second
	adapterLoadTime = 10 * time.Millisecond
)

func newFleet(d deployment) *fleet {
	f := &fleet{step: time.Second, health: NewHealthTable(), starts: NewStartLimiter(0, d.loadRate, d.modelLoads), perStore: d.modelLoads}
	for i := range d.engines {
		f.endpoints = append(f.endpoints, &wire.Endpoint{
			Id: fmt.Sprintf("engine-%04d", i), Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Domain: fmt.Sprintf("domain-%d", i%d.domains),
			Owner: fmt.Sprintf("entry-%d", i%9), Incarnation: "1", MemoryBytes: engineMemory, Reachable: true, Slots: 8,
		})
	}
	return f
}

func (f *fleet) endpoint(id string) *wire.Endpoint {
	at, _ := slices.BinarySearchFunc(f.endpoints, id, func(e *wire.Endpoint, id string) int {
		if e.Id < id {
			return -1
		}
		if e.Id > id {
			return 1
		}
		return 0
	})
	return f.endpoints[at]
}

// input returns the planner input that a leader would have.
func (f *fleet) input(d deployment, weight float64, demand map[string]Demand) Input {
	in := Input{
		Sections: d.sections, Endpoints: f.endpoints, Residents: f.residents,
		Idle:   func(*wire.Resident) bool { return true },
		Budget: Budget{ModelLoads: d.modelLoads, AdapterLoads: d.adapterLoads, ModelStarts: f.starts.Available(f.now)},
		Policy: Policy{MoveWeight: weight, ReplicaRate: engineRate / 2},
		Demand: demand, Health: f.health.Read(f.now),
	}
	for _, o := range f.orders {
		in.Orders = append(in.Orders, o.Order)
	}
	return in
}

// disconnect makes the engines that lost selects unreachable.
func (f *fleet) disconnect(lost func(*wire.Endpoint) bool) {
	for _, e := range f.endpoints {
		if lost(e) {
			e.Reachable = false
			f.health.Observe(e.Id, f.now, "")
		}
	}
}

// restore makes unreachable engines reachable again, restarted with empty memory.
func (f *fleet) restore() {
	for _, e := range f.endpoints {
		if e.Reachable {
			continue
		}
		e.Reachable = true
		e.Incarnation += "1"
		f.residents = slices.DeleteFunc(f.residents, func(r *wire.Resident) bool { return r.Endpoint == e.Id })
		f.orders = slices.DeleteFunc(f.orders, func(o *order) bool { return o.Endpoint == e.Id })
	}
}

// execute starts the steps, advances the time by f.step, and completes the orders
// that are due.
func (f *fleet) execute(steps []Step) {
	for _, s := range steps {
		f.start(s)
	}
	f.now += f.step
	f.observeHealth()
	f.orders = slices.DeleteFunc(f.orders, func(o *order) bool {
		if o.done > f.now || !f.endpoint(o.Endpoint).Reachable {
			return false
		}
		if o.Kind == wire.OrderKind_ORDER_KIND_LOAD {
			o.resident.State = wire.ResidentState_RESIDENT_STATE_READY
		} else {
			f.residents = slices.DeleteFunc(f.residents, func(r *wire.Resident) bool { return r == o.resident })
		}
		return true
	})
}

func (f *fleet) observeHealth() {
	for _, e := range f.endpoints {
		incarnation := ""
		if e.Reachable {
			incarnation = e.Incarnation
		}
		f.health.Observe(e.Id, f.now, incarnation)
	}
}

func (f *fleet) find(s Step) *wire.Resident {
	for _, r := range f.residents {
		if r.Endpoint == s.Endpoint && r.Model == s.Model && r.Version == s.Version && r.Adapter == s.Adapter {
			return r
		}
	}
	return nil
}

func (f *fleet) start(s Step) {
	switch s.Action {
	case Drain:
		f.find(s).State = wire.ResidentState_RESIDENT_STATE_DRAINING
	case Unload:
		r := f.find(s)
		r.State = wire.ResidentState_RESIDENT_STATE_UNLOADING
		f.orders = append(f.orders, &order{resident: r, done: f.now, Order: &wire.Order{Endpoint: s.Endpoint, Kind: wire.OrderKind_ORDER_KIND_UNLOAD}})
	case Load:
		r := &wire.Resident{Endpoint: s.Endpoint, Model: s.Model, Version: s.Version, Adapter: s.Adapter, MemoryBytes: s.Memory, State: wire.ResidentState_RESIDENT_STATE_LOADING}
		f.residents = append(f.residents, r)
		duration := adapterLoadTime
		if s.Adapter == "" {
			f.loads++
			f.starts.Take()
			duration = modelLoadTime
		} else {
			f.adapters++
		}
		f.orders = append(f.orders, &order{resident: r, done: f.now + duration, Order: &wire.Order{Endpoint: s.Endpoint, Kind: wire.OrderKind_ORDER_KIND_LOAD, Adapter: s.Adapter}})
		f.overcommitted = f.overcommitted || f.charged(s.Endpoint) > engineMemory
	}
}

func (f *fleet) charged(id string) uint64 {
	var sum uint64
	for _, r := range f.residents {
		if r.Endpoint == id {
			sum += r.MemoryBytes
		}
	}
	return sum
}

// settle plans until nothing is unmet and no step or order is left. It returns the
// number of plans before that, or -1 if the limit is reached.
func (f *fleet) settle(d deployment, weight float64, limit int) int {
	for i := range limit {
		result := Plan(f.input(d, weight, nil))
		if len(result.Unmet) == 0 && len(result.Steps) == 0 && len(f.orders) == 0 {
			return i
		}
		f.execute(result.Steps)
	}
	return -1
}

// planUntilInService plans until nothing is unmet. It returns the time until then, or
// false if the limit is reached.
func (f *fleet) planUntilInService(d deployment, weight float64, limit time.Duration) (time.Duration, bool) {
	for start := f.now; f.now-start < limit; {
		result := Plan(f.input(d, weight, nil))
		if len(result.Unmet) == 0 {
			return f.now - start, true
		}
		f.execute(result.Steps)
	}
	return limit, false
}

// servedRate returns the number of requests per second that are answered in time.
func (f *fleet) servedRate(d deployment, demand map[string]float64) float64 {
	enginesOf := map[string][]string{}
	for _, r := range f.residents {
		if r.Adapter == "" && r.State == wire.ResidentState_RESIDENT_STATE_READY && f.endpoint(r.Endpoint).Reachable {
			enginesOf[r.Model] = append(enginesOf[r.Model], r.Endpoint)
		}
	}
	load := map[string]float64{}
	for _, s := range d.sections {
		for _, m := range s.Models {
			name := desired.FullName(s.Team, m.Name)
			for _, e := range enginesOf[name] {
				load[e] += demand[name] / float64(len(enginesOf[name]))
			}
		}
	}
	capacity := map[string]float64{}
	for _, e := range f.endpoints {
		capacity[e.Id] = engineRate
	}
	for _, o := range f.orders {
		if o.Kind == wire.OrderKind_ORDER_KIND_LOAD && o.Adapter == "" {
			capacity[o.Endpoint] = engineRate * loadingFactor
		}
	}
	sum := 0.0
	for _, e := range f.endpoints {
		sum += min(load[e.Id], capacity[e.Id])
	}
	return sum
}

// day is a demand curve over a day, with or without failures of engines.
type day struct {
	name string
	// level returns the demand for model i at a point of the day from 0 to 1.
	level func(i int, at float64) float64
	fails bool
}

// dayLength is a day compressed twelvefold.
const dayLength = 2 * time.Hour

// days returns a day with steady demand, one with bursts, and one with bursts and
// failures of engines.
func days(numModels, engines int) []day {
	rng := rand.New(rand.NewPCG(1, 2))
	base := make([]float64, numModels)
	burstStart := make([]float64, numModels)
	for i := range base {
		base[i] = 0.5 + rng.Float64()
		burstStart[i] = rng.Float64()
	}
	sum := 0.0
	for _, b := range base {
		sum += b
	}
	// The steady demand needs 40% of the capacity of all engines.
	scale := 0.4 * float64(engines*engineRate) / sum
	steady := func(i int, _ float64) float64 { return base[i] * scale }
	bursting := func(i int, at float64) float64 {
		level := 0.5 * base[i] * scale
		if from := burstStart[i]; at >= from && at < from+1.0/24 {
			return 10 * level
		}
		return level
	}
	return []day{{"steady", steady, false}, {"bursting", bursting, false}, {"failing", bursting, true}}
}
