package fleetcontrol

import (
	"slices"
	"time"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

const (
	// grantMargin is how much older than a report of its gateway a grant must be for the
	// report to count its request.
	grantMargin = 50 * time.Millisecond
	// grantTTL is how long a grant counts if its gateway does not report.
	grantTTL = gatewayTimeout
	// roomRetry is when a gateway asks again for room at a brittle endpoint.
	roomRetry = 100 * time.Millisecond
)

// roomGrants holds, for each brittle endpoint, the permits whose requests the reports of
// gateways do not count yet. leaderState.mu guards it.
type roomGrants map[string][]roomGrant

type roomGrant struct {
	gateway string
	at      time.Duration
}

// takeRoom grants a request to a brittle endpoint if the endpoint surely has room for it. A
// bound on its rejections by all gateways is kept by giving each place once.
func (l *leaderState) takeRoom(r *wire.PermitRequest, now time.Duration) (ok bool, retryAfter time.Duration) {
	e := l.engines[r.Endpoint]
	if !r.Brittle || e == nil {
		return true, 0
	}
	if now-l.startedAt < l.reportLag() {
		// Not all gateways have told this leader yet what they have in flight.
		return false, roomRetry
	}
	grants := slices.DeleteFunc(l.roomGrants[r.Endpoint], func(x roomGrant) bool { return now-x.at > grantTTL })
	l.roomGrants[r.Endpoint] = grants
	used := int(l.loads[r.Endpoint].GetRunning()) + len(grants)
	if float64(used+1) > fleet.BrittleRoom*float64(max(e.listed.Slots, 1)) {
		permitsDenied.Inc()
		return false, roomRetry
	}
	l.roomGrants[r.Endpoint] = append(grants, roomGrant{r.Gateway, now})
	return true, 0
}

// countGranted drops the grants whose requests a report of the gateway counts, or whose
// requests have ended.
func (l *leaderState) countGranted(gateway string, now time.Duration) {
	for id, grants := range l.roomGrants {
		left := slices.DeleteFunc(grants, func(x roomGrant) bool { return x.gateway == gateway && now-x.at > grantMargin })
		if len(left) == 0 {
			delete(l.roomGrants, id)
		} else {
			l.roomGrants[id] = left
		}
	}
}
