// Package routing selects the endpoint that runs a request. It does no I/O;
// time and the seed of the random numbers are passed in.
package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Policy is how endpoints are selected.
type Policy string

// Policies.
const (
	// Owner compares two random replicas by the loads that their owners last
	// reported and by the attempts that this entry has sent since. It sends
	// prompts with a common prefix to the same replica.
	Owner Policy = "owner"
	// RoundRobin selects the replicas in turn.
	RoundRobin Policy = "round_robin"
	// LeastInFlight selects the replica with the fewest attempts of this entry
	// in flight.
	LeastInFlight Policy = "least_in_flight"
)

// Valid reports whether the policy is known.
func (p Policy) Valid() bool { return p == Owner || p == RoundRobin || p == LeastInFlight }

// Replica is an endpoint that can run the request.
type Replica struct {
	Endpoint string
	// Owner is the entry that admits requests to the endpoint; empty for none.
	Owner  string
	Domain string
	Slots  int
	// Unreachable is set if the control plane could not reach the endpoint.
	Unreachable bool
	// hash of Endpoint, for affinity.
	hash uint64
}

// NewReplica returns a replica with the hash of its endpoint.
func NewReplica(endpoint, owner, domain string, slots int, unreachable bool) Replica {
	return Replica{Endpoint: endpoint, Owner: owner, Domain: domain, Slots: max(1, slots), Unreachable: unreachable, hash: hashString(endpoint)}
}

// Load is the load of an endpoint as its owner reports it.
type Load struct {
	InFlight int
	Queued   int
}

// Query holds the properties of a request that the choice depends on.
type Query struct {
	// Group names the set of replicas; RoundRobin keeps a position for each.
	Group string
	// Prefix is the digest of the prompt's beginning; zero for no affinity.
	Prefix uint64
	// Tried holds the endpoints at which the request has already failed.
	Tried []string
	// FailedDomains holds the failure domains in which it has failed.
	FailedDomains []string
	// Isolated requests run alone on an endpoint, so more replicas are sampled
	// to find one with little in flight, and affinity is ignored.
	Isolated bool
}

const (
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = time.Second
	// failureAvoidance is how long an endpoint or owner is avoided after it
	// could not be reached.
	failureAvoidance = 2 * time.Second
	// affinitySlack is by how much the cost of the preferred replica may exceed
	// the lowest cost of the sampled replicas. Without penalties, a cost is a
	// utilization.
	affinitySlack   = 0.25
	defaultSamples  = 2
	isolatedSamples = 6
)

// Penalties far exceed utilizations, so that load decides only between replicas
// with equal penalties.
const (
	failedDomainPenalty = 1e3
	unreachablePenalty  = 1e6
)

// Table holds what one entry knows of the loads of endpoints. With the Owner
// policy, the time of a choice does not depend on the number of endpoints, unless
// no sampled replica is suitable. Table is not safe for concurrent use.
type Table struct {
	policy Policy
	rng    *rand.Rand
	loads  map[string]*endpointLoad
	// failedAt holds the time at which an endpoint or owner last could not be
	// reached.
	failedAt    map[string]time.Duration
	nextReplica map[string]int
}

// endpointLoad is the last load report of one endpoint with the attempts of
// this entry that are in flight to it.
type endpointLoad struct {
	inFlight   int
	reported   Load
	reportedAt time.Duration
	// inFlightAtReport is the value of inFlight at the last report.
	inFlightAtReport int
}

// NewTable returns an empty table.
func NewTable(policy Policy, seed uint64) *Table {
	return &Table{
		policy: policy, rng: rand.New(rand.NewPCG(seed, 1)),
		loads: map[string]*endpointLoad{}, failedAt: map[string]time.Duration{}, nextReplica: map[string]int{},
	}
}

// loadOf returns the load of the endpoint, which it adds if it is missing.
func (t *Table) loadOf(endpoint string) *endpointLoad {
	l := t.loads[endpoint]
	if l == nil {
		l = &endpointLoad{}
		t.loads[endpoint] = l
	}
	return l
}

// AddInFlight adds n, which may be negative, to the attempts in flight to the
// endpoint.
func (t *Table) AddInFlight(endpoint string, n int) { t.loadOf(endpoint).inFlight += n }

// UpdateLoad records a load that the owner of the endpoint reports now.
func (t *Table) UpdateLoad(now time.Duration, endpoint string, load Load) {
	e := t.loadOf(endpoint)
	e.reported, e.reportedAt, e.inFlightAtReport = load, now, e.inFlight
}

// RecordFailure records that an endpoint, or an owner by its name, could not be
// reached.
func (t *Table) RecordFailure(now time.Duration, name string) { t.failedAt[name] = now }

// RecordSuccess records that an endpoint or owner was reached, which clears its
// last failure.
func (t *Table) RecordSuccess(name string) { delete(t.failedAt, name) }

// DropMissing drops the loads and failures of endpoints and owners that no
// longer exist. An endpoint with attempts in flight keeps its load.
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

// utilization estimates the load of the replica as a ratio to its slots. The
// weight of a report decreases with its age. The estimate is never below the
// attempts that this entry itself has in flight, which are exact.
func (t *Table) utilization(now time.Duration, r *Replica) float64 {
	l := t.loads[r.Endpoint]
	if l == nil {
		return 0
	}
	decay := math.Exp2(-float64(now-l.reportedAt) / float64(reportHalfLife))
	estimate := float64(l.reported.InFlight+l.reported.Queued)*decay + float64(l.inFlight-l.inFlightAtReport)
	return max(estimate, float64(l.inFlight)) / float64(r.Slots)
}

// unreachable reports whether the control plane could not reach the replica, or
// this entry recently could not reach its endpoint or owner.
func (t *Table) unreachable(now time.Duration, r *Replica) bool {
	for _, name := range [...]string{r.Endpoint, r.Owner} {
		if at, ok := t.failedAt[name]; ok && now-at < failureAvoidance {
			return true
		}
	}
	return r.Unreachable
}

// cost returns the utilization of the replica plus its penalties.
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

// eligible reports whether the replica has an owner and was not tried.
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

// Choose returns the index of the selected one of n replicas, or -1 if none is
// eligible.
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
		return t.bestOfAll(now, n, at, &q)
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

// sample returns the eligible replica with the lowest cost among random samples,
// and its cost. It returns -1 if it found none without a penalty (Mitzenmacher,
// "The Power of Two Choices in Randomized Load Balancing", 2001).
func (t *Table) sample(now time.Duration, n int, at func(int) *Replica, q *Query, samples int) (int, float64) {
	best, lowest := -1, math.Inf(1)
	if n == 0 {
		return best, lowest
	}
	first := t.rng.IntN(n)
	for i := range samples {
		// Later samples always differ from the first.
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
	// A result of -1 makes Choose compare all replicas before it accepts one with
	// a penalty: another one may be reachable and in no failed domain.
	if lowest >= failedDomainPenalty {
		return -1, lowest
	}
	return best, lowest
}

// bestOfAll returns the eligible replica with the lowest cost of all, or -1. It
// is used if sampling found none.
func (t *Table) bestOfAll(now time.Duration, n int, at func(int) *Replica, q *Query) int {
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
	// A random start spreads requests over replicas with equal counts.
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
