package placement

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// readyReplicas counts, by model, the ready replicas on reachable engines that are
// not leaving.
func (f *fleet) readyReplicas() map[string]int {
	out := map[string]int{}
	for _, r := range f.residents {
		e := f.endpoint(r.Endpoint)
		if r.Adapter == "" && r.State == wire.ResidentState_RESIDENT_STATE_READY && e.Reachable && !e.Leaving {
			out[r.Model]++
		}
	}
	return out
}

// TestPlanSettlesExamples checks that the example documents settle, with every
// model in two failure domains.
func TestPlanSettlesExamples(t *testing.T) {
	for _, d := range []deployment{ranmuthu(t), kalnins(t)} {
		f := newFleet(d)
		if ticks := f.settle(d, d.moveWeight, 300); ticks < 0 || f.overcommitted {
			t.Fatalf("%s: not settled after 300 plans, or an engine is overcommitted; unmet: %v", d.name, Plan(f.input(d, d.moveWeight, nil)).Unmet)
		}
		adapters := 0
		domains := map[string]map[string]bool{}
		for _, r := range f.residents {
			if r.Adapter != "" {
				adapters++
				continue
			}
			if domains[r.Model] == nil {
				domains[r.Model] = map[string]bool{}
			}
			domains[r.Model][f.endpoint(r.Endpoint).Domain] = true
		}
		for model, in := range domains {
			if len(in) < minSpreadReplicas {
				t.Errorf("%s: %s is in only %d failure domains, want at least minSpreadReplicas", d.name, model, len(in))
			}
		}
		if adapters < 240 {
			t.Errorf("%s: only %d resident adapters, want at least 240", d.name, adapters)
		}
	}
}

// TestPlanAfterEngineLoss disconnects an engine or a failure domain of a settled
// fleet. Everything must stay in service, and the return of the engines may cause
// at most one load for each model that lacks a spare replica.
func TestPlanAfterEngineLoss(t *testing.T) {
	for _, d := range []deployment{ranmuthu(t), kalnins(t)} {
		for _, lost := range []string{"engine-0000", "domain-0"} {
			f := newFleet(d)
			f.settle(d, d.moveWeight, 300)
			f.disconnect(func(e *wire.Endpoint) bool { return e.Id == lost || e.Domain == lost })
			before := f.loads
			const gracePlans = 60
			if elapsed, ok := f.planUntilInService(d, d.moveWeight, 10*time.Minute); !ok || elapsed != 0 {
				t.Errorf("%s without %s: in service after %v (within limit: %v), want at once", d.name, lost, elapsed, ok)
			}
			for range gracePlans {
				f.execute(Plan(f.input(d, d.moveWeight, nil)).Steps)
			}
			f.settle(d, d.moveWeight, 600)
			spareLoads := f.loads - before
			lacking := 0
			for _, n := range f.readyReplicas() {
				if n < minSpreadReplicas {
					lacking++
				}
			}
			f.restore()
			f.settle(d, d.moveWeight, 600)
			if returnLoads := f.loads - before - spareLoads; returnLoads > lacking {
				t.Errorf("%s: %d loads after %s returned, but only %d models lacked a replica", d.name, returnLoads, lost, lacking)
			}
		}
	}
}

// TestPlanBoundsLoadsUnderShiftingDemand moves a tenfold burst of demand from model
// to model. The number of loads is bounded by the number of bursts, and every
// model stays in service.
func TestPlanBoundsLoadsUnderShiftingDemand(t *testing.T) {
	d := ranmuthu(t)
	f := newFleet(d)
	f.settle(d, d.moveWeight, 300)
	settled := f.loads
	e := NewEstimator(f.now, time.Minute, 30*time.Minute)
	names := d.modelNames()
	const bursts, length = 12, 300
	for burst := range bursts {
		for range length {
			for i, name := range names {
				requests := uint64(1)
				if i == burst%len(names) {
					requests = 10
				}
				e.Add(name, requests)
			}
			f.execute(Plan(f.input(d, d.moveWeight, e.Advance(f.now+f.step))).Steps)
			for _, name := range names {
				if f.readyReplicas()[name] == 0 {
					t.Fatalf("%s is out of service", name)
				}
			}
		}
	}
	// A tenfold burst needs five replicas of two requests per second each.
	if burstLoads := f.loads - settled; burstLoads > bursts*5 {
		t.Errorf("%d loads in %d bursts, want at most 5 for each burst", burstLoads, bursts)
	}
}

func (d deployment) modelNames() []string {
	var out []string
	for _, s := range d.sections {
		for _, m := range s.Models {
			out = append(out, desired.FullName(s.Team, m.Name))
		}
	}
	return out
}

// TestPlanAvoidsUnstableEngine checks that a new model is not loaded on an unstable
// engine while another one has memory for it.
func TestPlanAvoidsUnstableEngine(t *testing.T) {
	d := ranmuthu(t)
	f := newFleet(d)
	f.settle(d, d.moveWeight, 300)
	in := f.input(d, d.moveWeight, nil)
	d.sections[0].Models[0].Version = "next"
	first := Plan(in).Steps[0]
	if first.Action != Load || first.Version != "next" {
		t.Fatalf("first step is %+v, want a load of version next", first)
	}
	in.Health[first.Endpoint] = Health{Unstable: true}
	if second := Plan(in).Steps[0]; second.Endpoint == first.Endpoint {
		t.Errorf("a new model is loaded on an unstable engine while others have memory")
	}
}

// TestPlanWithOrdersToPausedEngines checks that loads open on paused engines,
// as many as the weight store allows, do not use up the load budget.
func TestPlanWithOrdersToPausedEngines(t *testing.T) {
	d := ranmuthu(t)
	f := newFleet(d)
	for i := range d.modelLoads {
		f.endpoints[i].Reachable = false
		f.orders = append(f.orders, &order{done: time.Hour, Order: &wire.Order{Endpoint: f.endpoints[i].Id, Kind: wire.OrderKind_ORDER_KIND_LOAD}})
	}
	if steps := Plan(f.input(d, d.moveWeight, nil)).Steps; len(steps) == 0 {
		t.Error("no step planned while paused engines have open load orders")
	}
}

// TestPlanDocumentChangesWithLittleMemory applies a sequence of random documents,
// each of which fits with one replica of everything, to a small fleet. No engine may
// be overcommitted, no declared model that served may ever be without a replica, and
// every declared item must be in service or unmet for lack of memory.
func TestPlanDocumentChangesWithLittleMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := deployment{name: "small", engines: 4, domains: 2, modelLoads: 2, adapterLoads: 4, loadRate: 2}
		f := newFleet(d)
		for range rapid.IntRange(1, 4).Draw(t, "documents") {
			d.sections = []*desired.Section{drawSection(t)}
			served := f.readyReplicas()
			var result Result
			for range 120 {
				result = Plan(f.input(d, 0.5, nil))
				f.execute(result.Steps)
				if f.overcommitted {
					t.Fatal("an engine is overcommitted")
				}
				for _, name := range d.modelNames() {
					if served[name] > 0 && f.readyReplicas()[name] == 0 {
						t.Fatalf("%s went out of service", name)
					}
				}
			}
			for _, u := range result.Unmet {
				if !strings.Contains(u.Reason, "MiB") && !strings.Contains(u.Reason, "its model is not in service") && !strings.Contains(u.Reason, "no replica of its model has memory") {
					t.Fatalf("%s %s is unmet for another reason than lack of memory: %s", u.Model, u.Adapter, u.Reason)
				}
			}
			if len(result.Unmet) > 0 && d.memoryBytes() < 2*engineMemory {
				t.Fatalf("the documents need less than half of the memory, but unmet are %v", result.Unmet)
			}
		}
	})
}

// memoryBytes returns the memory that one replica of everything needs.
func (d deployment) memoryBytes() uint64 {
	var sum uint64
	for _, s := range d.sections {
		for _, m := range s.Models {
			sum += (m.MemoryMB + m.HeadroomMB) * bytesPerMB
			for _, a := range m.Adapters {
				sum += a.MemoryMB * bytesPerMB
			}
		}
	}
	return sum
}

func drawSection(t *rapid.T) *desired.Section {
	s := &desired.Section{Team: "t"}
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		m := desired.Model{
			Name: fmt.Sprintf("m%d", i), Version: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "version")),
			MemoryMB: rapid.SampledFrom([]uint64{10000, 20000, 38000}).Draw(t, "memory"),
		}
		m.Version += fmt.Sprint("-", m.MemoryMB)
		if rapid.Bool().Draw(t, "adapter") {
			m.Adapters = []desired.Adapter{{Name: "a", Version: "1", MemoryMB: 1000}}
		}
		s.Models = append(s.Models, m)
	}
	return s
}
