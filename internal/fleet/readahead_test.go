package fleet

import (
	"slices"
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

// readingEngine prefills prompts one after the other.
type readingEngine struct {
	perToken time.Duration
	// idleAt is when it has read all prompts.
	idleAt time.Duration
}

func (r *readingEngine) begin(tokens int, now time.Duration) (firstEvent time.Duration) {
	r.idleAt = max(r.idleAt, now) + time.Duration(tokens)*r.perToken
	return r.idleAt
}

// TestBurstOfLongPromptsKeepsFirstEventsOnTime plays twice as many long prompts on one model as
// its two engines can prefill, with slots to spare. Those that are sent have to begin on time,
// and the engines have to be kept at work.
func TestBurstOfLongPromptsKeepsFirstEventsOnTime(t *testing.T) {
	const (
		prompt   = 2400
		perToken = 50 * time.Microsecond
		target   = 800 * time.Millisecond
		interval = 30 * time.Millisecond
		requests = 600
	)
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m")), engine("b", "d1", held("m"))}})
	for _, e := range v.Endpoints {
		e.Slots = 64
	}
	l := NewLoads(sequentialDraws())
	counts := Counts{Running: []uint32{0, 0}, TokenUnits: []uint32{0, 0}, UnreadUnits: []uint32{0, 0}, PerUnit: []time.Duration{perToken * TokenUnit, perToken * TokenUnit}}
	if !l.SetOthers(v.Endpoints, counts) {
		t.Fatal("SetOthers rejected the counts")
	}
	engines := map[string]*readingEngine{"a": {perToken: perToken}, "b": {perToken: perToken}}
	type begun struct {
		endpoint string
		at       time.Duration
	}
	var pending []begun
	req := requirements
	req.FirstEventTarget = target
	sent, onTime := 0, 0
	for i := range requests {
		now := time.Duration(i) * interval
		pending = slices.DeleteFunc(pending, func(b begun) bool {
			if b.at > now {
				return false
			}
			l.EndPrefill(b.endpoint, prompt)
			l.End(b.endpoint, prompt)
			return true
		})
		c := l.Choose(v, req, nil, now)
		if DecideOnSlot(c.Utilization, 0, target) != Dispatch {
			continue
		}
		sent++
		l.Begin(c.Endpoint.ID, prompt, prompt, now)
		at := engines[c.Endpoint.ID].begin(prompt, now)
		pending = append(pending, begun{c.Endpoint.ID, at})
		if at-now <= target {
			onTime++
		}
	}
	possible := int(2 * requests * interval / (prompt * perToken))
	if onTime < sent*95/100 {
		t.Errorf("%d of %d requests sent began on time, want 95 in 100", onTime, sent)
	}
	if sent < possible*9/10 {
		t.Errorf("%d requests sent, want 90 in 100 of the %d that the engines can read", sent, possible)
	}
}

func TestPatientRequestsDoNotFillTheQueueOfUrgentOnes(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	l.SetOthers(v.Endpoints, Counts{Running: []uint32{1}, TokenUnits: []uint32{4}, UnreadUnits: []uint32{4}, PerUnit: []time.Duration{200 * time.Millisecond}})
	req := requirements
	req.FirstEventTarget = 10 * time.Second
	if c := l.Choose(v, req, nil, 0); c.Utilization < 1 {
		t.Errorf("utilization %.2f for a patient request behind 0.8 s of prompts, want a full endpoint", c.Utilization)
	}
}

func TestUnknownReadingTimeKeepsNoRequestAway(t *testing.T) {
	v := NewView(&wire.FleetView{Endpoints: []*wire.FleetEndpoint{engine("a", "d1", held("m"))}})
	l := NewLoads(sequentialDraws())
	l.SetOthers(v.Endpoints, Counts{Running: []uint32{2}, TokenUnits: []uint32{100}, UnreadUnits: []uint32{100}, PerUnit: []time.Duration{0}})
	req := requirements
	req.FirstEventTarget = time.Second
	if c := l.Choose(v, req, nil, 0); c.Utilization >= 1 {
		t.Errorf("utilization %.2f, want an endpoint with room: how long it takes is not known", c.Utilization)
	}
}
