package fleet

import "time"

// Group is the endpoints of a service in one failure domain.
type Group struct{ Service, Domain string }

// GroupOf returns the endpoint's group.
func GroupOf(e *Endpoint) Group { return Group{e.Service, e.Domain} }

const (
	// failureWindow is how long a failure to reach an endpoint counts. After failures at
	// minFailures endpoints of a group, or at all of a smaller one, the gateway checks whether
	// it still reaches any.
	failureWindow = 1500 * time.Millisecond
	minFailures   = 2
	// soundCheckInterval is the least time between two checks of a group within reach, and
	// cutCheckInterval that between two checks of one that is out of reach.
	soundCheckInterval = time.Second
	cutCheckInterval   = 400 * time.Millisecond
	// confirmations is how many checks in a row must reach most of a sample before a group
	// that was out of reach is within reach.
	confirmations = 2
)

// Reach decides which groups of endpoints a gateway does not reach. Its zero value reaches
// all. It is not safe for concurrent use.
type Reach struct{ groups map[Group]*groupReach }

type groupReach struct {
	// failures holds when each endpoint was last not reached.
	failures map[string]time.Duration
	// suspected is set if the group is to be checked without failures of its own.
	suspected   bool
	checking    bool
	nextCheckAt time.Duration
	cut         bool
	// confirmed counts the last checks in a row that reached most of a sample.
	confirmed int
}

func (r *Reach) of(g Group) *groupReach {
	if r.groups == nil {
		r.groups = map[Group]*groupReach{}
	}
	x := r.groups[g]
	if x == nil {
		x = &groupReach{failures: map[string]time.Duration{}}
		r.groups[g] = x
	}
	return x
}

// RecordFailure records that an endpoint of the group was not reached.
func (r *Reach) RecordFailure(g Group, endpoint string, now time.Duration) {
	r.of(g).failures[endpoint] = now
}

// Due returns the groups to check now, of those whose sizes are given. A check of each is
// then under way until RecordCheck.
func (r *Reach) Due(sizes map[Group]int, now time.Duration) []Group {
	var out []Group
	for g, size := range sizes {
		x := r.of(g)
		if x.checking || now < x.nextCheckAt || !x.cut && !x.doubtful(size, now) {
			continue
		}
		x.checking = true
		out = append(out, g)
	}
	for g := range r.groups {
		if sizes[g] == 0 {
			delete(r.groups, g)
		}
	}
	return out
}

// doubtful reports whether the group may be out of reach.
func (x *groupReach) doubtful(size int, now time.Duration) bool {
	for id, at := range x.failures {
		if now-at > failureWindow {
			delete(x.failures, id)
		}
	}
	return x.suspected || len(x.failures) >= min(minFailures, size)
}

// Check is the result of a check of a group: how many endpoints of a sample accepted a
// connection.
type Check struct{ Accepted, Sampled int }

// RecordCheck records a check of the group. It reports whether the group has come out of
// reach or within reach by that. If it has come out of reach, all other groups are suspected: a
// gateway mostly loses all of them together.
func (r *Reach) RecordCheck(g Group, c Check, now time.Duration) (changed bool) {
	x := r.of(g)
	x.checking, x.suspected = false, false
	x.confirmed++
	if 2*c.Accepted <= c.Sampled {
		x.confirmed = 0
	}
	was := x.cut
	x.cut = c.Accepted == 0 || was && x.confirmed < confirmations
	changed = x.cut != was
	clear(x.failures)
	x.nextCheckAt = now + soundCheckInterval
	if x.cut {
		x.nextCheckAt = now + cutCheckInterval
	}
	if changed && x.cut {
		for other, y := range r.groups {
			if other != g {
				y.suspected, y.nextCheckAt = true, now
			}
		}
	}
	return changed
}

// Cut reports whether the group is out of reach.
func (r *Reach) Cut(g Group) bool {
	x := r.groups[g]
	return x != nil && x.cut
}

// AnyCut reports whether any group is out of reach.
func (r *Reach) AnyCut() bool {
	for _, x := range r.groups {
		if x.cut {
			return true
		}
	}
	return false
}

// silentGroupAfter is how long no endpoint of a group may have sent a byte, while responses of
// several are pending, before the gateway checks whether it reaches any.
const silentGroupAfter = 400 * time.Millisecond

// SilentGroups returns the endpoints with pending responses of the groups of which none has
// sent a byte for silentGroupAfter.
func (l *Loads) SilentGroups(v *View, now time.Duration) []*Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := map[Group][]*Endpoint{}
	heard := map[Group]bool{}
	for id, s := range l.responses {
		e := v.Endpoint(id)
		if e == nil {
			continue
		}
		g := GroupOf(e)
		pending[g] = append(pending[g], e)
		heard[g] = heard[g] || now-s.lastReceived <= silentGroupAfter
	}
	var out []*Endpoint
	for g, endpoints := range pending {
		if !heard[g] {
			out = append(out, endpoints...)
		}
	}
	return out
}

// SetOutOfReach replaces the endpoints, of all, that this gateway does not reach.
func (l *Loads) SetOutOfReach(endpoints map[string]bool, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outOfReach = nil
	if 2*len(endpoints) > all {
		l.outOfReach = endpoints
	}
}

// OutOfReach reports whether this gateway does not reach the endpoint.
func (l *Loads) OutOfReach(endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outOfReach[endpoint]
}

// OutOfReachCount returns the number of endpoints that this gateway does not reach.
func (l *Loads) OutOfReachCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outOfReach)
}

// AllOutOfReach reports whether this gateway reaches none of the endpoints that meet the
// requirements; if there are none, none of the service's.
func (l *Loads) AllOutOfReach(v *View, req Requirements, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outOfReach) == 0 {
		return false
	}
	var service, meeting reachCount
	for _, e := range v.Service(req.Service) {
		if l.closed(e, now) {
			continue
		}
		service.add(l.outOfReach[e.ID])
		if e.Serves(req.Model, req.Adapter) && l.runsVersion(e, req.Version, now) {
			meeting.add(l.outOfReach[e.ID])
		}
	}
	if meeting.endpoints > 0 {
		return meeting.none()
	}
	return service.none()
}

// reachCount counts endpoints, and those of them that are reached.
type reachCount struct{ endpoints, reached int }

func (c *reachCount) add(outOfReach bool) {
	c.endpoints++
	if !outOfReach {
		c.reached++
	}
}

func (c *reachCount) none() bool { return c.endpoints > 0 && c.reached == 0 }
