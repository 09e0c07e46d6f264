package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/wire"
)

const (
	hoursOfDay = 24
	// compressedShort and compressedLong are the averaging windows, shortened by
	// the same factor as dayLength.
	compressedShort = ShortWindow / 12
	compressedLong  = LongWindow / 12
	// pollInterval is the leader's default time between two polls.
	pollInterval = 250 * time.Millisecond
)

// BenchmarkDay runs compressed days of both deployments under each policy. A move
// is a load of a model; loads of adapters are reported separately.
func BenchmarkDay(b *testing.B) {
	for _, d := range []deployment{ranmuthu(b), kalnins(b)} {
		for _, day := range days(len(d.modelNames()), d.engines) {
			for _, p := range policies() {
				b.Run(fmt.Sprintf("%s/%s/%s", d.name, day.name, p.name), func(b *testing.B) {
					for b.Loop() {
						runDay(b, d, day, p)
					}
				})
			}
		}
	}
}

func runDay(b *testing.B, d deployment, day day, p policy) {
	f := newFleet(d)
	e := NewEstimator(0, compressedShort, compressedLong)
	names := d.modelNames()
	var offered, attained float64
	unreachable := 0
	warmup := 5 * time.Minute
	remainder := make([]float64, len(names))
	for f.now < warmup+dayLength {
		if f.now == warmup {
			f.loads, f.adapters = 0, 0
		}
		at := max(0, float64(f.now-warmup)/float64(dayLength))
		if day.fails {
			f.failAt(at)
		}
		demand := map[string]float64{}
		for i, name := range names {
			demand[name] = day.level(i, at)
			remainder[i] += demand[name] * f.step.Seconds()
			e.Add(name, uint64(remainder[i]))
			remainder[i] -= float64(uint64(remainder[i]))
			if f.now >= warmup {
				offered += demand[name]
			}
		}
		if f.now >= warmup {
			attained += f.servedRate(d, demand)
			if len(f.readyReplicas()) < len(names) {
				unreachable++
			}
		}
		f.execute(p.plan(f, d, e.Advance(f.now+f.step)))
	}
	if f.overcommitted {
		b.Fatal("an engine is overcommitted")
	}
	b.ReportMetric(float64(f.loads)/hoursOfDay, "moves/h")
	b.ReportMetric(float64(f.adapters)/hoursOfDay, "adapter-loads/h")
	b.ReportMetric(100*attained/offered, "%attained")
	b.ReportMetric(attained/dayLength.Seconds()/float64(d.engines), "attained/s/engine")
	b.ReportMetric(float64(unreachable)*f.step.Seconds(), "s-with-a-model-unreachable")
}

// failAt applies the failures of a day. One engine is unreachable from 6 to 7
// o'clock and one failure domain from 12 to 13; they return with empty memory. One
// engine flaps from 18 to 22, unreachable in every other interval of 20 s.
func (f *fleet) failAt(at float64) {
	hour := at * hoursOfDay
	lost := func(e *wire.Endpoint) bool {
		switch {
		case hour >= 6 && hour < 7:
			return e.Id == "engine-0001"
		case hour >= 12 && hour < 13:
			return e.Domain == "domain-0"
		case hour >= 18 && hour < 22:
			return e.Id == "engine-0002" && int(f.now/(20*time.Second))%2 == 0
		}
		return false
	}
	back := false
	for _, e := range f.endpoints {
		back = back || (!e.Reachable && !lost(e))
	}
	if back {
		f.restore()
	}
	f.disconnect(func(e *wire.Endpoint) bool { return e.Reachable && lost(e) })
}

// BenchmarkRecovery measures the time until everything is in service again after
// the loss of an engine or a failure domain. Every model starts with a single
// replica, so that the loss leaves models without one.
func BenchmarkRecovery(b *testing.B) {
	for _, d := range []deployment{ranmuthu(b), kalnins(b)} {
		for _, lost := range []string{"engine-0000", "domain-0"} {
			b.Run(d.name+"/"+lost, func(b *testing.B) {
				for b.Loop() {
					f := newFleet(d)
					f.settle(d, d.moveWeight, 300)
					f.keepOneReplica()
					f.step = pollInterval
					f.disconnect(func(e *wire.Endpoint) bool { return e.Id == lost || e.Domain == lost })
					missing := len(d.modelNames()) - len(f.readyReplicas())
					models, all := f.recover(b, d)
					b.ReportMetric(float64(missing), "models-to-load")
					b.ReportMetric(float64(missing)/d.loadRate*1.3, "s-goal")
					b.ReportMetric(models.Seconds(), "s-to-models")
					b.ReportMetric(all.Seconds(), "s-to-adapters")
				}
			})
		}
	}
}

// recover plans until nothing is unmet. It returns the time until every model is
// in service and the time until every adapter is too.
func (f *fleet) recover(b *testing.B, d deployment) (models, all time.Duration) {
	start := f.now
	for f.now-start < 10*time.Minute {
		if models == 0 && len(f.readyReplicas()) == len(d.modelNames()) {
			models = f.now - start
		}
		result := Plan(f.input(d, d.moveWeight, nil))
		if len(result.Unmet) == 0 {
			return models, f.now - start
		}
		f.execute(result.Steps)
	}
	b.Fatal("not everything is in service after 10 minutes")
	return 0, 0
}

// keepOneReplica removes all but the first replica of every model.
func (f *fleet) keepOneReplica() {
	retainedOn := map[string]string{}
	var retained []*wire.Resident
	for _, r := range f.residents {
		if retainedOn[r.Model] == "" {
			retainedOn[r.Model] = r.Endpoint
		}
		if retainedOn[r.Model] == r.Endpoint {
			retained = append(retained, r)
		}
	}
	f.residents = retained
}

// BenchmarkPlan measures one plan of a settled fleet after the demand for every
// tenth model has risen tenfold, and one plan after the loss of a failure domain,
// at three fleet sizes.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ engines, models, domains int }{{22, 20, 4}, {220, 120, 4}, {2200, 390, 13}} {
		d := deployment{
			name: "grown", engines: size.engines, domains: size.domains, modelLoads: 3 * size.engines / 22,
			adapterLoads: 24 * size.engines / 22, loadRate: float64(3 * size.engines / 22),
		}
		section := &desired.Section{Team: "t"}
		for i := range size.models {
			m := desired.Model{Name: fmt.Sprintf("m%d", i), Version: "1", MemoryMB: uint64(6000 + 3000*(i%5))}
			for a := range 6 {
				m.Adapters = append(m.Adapters, desired.Adapter{Name: fmt.Sprintf("a%d", a), Version: "1", MemoryMB: 100})
			}
			section.Models = append(section.Models, m)
		}
		d.sections = []*desired.Section{section}
		f := newFleet(d)
		demand := map[string]Demand{}
		for i, name := range d.modelNames() {
			rate := float64(size.engines*engineRate) * 0.4 / float64(size.models) * (0.5 + float64(i%3)/2)
			demand[name] = Demand{Short: rate, Long: rate}
		}
		for range 400 {
			steps := Plan(f.input(d, 0.5, demand)).Steps
			if len(steps) == 0 && len(f.orders) == 0 {
				break
			}
			f.execute(steps)
		}
		shifted := map[string]Demand{}
		for i, name := range d.modelNames() {
			shifted[name] = demand[name]
			if i%10 == 0 {
				shifted[name] = Demand{Short: 10 * demand[name].Short, Long: 10 * demand[name].Long}
			}
		}
		b.Run(fmt.Sprintf("demand/%d-engines/%d-models", size.engines, size.models), func(b *testing.B) {
			benchPlan(b, f, d, shifted)
		})
		f.disconnect(func(e *wire.Endpoint) bool { return e.Domain == "domain-0" })
		f.now += time.Minute
		b.Run(fmt.Sprintf("domain-lost/%d-engines/%d-models", size.engines, size.models), func(b *testing.B) {
			benchPlan(b, f, d, demand)
		})
	}
}

func benchPlan(b *testing.B, f *fleet, d deployment, demand map[string]Demand) {
	in := f.input(d, 0.5, demand)
	steps := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		steps = len(Plan(in).Steps)
		n++
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(n)/bytesPerMB, "MiB/plan")
	b.ReportMetric(float64(steps), "steps")
	b.ReportMetric(float64(len(f.residents)), "residents")
}
