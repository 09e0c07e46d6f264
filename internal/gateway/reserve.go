package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
)

const (
	// reserveTimeout bounds the wait for a reservation, and reservationTTL is how
	// long the slot stays reserved. The request is sent right after it.
	reserveTimeout = 300 * time.Millisecond
	reservationTTL = 500 * time.Millisecond
)

// reserve reserves a slot at the endpoint if other gateways may occupy the last
// slots meanwhile. At one with a limit, and at a brittle one, permits keep them away. It returns neither an endpoint nor an error if no slot is free,
// the endpoint does not respond or the request is canceled: the request has not run in
// any case, and selectEndpoint goes on.
func (q *request) reserve(c fleet.Choice, s *search) (*fleet.Endpoint, error) {
	g := q.g
	q.reservation = ""
	_, limited := g.limitOf(c.Endpoint)
	_, brittle := g.loads.Brittle(c.Endpoint.Service, g.clock())
	if limited || brittle || !c.Contended || q.maxReservation == 0 || g.deps.Reserver == nil {
		return c.Endpoint, nil
	}
	q.state.setPhase(phaseReserving)
	defer q.state.setPhase(phaseSelecting)
	ctx, cancel := context.WithTimeout(q.ctx, reserveTimeout)
	defer cancel()
	id, err := g.deps.Reserver.Reserve(ctx, c.Endpoint.Address, c.Endpoint.ID, q.requirements.Tokens, min(reservationTTL, q.maxReservation))
	fields := logrus.Fields{"request": q.info.ID, "endpoint": c.Endpoint.ID, "use": c.Utilization}
	switch {
	case err != nil && q.ctx.Err() != nil:
		return nil, nil
	case err != nil:
		reservations.count("failed")
		g.loads.Record(c.Endpoint.ID, fleet.Unreachable, g.clock())
		g.log.WithError(err).WithFields(fields).Info("slot reservation failed")
		if s.unresponsive++; s.unresponsive >= maxUnresponsive {
			return nil, fail.Wrap(err, fail.Unavailable, "no endpoint responds").WithRetryAfter(noEndpointRetryAfter)
		}
		return nil, nil
	case id == "":
		reservations.count("full")
		g.loads.MarkFull(c.Endpoint.ID)
		g.log.WithFields(fields).Debug("slot reservation rejected: no free slot at the endpoint")
		return nil, nil
	}
	reservations.count("taken")
	q.reservation = id
	return c.Endpoint, nil
}
