package residency

import (
	"math"
	"strings"
	"time"
)

const (
	// fastTime and slowTime smooth the demand. Demand that moves on within
	// seconds must not hold replicas back from where it went.
	fastTime = 1200 * time.Millisecond
	slowTime = 3500 * time.Millisecond
	// reactionTime is how much later than its load time a replica is of use: the
	// demand is noticed late, and the plan and the unloads before it take time.
	reactionTime = 1300 * time.Millisecond
	// maxRisePerSecond bounds how far a rising demand is extended, as a multiple
	// of the demand for each second.
	maxRisePerSecond = 0.4
	// chanceRise is how many standard deviations of a steady demand's own
	// fluctuation do not count as a rise.
	chanceRise = 1.0
	// forgottenDemand, in places, counts as none.
	forgottenDemand = 0.01
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
	place float64
}

// placeWeight is the share of the newest requests in the average place time.
const placeWeight = 0.1

// NewDemand returns a measure without any demand.
func NewDemand() *Demand {
	return &Demand{models: map[string]*average{}, adapters: map[string]time.Duration{}}
}

// Add records requests that together occupy a place for the time.
func (d *Demand) Add(model, adapter string, requests int, place, now time.Duration) {
	if !d.started {
		d.began, d.started = now, true
	}
	each := place.Seconds() / float64(max(requests, 1))
	a := d.models[model]
	if a == nil {
		a = &average{at: now, place: each}
		d.models[model] = a
	}
	a.decay(now)
	a.place += placeWeight * (each - a.place)
	a.fast += place.Seconds() / fastTime.Seconds()
	a.slow += place.Seconds() / slowTime.Seconds()
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
	if a.fast < forgottenDemand {
		return 0
	}
	return a.fast * d.scale(fastTime, now)
}

// minObserved is the least time that averages count as having run; in less, a
// few requests would look like a high demand.
const minObserved = 400 * time.Millisecond

// scale returns what makes up for the time that an average has not run yet.
func (d *Demand) scale(smoothing, now time.Duration) float64 {
	observed := max(now-d.began, minObserved)
	return 1 / (1 - math.Exp(-observed.Seconds()/smoothing.Seconds()))
}

// Forecast returns the demand for the model, in places, that its rise leads to by
// the time at which a replica that is ordered now and takes the load time is of
// use. A rise that chance explains does not count.
func (d *Demand) Forecast(model string, load, now time.Duration) float64 {
	places := d.Slots(model, now)
	if places == 0 {
		return 0
	}
	a := d.models[model]
	slow := a.slow * d.scale(slowTime, now)
	chance := chanceRise * a.deviation(slow) * d.scale(fastTime, now)
	rise := (places - slow - chance) / (slowTime - fastTime).Seconds()
	lead := (reactionTime + load).Seconds()
	return min(max(places, places+rise*lead), (1+maxRisePerSecond*lead)*places)
}

// deviation returns the standard deviation of the fast average around the slow
// one while requests that occupy so many places arrive evenly at random.
func (a *average) deviation(places float64) float64 {
	apart := 1/fastTime.Seconds() + 1/slowTime.Seconds() - 4/(fastTime+slowTime).Seconds()
	return math.Sqrt(places * a.place * apart / 2)
}

// recentAdapter is how long an adapter counts as in use after a request for it.
const recentAdapter = 6 * time.Second

// RecentAdapters returns how many adapters of each model were asked for lately.
func (d *Demand) RecentAdapters(now time.Duration) map[string]int {
	out := map[string]int{}
	for name, at := range d.adapters {
		if now-at > recentAdapter {
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
	a.fast *= math.Exp(-dt / fastTime.Seconds())
	a.slow *= math.Exp(-dt / slowTime.Seconds())
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
const storeMargin = 0.9

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
	return max(int(b.rate*b.window.Seconds()*storeMargin)-len(b.starts), 0)
}

// Start counts one load that starts now.
func (b *StoreBudget) Start(now time.Duration) { b.starts = append(b.starts, now) }
