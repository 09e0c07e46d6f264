package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
)

const (
	// reserveTimeout bounds the wait for a reservation, and reserveKeep is how
	// long the place is kept for the request, which follows at once.
	reserveTimeout = 300 * time.Millisecond
	reservationTTL = 500 * time.Millisecond
)

// reserve takes a place at the endpoint where others may take the last ones
// meanwhile. It returns neither endpoint nor failure where there is none, or where
// the endpoint does not answer: then another look is due, for neither has run the
// request.
func (q *request) reserve(c fleet.Choice, s *search) (*fleet.Endpoint, error) {
	g := q.g
	q.reservation = ""
	if !c.Contended || q.maxReservation == 0 || g.deps.Reserver == nil {
		return c.Endpoint, nil
	}
	ctx, cancel := context.WithTimeout(q.ctx, reserveTimeout)
	defer cancel()
	id, err := g.deps.Reserver.Reserve(ctx, c.Endpoint.Address, c.Endpoint.ID, q.need.Tokens, min(reservationTTL, q.maxReservation))
	fields := logrus.Fields{"request": q.info.ID, "endpoint": c.Endpoint.ID, "use": c.Use}
	switch {
	case err != nil:
		reservations.count("failed")
		g.loads.Note(c.Endpoint.ID, fleet.Unreachable, g.clock())
		g.log.WithError(err).WithFields(fields).Info("place not reserved")
		if s.unresponsive++; s.unresponsive >= maxUnresponsive {
			return nil, fail.Wrap(err, fail.Unavailable, "no endpoint answers").WithRetryAfter(noEndpointRetryAfter)
		}
		return nil, nil
	case id == "":
		reservations.count("full")
		g.loads.Refused(c.Endpoint.ID)
		g.log.WithFields(fields).Debug("endpoint has no place")
		return nil, nil
	}
	reservations.count("taken")
	q.reservation = id
	return c.Endpoint, nil
}
