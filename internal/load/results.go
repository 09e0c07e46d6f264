package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"parsleyramp/internal/fail"
)

// Range and precision of the latency histograms, in microseconds. Values outside
// the range are recorded as its nearest bound.
const (
	lowestMicros      = 1
	highestMicros     = 300_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// classResults accumulates the results of one class.
type classResults struct {
	offered, complete, attained int
	firstToken, betweenTokens   *hdrhistogram.Histogram
}

type failureKey struct {
	class string
	code  fail.Code
	ran   fail.Ran
}

// secondResults accumulates the results of the requests scheduled in one second.
type secondResults struct {
	offered, attained, rejected, broken int
	firstToken                          *hdrhistogram.Histogram
}

// results accumulates the outcomes of a run. It is safe for concurrent use.
type results struct {
	options Options
	start   time.Time

	mu          sync.Mutex
	classes     map[string]*classResults
	failures    map[failureKey]int
	seconds     []*secondResults
	retries     int
	mismatched  int
	failed      int
	tokens      int
	maxLateness time.Duration
	deferred    DeferredReport
}

func newResults(o Options, start time.Time) *results {
	r := &results{options: o, start: start, classes: map[string]*classResults{}, failures: map[failureKey]int{}}
	for range int((o.Demand.Duration + time.Second - 1) / time.Second) {
		r.seconds = append(r.seconds, &secondResults{firstToken: newHistogram()})
	}
	for _, c := range o.Demand.Shape.Classes {
		r.classes[c.Name] = &classResults{firstToken: newHistogram(), betweenTokens: newHistogram()}
	}
	return r
}

// attained reports whether the response was complete and within the targets of
// its class: the time to first token and the 95th percentile of the times
// between tokens. A deferred request attains its target once it is accepted.
func attained(o outcome, firstToken time.Duration) bool {
	class := o.arrival.Class
	if !o.response.complete {
		return false
	}
	if class.FinishBy != "" {
		return true
	}
	return firstToken <= time.Duration(class.FirstTokenMS)*time.Millisecond &&
		quantile(o.response.gaps, 0.95) <= time.Duration(class.BetweenTokensMS)*time.Millisecond
}

// quantile returns the sorted value at index q*len(values), or the maximum.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (r *results) add(o outcome) {
	firstToken := o.response.firstToken.Sub(r.start.Add(o.arrival.At))
	withinTargets := attained(o, firstToken)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[o.arrival.Class.Name]
	s := r.seconds[min(int(o.arrival.At/time.Second), len(r.seconds)-1)]
	c.offered++
	s.offered++
	r.retries += o.retries
	r.maxLateness = max(r.maxLateness, o.sentAt-o.arrival.At)
	for _, a := range o.failures {
		r.failures[failureKey{o.arrival.Class.Name, a.code, a.ran}]++
		if a.code == codeMismatched {
			r.mismatched++
		}
	}
	if !o.response.complete {
		r.failed++
		if o.response.ran == fail.RanNo {
			s.rejected++
		} else {
			s.broken++
		}
		return
	}
	c.complete++
	if withinTargets {
		c.attained++
		s.attained++
	}
	if o.arrival.Class.FinishBy != "" {
		r.deferred.Accepted++
		return
	}
	r.tokens += o.arrival.MaxTokens
	record(c.firstToken, firstToken)
	record(s.firstToken, firstToken)
	for _, g := range o.response.gaps {
		record(c.betweenTokens, g)
	}
}

func (r *results) addDeferred(matches bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if matches {
		r.deferred.Done++
	} else {
		r.deferred.Wrong++
	}
}

func (r *results) totals() (complete, attained, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.classes {
		complete += c.complete
		attained += c.attained
	}
	return complete, attained, r.failed
}

// report returns the report of the accumulated results.
func (r *results) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.options.Demand
	out := &Report{
		Shape: d.Shape.Name, Scenario: d.Scenario.Name, Policy: r.options.Policy, Seed: d.Seed, RatePerSecond: d.Rate,
		DurationSeconds: d.Duration.Seconds(), Accelerators: d.Shape.Accelerators(), Marks: r.options.Marks,
		Retries: r.retries, Mismatched: r.mismatched, Failed: r.failed, Tokens: r.tokens, GeneratorLateMS: toMS(r.maxLateness), Deferred: r.deferred,
	}
	all := newHistogram()
	between := newHistogram()
	for _, share := range d.Shape.Classes {
		c := r.classes[share.Name]
		out.Offered += c.offered
		out.Complete += c.complete
		out.Attained += c.attained
		all.Merge(c.firstToken)
		between.Merge(c.betweenTokens)
		out.Classes = append(out.Classes, ClassReport{
			Name: share.Name, Offered: c.offered, Complete: c.complete, Attained: c.attained,
			FirstTokenMS: quantiles(c.firstToken), BetweenTokensMS: quantiles(c.betweenTokens),
		})
	}
	out.FirstTokenMS, out.BetweenTokensMS = quantiles(all), quantiles(between)
	out.AttainedShare = share(out.Attained, out.Offered)
	out.AttainedPerAcceleratorSecond = float64(out.Attained) / d.Duration.Seconds() / float64(max(1, out.Accelerators))
	for _, q := range curveQuantiles {
		out.FirstTokenCurve = append(out.FirstTokenCurve, CurvePoint{Quantile: q, MS: microsToMS(all.ValueAtQuantile(q))})
	}
	for k, n := range r.failures {
		out.FailedAttempts = append(out.FailedAttempts, FailureReport{Class: k.class, Code: string(k.code), Ran: string(k.ran), Count: n})
	}
	slices.SortFunc(out.FailedAttempts, func(a, b FailureReport) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Ran, b.Ran))
	})
	for _, s := range r.seconds {
		out.Timeline = append(out.Timeline, SecondReport{
			Offered: s.offered, Attained: s.attained, Rejected: s.rejected, Broken: s.broken, FirstTokenP95MS: microsToMS(s.firstToken.ValueAtQuantile(95)),
		})
	}
	return out
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func microsToMS(v int64) float64 { return float64(v) / 1000 }

func toMS(d time.Duration) float64 { return microsToMS(d.Microseconds()) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: microsToMS(h.ValueAtQuantile(50)), P95: microsToMS(h.ValueAtQuantile(95)), P99: microsToMS(h.ValueAtQuantile(99)), Max: microsToMS(h.Max())}
}
