package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"parsleyramp/internal/fail"
)

// Range and precision of the histograms, which hold microseconds.
const (
	lowestMicros  = 1
	highestMicros = 300_000_000
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// classResults is what came of the requests of one class.
type classResults struct {
	offered, whole, attained int
	first, between           *hdrhistogram.Histogram
}

type refusalKey struct {
	class string
	code  fail.Code
	ran   fail.Ran
}

// second is what came of the requests that were scheduled in one second.
type second struct {
	offered, attained, refused, broken int
	first                              *hdrhistogram.Histogram
}

// results collects outcomes.
type results struct {
	options Options
	start   time.Time

	mu        sync.Mutex
	classes   map[string]*classResults
	refusals  map[refusalKey]int
	seconds   []*second
	retries   int
	foreign   int
	failed    int
	tokens    int
	late      time.Duration
	overnight DeferredReport
}

func newResults(o Options, start time.Time) *results {
	r := &results{options: o, start: start, classes: map[string]*classResults{}, refusals: map[refusalKey]int{}}
	for range int((o.Demand.Duration + time.Second - 1) / time.Second) {
		r.seconds = append(r.seconds, &second{first: newHistogram()})
	}
	for _, c := range o.Demand.Shape.Classes {
		r.classes[c.Name] = &classResults{first: newHistogram(), between: newHistogram()}
	}
	return r
}

// attained reports whether the answer was whole and within the targets of its
// class: the first token, and 95 of 100 times between two tokens.
func attained(o outcome, first time.Duration) bool {
	class := o.arrival.Class
	if !o.answer.whole {
		return false
	}
	if class.FinishBy != "" {
		return true
	}
	return first <= time.Duration(class.FirstTokenMS)*time.Millisecond &&
		quantile(o.answer.gaps, 0.95) <= time.Duration(class.BetweenTokensMS)*time.Millisecond
}

// quantile returns the smallest value that the share q of the values does not exceed.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (r *results) add(o outcome) {
	first := o.answer.first.Sub(r.start.Add(o.arrival.At))
	met := attained(o, first)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[o.arrival.Class.Name]
	s := r.seconds[min(int(o.arrival.At/time.Second), len(r.seconds)-1)]
	c.offered++
	s.offered++
	r.retries += o.retries
	r.late = max(r.late, o.started-o.arrival.At)
	for _, a := range o.refusals {
		r.refusals[refusalKey{o.arrival.Class.Name, a.code, a.ran}]++
		if a.code == codeForeign {
			r.foreign++
		}
	}
	if !o.answer.whole {
		r.failed++
		if o.answer.ran == fail.RanNo {
			s.refused++
		} else {
			s.broken++
		}
		return
	}
	c.whole++
	if met {
		c.attained++
		s.attained++
	}
	if o.arrival.Class.FinishBy != "" {
		r.overnight.Accepted++
		return
	}
	r.tokens += o.arrival.MaxTokens
	record(c.first, first)
	record(s.first, first)
	for _, g := range o.answer.gaps {
		record(c.between, g)
	}
}

func (r *results) overnightDone(own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own {
		r.overnight.Done++
	} else {
		r.overnight.Wrong++
	}
}

func (r *results) totals() (whole, attained, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		whole += c.whole
		attained += c.attained
	}
	return whole, attained, r.failed
}

// report sums up what was collected.
func (r *results) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.options.Demand
	out := &Report{
		Shape: d.Shape.Name, Scenario: d.Scenario.Name, Policy: r.options.Policy, Seed: d.Seed, RatePerSecond: d.Rate,
		DurationSeconds: d.Duration.Seconds(), Accelerators: d.Shape.Accelerators(), Marks: r.options.Marks,
		Retries: r.retries, Mismatched: r.foreign, Failed: r.failed, Tokens: r.tokens, GeneratorLateMS: milliseconds(r.late), Deferred: r.overnight,
	}
	all := newHistogram()
	between := newHistogram()
	for _, share := range d.Shape.Classes {
		c := r.classes[share.Name]
		out.Offered += c.offered
		out.Whole += c.whole
		out.Attained += c.attained
		all.Merge(c.first)
		between.Merge(c.between)
		out.Classes = append(out.Classes, ClassReport{
			Name: share.Name, Offered: c.offered, Whole: c.whole, Attained: c.attained,
			FirstTokenMS: quantiles(c.first), BetweenTokensMS: quantiles(c.between),
		})
	}
	out.FirstTokenMS, out.BetweenTokensMS = quantiles(all), quantiles(between)
	out.AttainedShare = share(out.Attained, out.Offered)
	out.AttainedPerAcceleratorSecond = float64(out.Attained) / d.Duration.Seconds() / float64(max(1, out.Accelerators))
	for _, q := range curveQuantiles {
		out.FirstTokenCurve = append(out.FirstTokenCurve, CurvePoint{Quantile: q, MS: micros(all.ValueAtQuantile(q))})
	}
	for k, n := range r.refusals {
		out.FailedAttempts = append(out.FailedAttempts, FailureReport{Class: k.class, Code: string(k.code), Ran: string(k.ran), Count: n})
	}
	slices.SortFunc(out.FailedAttempts, func(a, b FailureReport) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Ran, b.Ran))
	})
	for _, s := range r.seconds {
		out.Timeline = append(out.Timeline, SecondReport{
			Offered: s.offered, Attained: s.attained, Refused: s.refused, Broken: s.broken, FirstTokenP95MS: micros(s.first.ValueAtQuantile(95)),
		})
	}
	return out
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func micros(v int64) float64 { return float64(v) / 1000 }

func milliseconds(d time.Duration) float64 { return micros(d.Microseconds()) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: micros(h.ValueAtQuantile(50)), P95: micros(h.ValueAtQuantile(95)), P99: micros(h.ValueAtQuantile(99)), Max: micros(h.Max())}
}
