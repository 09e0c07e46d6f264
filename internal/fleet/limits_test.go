package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/wire"
)

// limitedFleet simulates gateways that send a steady load to engines, some of which have a
// limit. A permit takes no time, and counts of other gateways are exact.
type limitedFleet struct {
	random   *rand.Rand
	now      time.Duration
	view     *View
	loads    []*Loads
	buckets  map[string]*ratelimit.Bucket
	ends     endHeap
	arrivals map[string][]time.Duration
	// ignore is set if the gateways ignore limits.
	ignore          bool
	served, refused int
}

type endOfRequest struct {
	at       time.Duration
	gateway  int
	endpoint string
}

type endHeap []endOfRequest

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(endOfRequest)) }
func (h *endHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Load of the simulated fleet, that of a small site.
const (
	limitedGateways = 9
	limitedEngines  = 18
	limitedLoad     = 100.0 // requests a second
	limitedLength   = 30 * time.Second
	limitedWork     = 500 * time.Millisecond
)

// playLimited plays the load with a limit at the first engines.
func playLimited(limited int, perSecond float64, ignore bool) *limitedFleet {
	f := &limitedFleet{random: rand.New(rand.NewPCG(1, uint64(limited))), buckets: map[string]*ratelimit.Bucket{}, arrivals: map[string][]time.Duration{}, ignore: ignore}
	w := &wire.FleetView{}
	for i := range limitedEngines {
		e := &wire.FleetEndpoint{Id: fmt.Sprintf("e%02d", i), Service: "s", Slots: 32, Domain: fmt.Sprint(i % 3)}
		if i < limited {
			e.Limited, e.PerSecond = true, perSecond
			f.buckets[e.Id] = ratelimit.NewBucket(0)
		}
		w.Endpoints = append(w.Endpoints, e)
	}
	f.view = NewView(w)
	for range limitedGateways {
		f.loads = append(f.loads, NewLoads(f.random.IntN))
	}
	for f.now < limitedLength {
		f.now += time.Duration(f.random.ExpFloat64() / limitedLoad * float64(time.Second))
		f.endRequests()
		f.send(f.random.IntN(limitedGateways))
	}
	return f
}

func (f *limitedFleet) endRequests() {
	for len(f.ends) > 0 && f.ends[0].at <= f.now {
		x := heap.Pop(&f.ends).(endOfRequest)
		f.loads[x.gateway].End(x.endpoint, 1)
	}
}

// send sends a request where its gateway chooses, or refuses it.
func (f *limitedFleet) send(gateway int) {
	l := f.loads[gateway]
	for {
		c := l.Choose(f.view, Requirements{Service: "s", Domain: fmt.Sprint(gateway % 3)}, nil, f.now)
		if c.Utilization >= 1 {
			f.refused++
			return
		}
		if b := f.buckets[c.Endpoint.ID]; b != nil && !f.ignore {
			if ok, retryAfter := b.Take(c.Endpoint.PerSecond, f.now); !ok {
				l.HoldOff(c.Endpoint.ID, f.now+retryAfter, f.now)
				continue
			}
		}
		l.Begin(c.Endpoint.ID, 1, 0, f.now)
		heap.Push(&f.ends, endOfRequest{f.now + limitedWork, gateway, c.Endpoint.ID})
		f.arrivals[c.Endpoint.ID] = append(f.arrivals[c.Endpoint.ID], f.now)
		f.served++
		return
	}
}

// mostInFourSeconds returns the most requests in any 4 s at an engine with a limit.
func (f *limitedFleet) mostInFourSeconds() int {
	most := 0
	for id := range f.buckets {
		for i, from := range f.arrivals[id] {
			end, _ := slices.BinarySearch(f.arrivals[id], from+4*time.Second)
			most = max(most, end-i)
		}
	}
	return most
}

// TestCallersAreServedBesideLimits compares what callers get of one load without limits, with
// two engines and with all engines that name one, and what the engines get of gateways that
// ignore it.
func TestCallersAreServedBesideLimits(t *testing.T) {
	const perSecond, allowed = 2.0, 17
	free := playLimited(0, 0, false)
	few, ignored := playLimited(2, perSecond, false), playLimited(2, perSecond, true)
	all := playLimited(limitedEngines, perSecond, false)
	t.Logf("served %d without limits, %d beside two, %d by engines that all have one", free.served, few.served, all.served)
	if few.refused > 0 || free.refused > 0 {
		t.Errorf("%d requests refused beside two limits, %d without any, want none", few.refused, free.refused)
	}
	if got := few.mostInFourSeconds(); got > allowed {
		t.Errorf("%d requests in 4 s, %d are allowed", got, allowed)
	}
	if got := ignored.mostInFourSeconds(); got <= allowed {
		t.Errorf("%d requests in 4 s of gateways that ignore limits, want a load that breaks them", got)
	}
	if got := all.mostInFourSeconds(); got > allowed {
		t.Errorf("%d requests in 4 s, %d are allowed", got, allowed)
	}
	if want := 0.9 * perSecond * limitedEngines * limitedLength.Seconds(); float64(all.served) < want {
		t.Errorf("%d requests served by engines that all have a limit, want %g", all.served, want)
	}
	for _, e := range few.view.Endpoints[:2] {
		if got, want := float64(len(few.arrivals[e.ID])), 0.5*perSecond*limitedLength.Seconds(); got < want {
			t.Errorf("%g requests at %s beside free engines, want %g or more", got, e.ID, want)
		}
	}
}
