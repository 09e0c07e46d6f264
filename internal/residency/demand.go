package residency

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// fastTimeConstant and slowTimeConstant are the time constants of the moving
	// averages of the demand. They are short so that demand that has shifted to
	// another model does not keep replicas from it.
	fastTimeConstant = 1200 * time.Millisecond
	slowTimeConstant = 3500 * time.Millisecond
	// reactionDelay is the delay, beside the load time, until a replica serves
	// requests: demand is measured with a delay, and planning and unloading take
	// time.
	reactionDelay = 1300 * time.Millisecond
	// maxRisePerSecond bounds the extrapolated rise of demand, as a share of the
	// current demand per second.
	maxRisePerSecond = 0.4
	// maxRise bounds the extrapolated demand, as a multiple of the current demand.
	maxRise = 2.5
	// noiseDeviations is how many standard deviations of the fluctuation of a
	// steady demand are not considered a rise.
	noiseDeviations = 1.0
	// negligibleDemand is the demand, in slots, below which there is considered to
	// be none.
	negligibleDemand = 0.01
)

// Demand measures how many slots of engines the requests of each model occupy.
type Demand struct {
	models map[string]*average
	// began is when the first request was added; started is set then. Averages
	// that have run for less than their time constant are corrected for it, so that
	// existing demand does not look like a rise to a new leader.
	began   time.Duration
	started bool
	// adapters holds when each adapter, as model/adapter, was last requested.
	adapters map[string]time.Duration
}

type average struct {
	fast, slow float64
	// urgent is the part of fast that is of requests with a short target latency.
	urgent float64
	at     time.Duration
	// target is the shortest target latency within targetMemory, as of targetAt; zero if it
	// is not known.
	target, targetAt time.Duration
	// slotTime is the average time, in seconds, for which one request occupies a
	// slot.
	slotTime float64
}

// targetMemory is how long the shortest target latency of the requests for a model counts. It
// is several times as long as the averages, so that a model that urgent requests ask for now
// and then stays urgent between them.
const targetMemory = 10 * time.Second

// Requests are requests of clients for one model or adapter.
type Requests struct {
	Model, Adapter string
	Count          int
	// SlotTime is how long they occupy a slot together, and UrgentSlotTime the part of it that
	// is of requests with a short target latency.
	SlotTime, UrgentSlotTime time.Duration
	// Target is the shortest target latency; zero if it is not known.
	Target time.Duration
}

// slotTimeWeight is the weight of the newest requests in the average slot time.
const slotTimeWeight = 0.1

// NewDemand returns a Demand without any requests.
func NewDemand() *Demand {
	return &Demand{models: map[string]*average{}, adapters: map[string]time.Duration{}}
}

// Observed returns for how long demand has been measured.
func (d *Demand) Observed(now time.Duration) time.Duration {
	if !d.started {
		return 0
	}
	return now - d.began
}

// Add records requests that together occupy a slot for slotTime, and whose urgency is not
// known: they count as urgent.
func (d *Demand) Add(model, adapter string, requests int, slotTime, now time.Duration) {
	d.Record(Requests{Model: model, Adapter: adapter, Count: requests, SlotTime: slotTime, UrgentSlotTime: slotTime}, now)
}

// Record records requests.
func (d *Demand) Record(r Requests, now time.Duration) {
	if !d.started {
		d.began, d.started = now, true
	}
	each := r.SlotTime.Seconds() / float64(max(r.Count, 1))
	a := d.models[r.Model]
	if a == nil {
		a = &average{at: now, slotTime: each, target: r.Target, targetAt: now}
		d.models[r.Model] = a
	}
	a.decay(now)
	a.slotTime += slotTimeWeight * (each - a.slotTime)
	a.fast += r.SlotTime.Seconds() / fastTimeConstant.Seconds()
	a.urgent += r.UrgentSlotTime.Seconds() / fastTimeConstant.Seconds()
	a.slow += r.SlotTime.Seconds() / slowTimeConstant.Seconds()
	if r.Target <= a.target || now-a.targetAt > targetMemory {
		a.target, a.targetAt = r.Target, now
	}
	if r.Adapter != "" {
		d.adapters[r.Model+"/"+r.Adapter] = now
	}
}

// RequestAdapter records that a request waits for the adapter, ahead of the report of its
// demand.
func (d *Demand) RequestAdapter(model, adapter string, now time.Duration) {
	d.adapters[model+"/"+adapter] = now
}

// SlotTime returns the average time for which a request for the model occupies a slot; zero
// if there was none.
func (d *Demand) SlotTime(model string) time.Duration {
	a := d.models[model]
	if a == nil {
		return 0
	}
	return time.Duration(a.slotTime * float64(time.Second))
}

// Slots returns the demand for the model, in slots.
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

// UrgentSlots returns the part of the demand for the model, in slots, that is of requests with
// a short target latency.
func (d *Demand) UrgentSlots(model string, now time.Duration) float64 {
	a := d.models[model]
	if a == nil {
		return 0
	}
	a.decay(now)
	if a.urgent < negligibleDemand {
		return 0
	}
	return a.urgent * d.biasCorrection(fastTimeConstant, now)
}

// Patience returns the shortest target latency of the recent requests for the model; zero if
// it is not known.
func (d *Demand) Patience(model string) time.Duration {
	if a := d.models[model]; a != nil {
		return a.target
	}
	return 0
}

// minObservationTime is the lower bound of the time over which averages are assumed
// to have run. Over less, a few requests would look like a high demand.
const minObservationTime = 400 * time.Millisecond

// biasCorrection returns the factor that corrects an average with the time constant
// for having started at zero.
func (d *Demand) biasCorrection(timeConstant, now time.Duration) float64 {
	observed := max(now-d.began, minObservationTime)
	return 1 / (1 - math.Exp(-observed.Seconds()/timeConstant.Seconds()))
}

// Forecast returns the expected demand for the model, in slots, at the time at which
// a replica with this load time serves requests if it is ordered now. A rise within
// the noise of a steady demand is ignored.
func (d *Demand) Forecast(model string, loadTime, now time.Duration) float64 {
	slots := d.Slots(model, now)
	if slots == 0 {
		return 0
	}
	a := d.models[model]
	slow := a.slow * d.biasCorrection(slowTimeConstant, now)
	noise := noiseDeviations * a.deviation(slow) * d.biasCorrection(fastTimeConstant, now)
	rise := (slots - slow - noise) / (slowTimeConstant - fastTimeConstant).Seconds()
	horizon := (reactionDelay + loadTime).Seconds()
	return min(max(slots, slots+rise*horizon), min(1+maxRisePerSecond*horizon, maxRise)*slots)
}

// deviation returns the standard deviation of the fast average around the slow one
// for requests that occupy this many slots on average and arrive as a Poisson
// process.
func (a *average) deviation(slots float64) float64 {
	varianceFactor := 1/fastTimeConstant.Seconds() + 1/slowTimeConstant.Seconds() - 4/(fastTimeConstant+slowTimeConstant).Seconds()
	return math.Sqrt(slots * a.slotTime * varianceFactor / 2)
}

// recentAdapterTime is how long an adapter is considered in use after a request for
// it.
const recentAdapterTime = 6 * time.Second

// adapterMemory is how long a request for an adapter is remembered. Clients choose the names,
// so they have to be forgotten.
const adapterMemory = time.Minute

// RecentAdapters returns how many adapters of each model were requested within
// recentAdapterTime, and forgets those that were not within adapterMemory.
func (d *Demand) RecentAdapters(now time.Duration) map[string]int {
	maps.DeleteFunc(d.adapters, func(_ string, at time.Duration) bool { return now-at > adapterMemory })
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

// AdapterLastRequested returns when the adapter was last requested, or false if never.
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
	a.urgent *= math.Exp(-dt / fastTimeConstant.Seconds())
	a.slow *= math.Exp(-dt / slowTimeConstant.Seconds())
	a.at = now
}

// StoreBudget bounds the number of loads from the weight store in any window.
type StoreBudget struct {
	rate   float64
	window time.Duration
	starts []time.Duration
}

// NewStoreBudget returns a budget of loads per second over a window.
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
	return max(b.size()-len(b.starts), 0)
}

// LeftForIdle returns how many loads of models that nobody uses may start now. They leave
// half of the budget to the models that are used next.
func (b *StoreBudget) LeftForIdle(now time.Duration) int { return max(b.Left(now)-b.size()/2, 0) }

// size returns how many loads may start in one window.
func (b *StoreBudget) size() int { return int(b.rate * b.window.Seconds()) }

// Start records a load that starts now.
func (b *StoreBudget) Start(now time.Duration) { b.starts = append(b.starts, now) }

// Refund returns a load that was recorded at the time: its order has not been accepted.
func (b *StoreBudget) Refund(at time.Duration) {
	if i := slices.Index(b.starts, at); i >= 0 {
		b.starts = slices.Delete(b.starts, i, i+1)
	}
}
