package residency

import (
	"math"
	"strings"
	"time"
)

const (
	// fastTime and slowTime smooth the demand. Demand that moves on within
	// seconds must not hold replicas back from where it went.
	fastTimeConstant = 1200 * time.Millisecond
	slowTimeConstant = 3500 * time.Millisecond
	// reactionTime is how much later than its load time a replica is of use: the
	// demand is noticed late, and the plan and the unloads before it take time.
	reactionDelay = 1300 * time.Millisecond
	// maxRisePerSecond bounds how far a rising demand is extended, as a multiple
	// of the demand for each second.
	maxRisePerSecond = 0.4
	// chanceRise is how many standard deviations of a steady demand's own
	// fluctuation do not count as a rise.
	noiseDeviations = 1.0
	// forgottenDemand, in places, counts as none.
	negligibleDemand = 0.01
)

// Demand measures how many places of engines each model's requests occupy.
type Demand struct {
	models map[string]*average
	// began is when the first request was added; started is set then. Averages
	// that have run for less than their times are scaled up, so that a demand
	// that a new leader meets does not look like one that rises.
	began   time.Duration
	started bool
	// Adapters holds when each adapter, as model/adapter, was last asked for.
	adapters map[string]time.Duration
}

type average struct {
	fast, slow float64
	at         time.Duration
	// place is the average time, in seconds, for which one request occupies a
	// place.
	slotTime float64
}

// placeWeight is the share of the newest requests in the average place time.
const slotTimeWeight = 0.1

// NewDemand returns a measure without any demand.
func NewDemand() *Demand {
	return &Demand{models: map[string]*average{}, adapters: map[string]time.Duration{}}
}

// Add records requests that together occupy a place for the time.
func (d *Demand) Add(model, adapter string, requests int, slotTime, now time.Duration) {
	if !d.started {
		d.began, d.started = now, true
	}
	each := slotTime.Seconds() / float64(max(requests, 1))
	a := d.models[model]
	if a == nil {
		a = &average{at: now, slotTime: each}
		d.models[model] = a
	}
	a.decay(now)
	a.slotTime += slotTimeWeight * (each - a.slotTime)
	a.fast += slotTime.Seconds() / fastTimeConstant.Seconds()
	a.slow += slotTime.Seconds() / slowTimeConstant.Seconds()
	if adapter != "" {
		d.adapters[model+"/"+adapter] = now
	}
}

// Slots returns the demand for the model, in places.
func (d *Demand) Slots(model string, now time.Duration) float64 {
	a := d.models[model]
	if a == nil {
		return 0
	}
	a.decay(now)
	if a.fast < negligibleDemand {
		return 0
	}
	return a.fast * d.biasCorrection(fastTimeConstant, now)
}

// minObserved is the least time that averages count as having run; in less, a
// few requests would look like a high demand.
const minObservationTime = 400 * time.Millisecond

// scale returns what makes up for the time that an average has not run yet.
func (d *Demand) biasCorrection(smoothing, now time.Duration) float64 {
	observed := max(now-d.began, minObservationTime)
	return 1 / (1 - math.Exp(-observed.Seconds()/smoothing.Seconds()))
}

// Forecast returns the demand for the model, in places, that its rise leads to by
// the time at which a replica that is ordered now and takes the load time is of
// use. A rise that chance explains does not count.
func (d *Demand) Forecast(model string, load, now time.Duration) float64 {
	slots := d.Slots(model, now)
	if slots == 0 {
		return 0
	}
	a := d.models[model]
	slow := a.slow * d.biasCorrection(slowTimeConstant, now)
	noise := noiseDeviations * a.deviation(slow) * d.biasCorrection(fastTimeConstant, now)
	rise := (slots - slow - noise) / (slowTimeConstant - fastTimeConstant).Seconds()
	horizon := (reactionDelay + load).Seconds()
	return min(max(slots, slots+rise*horizon), (1+maxRisePerSecond*horizon)*slots)
}

// deviation returns the standard deviation of the fast average around the slow
// one while requests that occupy so many places arrive evenly at random.
func (a *average) deviation(slots float64) float64 {
	varianceFactor := 1/fastTimeConstant.Seconds() + 1/slowTimeConstant.Seconds() - 4/(fastTimeConstant+slowTimeConstant).Seconds()
	return math.Sqrt(slots * a.slotTime * varianceFactor / 2)
}

// recentAdapter is how long an adapter counts as in use after a request for it.
const recentAdapterTime = 6 * time.Second

// RecentAdapters returns how many adapters of each model were asked for lately.
func (d *Demand) RecentAdapters(now time.Duration) map[string]int {
	out := map[string]int{}
	for name, at := range d.adapters {
		if now-at > recentAdapterTime {
			continue
		}
		model, _, _ := strings.Cut(name, "/")
		out[model]++
	}
	return out
}

// AdapterLastRequested returns when the adapter was last asked for; false where never.
func (d *Demand) AdapterLastRequested(model, adapter string) (time.Duration, bool) {
	at, ok := d.adapters[model+"/"+adapter]
	return at, ok
}

func (a *average) decay(now time.Duration) {
	dt := (now - a.at).Seconds()
	if dt <= 0 {
		return
	}
	a.fast *= math.Exp(-dt / fastTimeConstant.Seconds())
	a.slow *= math.Exp(-dt / slowTimeConstant.Seconds())
	a.at = now
}

// StoreBudget bounds the loads from the weight store in any window.
type StoreBudget struct {
	rate   float64
	window time.Duration
	starts []time.Duration
}

// storeMargin of the store's rate is used, for the store counts starts a little
// later than they are ordered.
const storeRateFraction = 0.9

// NewStoreBudget returns a budget of loads a second over a window.
func NewStoreBudget(perSecond float64, window time.Duration) *StoreBudget {
	return &StoreBudget{rate: perSecond, window: window}
}

// SetRate changes the store's rate.
func (b *StoreBudget) SetRate(perSecond float64) { b.rate = perSecond }

// Left returns how many loads may start now.
func (b *StoreBudget) Left(now time.Duration) int {
	i := 0
	for i < len(b.starts) && b.starts[i] <= now-b.window {
		i++
	}
	b.starts = b.starts[i:]
	return max(int(b.rate*b.window.Seconds()*storeRateFraction)-len(b.starts), 0)
}

// Start counts one load that starts now.
func (b *StoreBudget) Start(now time.Duration) { b.starts = append(b.starts, now) }
