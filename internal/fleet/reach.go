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
