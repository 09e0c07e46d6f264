package gateway

import (
	"fmt"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
)

// Outcomes of a wait for a slot, for the metric.
const (
	waitServed   = "served"
	waitRefused  = "refused"
	waitCanceled = "canceled"
)

// waiting returns what decides on the request after the wait. readAhead is how long the
// endpoint needs for the prompts of earlier requests.
func (q *request) waiting(waited, readAhead time.Duration, s *search) fleet.WaitingRequest {
	return fleet.WaitingRequest{
		Waited: waited, Limit: s.limit,
		Target: q.route.TargetLatency, TargetLeft: q.route.TargetLatency - (s.startedAt - q.arrived),
		FirstEvent: q.firstEventTime(readAhead), Priority: q.priority(), Excess: q.g.excess.of(q.shareKey()),
	}
}

// firstEventTime returns the expected time from the dispatch of the request to its response, or
// to the first event of a stream.
func (q *request) firstEventTime(readAhead time.Duration) time.Duration {
	switch {
	case q.requirements.Model == "":
		return 0
	case q.route.Kind == document.Stream:
		return fleet.FirstChunkTime + readAhead
	}
	return q.maxResponseTime() + readAhead
}

func (q *request) waitKey(r fleet.WaitingRequest) fleet.WaitKey {
	return fleet.WaitKey{Model: q.requirements.Model, Patient: r.Patient()}
}

func urgency(r fleet.WaitingRequest) string {
	if r.Patient() {
		return "patient"
	}
	return "urgent"
}

// recordWait records how a wait for a slot ended, if the request has waited.
func (q *request) recordWait(r fleet.WaitingRequest, outcome string) {
	if r.Waited == 0 {
		return
	}
	slotWaits.count(urgency(r), outcome)
	// A wait that the share of one workspace has failed says nothing of those of others.
	if outcome != waitCanceled && r.Excess <= 1 {
		q.g.waits.Record(q.waitKey(r), outcome == waitServed, q.g.clock())
	}
}

// refuseForSlots returns the error of a request for which no slot becomes free in time.
func (q *request) refuseForSlots(c fleet.Choice, r fleet.WaitingRequest, s *search) error {
	q.recordWait(r, waitRefused)
	bound := q.g.loads.BoundOf(c, q.requirements, q.g.clock())
	if s.heldByShare {
		bound = fleet.BoundShare
	}
	slotRefusals.count(urgency(r), bound)
	return fail.New(fail.Overloaded, describeOverload(c, r, bound)).WithRetryAfter(max(q.overloadRetryDelay(q.waitKey(r)), c.HeldOffUntil-q.g.clock()))
}

// describeOverload states why a request is refused: by what binds the endpoint with the most
// room, and the limit that applies to the request.
func describeOverload(c fleet.Choice, r fleet.WaitingRequest, bound fleet.Bound) string {
	return fmt.Sprintf("all endpoints of the service are at capacity: the best one at %.2f, with prompts ahead for %v, limit %.2f (%s, waited %v), bound by %s",
		c.Utilization, c.ReadAhead.Round(time.Millisecond), r.UtilizationLimit(), urgency(r), r.Waited.Round(time.Millisecond), bound)
}
