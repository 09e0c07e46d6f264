// Package routing chooses the endpoint of a request. It does no I/O; time and
// the seed of the randomness are passed in.
package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Policy says by what endpoints are chosen.
type Policy string

// Policies.
const (
	// Owner compares two replicas by what their owners last said and by what
	// this entry has sent since; it keeps prompts with a common prefix together.
	Owner Policy = "owner"
	// RoundRobin takes the replicas in turn.
	RoundRobin Policy = "round_robin"
	// LeastInFlight takes the replica to which this entry alone has sent the
	// fewest attempts that are in flight.
	LeastInFlight Policy = "least_in_flight"
)

// Valid reports whether the policy is known.
func (p Policy) Valid() bool { return p == Owner || p == RoundRobin || p == LeastInFlight }

// Replica is an endpoint that could run the request.
type Replica struct {
	Endpoint string
	Owner    string
	Domain   string
	Slots    int
	// Unreachable replicas could not be reached by control.
	Unreachable bool
	// hash of Endpoint, for affinity.
	hash uint64
}

// NewReplica returns a replica with its hash.
func NewReplica(endpoint, owner, domain string, slots int, doubtful bool) Replica {
	return Replica{Endpoint: endpoint, Owner: owner, Domain: domain, Slots: max(1, slots), Unreachable: doubtful, hash: hashString(endpoint)}
}

// Load is what the owner of an endpoint said of it.
type Load struct {
	InFlight int
	Queued   int
}

// Query is what a choice depends on.
type Query struct {
	// Group names the replicas, for policies that take turns.
	Group string
	// Prefix is the digest of the prompt's beginning; zero for no affinity.
	Prefix uint64
	// Tried holds the endpoints that failed this request already.
	Tried []string
	// FailedDomains holds the failure domains in which it failed.
	FailedDomains []string
	// Isolated asks for an endpoint with as little in flight as can be found.
	Isolated bool
}

const (
	// reportHalfLife is the age at which half of a reported load is gone.
	reportHalfLife = time.Second
	// doubtTime is how long an endpoint or owner that failed is avoided.
	failureAvoidance = 2 * time.Second
	// affinitySlack is by how much, in units of its slots, the preferred
	// replica's load may exceed the better of two others.
	affinitySlack   = 0.25
	defaultSamples  = 2
	isolatedSamples = 6
)

// Penalties order choices before load does.
const (
	failedDomainPenalty = 1e3
	unreachablePenalty  = 1e6
)

// Table is what one entry knows of the endpoints' loads. A choice costs the
// same however many endpoints there are, but for the baselines. It is not safe
// for concurrent use.
type Table struct {
	policy Policy
	rng    *rand.Rand
	loads  map[string]*endpointLoad
	// failed is when an endpoint or owner last could not be reached.
	failedAt    map[string]time.Duration
	nextReplica map[string]int
}

// known is one endpoint's last report with what was sent since.
type endpointLoad struct {
	inFlight   int
	reported   Load
	reportedAt time.Duration
	// sentThen is the value of sent at the report.
	inFlightAtReport int
}

// NewTable returns an empty table.
func NewTable(policy Policy, seed uint64) *Table {
	return &Table{
		policy: policy, rng: rand.New(rand.NewPCG(seed, 1)),
		loads: map[string]*endpointLoad{}, failedAt: map[string]time.Duration{}, nextReplica: map[string]int{},
	}
}

func (t *Table) loadOf(endpoint string) *endpointLoad {
	l := t.loads[endpoint]
	if l == nil {
		l = &endpointLoad{}
		t.loads[endpoint] = l
	}
	return l
}

// AddInFlight notes n more attempts in flight to the endpoint, or fewer where n < 0.
func (t *Table) AddInFlight(endpoint string, n int) { t.loadOf(endpoint).inFlight += n }

// UpdateLoad takes what the owner said of the endpoint now.
func (t *Table) UpdateLoad(now time.Duration, endpoint string, load Load) {
	e := t.loadOf(endpoint)
	e.reported, e.reportedAt, e.inFlightAtReport = load, now, e.inFlight
}

// RecordFailure notes that an endpoint, or an owner by its name, could not be reached.
func (t *Table) RecordFailure(now time.Duration, name string) { t.failedAt[name] = now }

// RecordSuccess ends the doubt about an endpoint or owner.
func (t *Table) RecordSuccess(name string) { delete(t.failedAt, name) }

// DropMissing drops what is known of endpoints that are gone.
func (t *Table) DropMissing(exists func(string) bool) {
	for id, l := range t.loads {
		if !exists(id) && l.inFlight == 0 {
			delete(t.loads, id)
		}
	}
	for name := range t.failedAt {
		if !exists(name) {
			delete(t.failedAt, name)
		}
	}
}

// pressure estimates the load in units of the replica's slots. An old report
// counts less; what this entry itself has in flight is certain.
func (t *Table) utilization(now time.Duration, r *Replica) float64 {
	l := t.loads[r.Endpoint]
	if l == nil {
		return 0
	}
	decay := math.Exp2(-float64(now-l.reportedAt) / float64(reportHalfLife))
	estimate := float64(l.reported.InFlight+l.reported.Queued)*decay + float64(l.inFlight-l.inFlightAtReport)
	return max(estimate, float64(l.inFlight)) / float64(r.Slots)
}

func (t *Table) unreachable(now time.Duration, r *Replica) bool {
	for _, name := range [...]string{r.Endpoint, r.Owner} {
		if at, ok := t.failedAt[name]; ok && now-at < failureAvoidance {
			return true
		}
	}
	return r.Unreachable
}

func (t *Table) cost(now time.Duration, r *Replica, q *Query) float64 {
	cost := t.utilization(now, r)
	for _, d := range q.FailedDomains {
		if d == r.Domain {
			cost += failedDomainPenalty
			break
		}
	}
	if t.unreachable(now, r) {
		cost += unreachablePenalty
	}
	return cost
}

func eligible(r *Replica, q *Query) bool {
	if r.Owner == "" {
		return false
	}
	for _, e := range q.Tried {
		if e == r.Endpoint {
			return false
		}
	}
	return true
}

// Choose returns the index of the replica to use of n, or -1 where none is
// left that was not tried.
func (t *Table) Choose(now time.Duration, n int, at func(int) *Replica, q Query) int {
	switch t.policy {
	case RoundRobin:
		return t.roundRobin(n, at, &q)
	case LeastInFlight:
		return t.leastInFlight(n, at, &q)
	}
	samples := defaultSamples
	if q.Isolated {
		samples = isolatedSamples
	}
	best, lowestCost := t.sample(now, n, at, &q, samples)
	if best < 0 {
		return t.lowestCost(now, n, at, &q)
	}
	if q.Prefix == 0 || q.Isolated {
		return best
	}
	preferredIndex := preferred(q.Prefix, n, at)
	if r := at(preferredIndex); eligible(r, &q) && t.cost(now, r, &q) <= lowestCost+affinitySlack {
		return preferredIndex
	}
	return best
}

// sample returns the cheapest of some random replicas that are open and its
// cost, or -1 where it found none (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001).
func (t *Table) sample(now time.Duration, n int, at func(int) *Replica, q *Query, samples int) (int, float64) {
	best, lowest := -1, math.Inf(1)
	if n == 0 {
		return best, lowest
	}
	first := t.rng.IntN(n)
	for i := range samples {
		// The second and later samples differ from the first.
		index := first
		if i > 0 && n > 1 {
			index = (first + 1 + t.rng.IntN(n-1)) % n
		}
		r := at(index)
		if !eligible(r, q) {
			continue
		}
		if c := t.cost(now, r, q); c < lowest {
			best, lowest = index, c
		}
	}
	// A retry looks at all rather than settle for a failed domain or a doubt.
	if lowest >= failedDomainPenalty {
		return -1, lowest
	}
	return best, lowest
}

// cheapest looks at every replica; it serves where samples found none.
func (t *Table) lowestCost(now time.Duration, n int, at func(int) *Replica, q *Query) int {
	best, lowest := -1, math.Inf(1)
	for i := range n {
		r := at(i)
		if !eligible(r, q) {
			continue
		}
		if c := t.cost(now, r, q); c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

func (t *Table) roundRobin(n int, at func(int) *Replica, q *Query) int {
	for range n {
		i := t.nextReplica[q.Group] % n
		t.nextReplica[q.Group] = i + 1
		if eligible(at(i), q) {
			return i
		}
	}
	return -1
}

func (t *Table) leastInFlight(n int, at func(int) *Replica, q *Query) int {
	best, fewest := -1, math.MaxInt
	if n == 0 {
		return best
	}
	// A random start shares equal replicas out.
	first := t.rng.IntN(n)
	for j := range n {
		i := (first + j) % n
		r := at(i)
		if !eligible(r, q) {
			continue
		}
		if l := t.loadOf(r.Endpoint); l.inFlight < fewest {
			best, fewest = i, l.inFlight
		}
	}
	return best
}
