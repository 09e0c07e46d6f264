package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// minArrivals is the least number of arrivals that a choice among plain endpoints allows
	// for: endpoints that differ by less than half a request are equally good.
	minArrivals = 0.5
	// roomUtilization is the estimated utilization up to which a plain endpoint has room: few
	// requests wait there for a slot, so another failure domain serves none of them sooner.
	roomUtilization = 0.75
	// queueTimeShare is the share of the target latency, less the service time, that a request
	// may spend in the queue of a plain endpoint; the rest covers transfer and the error of old
	// counts. maxQueuedPerSlot bounds the queued requests for each slot, because the length of
	// the queue is not declared.
	queueTimeShare   = 0.4
	maxQueuedPerSlot = 2.0
	// drawSteps is the resolution of a random choice among plain endpoints.
	drawSteps = 1 << 16
)

// plainService is what a gateway knows of a plain service.
type plainService struct {
	// samples counts the requests in seconds, the moving average of how long one occupies a slot.
	samples int
	seconds float64
	// mean is the share of the slots that the other gateways used by the last counts.
	mean float64
}

// known reports whether the service time is known.
func (p *plainService) known() bool {
	return p != nil && p.samples >= minServiceTimeSamples && p.seconds > 0
}

// RecordPlain records that a request of a plain service took the time at the endpoint. load is
// what Begin returned: where more requests than slots were in flight, a part of the time passed
// in the endpoint's queue.
func (l *Loads) RecordPlain(e *Endpoint, load Load, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.plain[e.Service]
	if p == nil {
		p = &plainService{mean: l.meanUtilization[e.Service]}
		l.plain[e.Service] = p
	}
	p.samples++
	seconds := took.Seconds() / queueFactor(float64(load.Running), e)
	p.seconds += max(serviceTimeWeight, 1/float64(p.samples)) * (seconds - p.seconds)
}

// queueFactor returns by how much the queue of an endpoint prolongs the stay of a request.
func queueFactor(running float64, e *Endpoint) float64 {
	return max(1, running/float64(max(e.Slots, 1)))
}

// plainRunning returns how many requests are in flight at an endpoint of a plain service, as
// estimated from the counts of the other gateways. The counts lose weight with their age,
// relative to how long requests stay, in favor of the mean of the service: how many requests
// there are in all changes more slowly than which endpoint has them. The gateway's own
// requests count in full. l.mu must be held.
func (l *Loads) plainRunning(e *Endpoint, load Load, now time.Duration) float64 {
	total, p := float64(load.Running), l.chosenFrom
	if l.stale || !p.known() {
		return total
	}
	others := total - float64(l.own[e.ID].Running)
	stay := p.seconds * queueFactor(total, e)
	weight := decay(max(now-l.countedAt, 0).Seconds() / stay)
	mean := p.mean * float64(e.Slots)
	return total - others + mean + weight*(others-mean)
}

// decay returns exp(-x) within 0.03, from the first terms of the series of exp(x), which spares
// each choice an exponential for each endpoint.
func decay(x float64) float64 { return 1 / (1 + x*(1+x*(1+x/3)/2)) }

// setMeanUtilizations sets the share of the slots of each service that the other gateways use.
// An endpoint counts as no more than full, so that the queue of a failing one does not make
// the others look full. l.mu must be held.
func (l *Loads) setMeanUtilizations(endpoints []*Endpoint) {
	slots, running := map[string]int{}, map[string]int{}
	for _, e := range endpoints {
		slots[e.Service] += e.Slots
		running[e.Service] += min(l.others[e.ID].Running, e.Slots)
	}
	l.meanUtilization = make(map[string]float64, len(slots))
	for service, n := range slots {
		l.meanUtilization[service] = float64(running[service]) / float64(max(n, 1))
	}
	for service, p := range l.plain {
		p.mean = l.meanUtilization[service]
	}
}

// expectedArrivals returns how many requests the other gateways have sent to the endpoints
// since their counts were taken, as estimated from the requests in flight: of each occupied
// slot, one in a service time. It is zero if the service time is not known. l.mu must be held.
func (l *Loads) expectedArrivals(choices []pricedChoice, now time.Duration) float64 {
	p := l.chosenFrom
	if l.stale || !p.known() {
		return 0
	}
	busy := 0.0
	for i := range choices {
		busy += min(choices[i].Utilization, 1) * float64(choices[i].Endpoint.Slots)
	}
	return busy * max(now-l.countedAt, 0).Seconds() / p.seconds
}

// pickPlain returns an endpoint of a plain service. l.mu must be held.
func (l *Loads) pickPlain(choices []pricedChoice, req Requirements, now time.Duration) (Choice, float64) {
	arrivals := l.expectedArrivals(choices, now)
	limit := max(l.lowestCost(choices).cost, suspectCost)
	choices = slices.DeleteFunc(choices, func(c pricedChoice) bool { return c.cost > limit })
	least, own := math.Inf(1), false
	for i := range choices {
		least = min(least, l.roomUsed(choices[i], req, now))
		own = own || choices[i].hasOwnRoom(req)
	}
	if own {
		choices = slices.DeleteFunc(choices, func(c pricedChoice) bool { return !c.hasOwnRoom(req) })
	}
	c := l.fill(choices, arrivals+minArrivals)
	c.Utilization = least
	return c.Choice, c.cost
}

// roomUsed returns the utilization of the endpoint's slots and of the part of its queue in
// which requests wait no longer than their target allows. The queue serves whichever request
// came first as soon as a slot is free, which a request that waits at a gateway learns later.
// l.mu must be held.
func (l *Loads) roomUsed(c pricedChoice, req Requirements, now time.Duration) float64 {
	id := c.Endpoint.ID
	_, brittle := l.brittleLocked(c.Endpoint.Service, now)
	p := l.plain[c.Endpoint.Service]
	if brittle || l.stale || l.full[id] || c.HeldOffUntil > now || !p.known() {
		return c.Utilization
	}
	spare := req.Target.Seconds() - p.seconds
	queued := min(max(queueTimeShare*spare/p.seconds, 0), maxQueuedPerSlot)
	return c.Utilization / (1 + queued)
}

// hasOwnRoom reports whether the endpoint is in the request's own failure domain and has room.
func (c *pricedChoice) hasOwnRoom(req Requirements) bool {
	return c.cost <= roomUtilization && c.Endpoint.Domain == req.Domain
}

// fill returns one of the endpoints at random, such that the arrivals would level their costs
// as far as possible: each is chosen in proportion to what it lacks of the common level (Dahlin,
// "Interpreting Stale Load Information", 1999). With few arrivals it is the cheapest one, with
// many each one as often. l.mu must be held.
func (l *Loads) fill(choices []pricedChoice, arrivals float64) pricedChoice {
	level, filled := math.Inf(1), 0
	for {
		slots, costs, below := 0.0, 0.0, 0
		for i := range choices {
			if c := &choices[i]; c.cost < level {
				slots += c.slots()
				costs += c.slots() * c.cost
				below++
			}
		}
		if below == filled {
			break
		}
		level, filled = (arrivals+costs)/slots, below
	}
	left := float64(l.draw(drawSteps)) / drawSteps * arrivals
	last := 0
	for i := range choices {
		c := &choices[i]
		if c.cost >= level {
			continue
		}
		last = i
		if left -= c.slots() * (level - c.cost); left < 0 {
			break
		}
	}
	return choices[last]
}

func (c *pricedChoice) slots() float64 { return float64(max(c.Endpoint.Slots, 1)) }

// lowestCost returns the choice of the lowest cost, one of several at random: if it were the
// first, all gateways would choose the same. l.mu must be held.
func (l *Loads) lowestCost(choices []pricedChoice) *pricedChoice {
	best, ties := &choices[0], 1
	for i := 1; i < len(choices); i++ {
		c := &choices[i]
		switch {
		case c.cost < best.cost:
			best, ties = c, 1
		case c.cost == best.cost:
			if ties++; l.draw(ties) == 0 {
				best = c
			}
		}
	}
	return best
}
