// Package routing chooses the endpoint of a request. It does no I/O;
// randomness is passed in.
package routing

import "math/rand/v2"

// Candidate is an endpoint that could run the request.
type Candidate struct {
	Endpoint string
	Owner    string
	Domain   string
	InFlight int
	Queued   int
	Slots    int
	// Tried candidates have failed this request already.
	Tried bool
}

// pressure is the load in units of the endpoint's slots.
func (c Candidate) pressure() float64 {
	return float64(c.InFlight+c.Queued) / float64(max(1, c.Slots))
}

// Choose returns the index of the less loaded of two random candidates that
// were not tried, or -1 where none is left (Mitzenmacher, "The Power of Two
// Choices in Randomized Load Balancing", 2001).
func Choose(candidates []Candidate, rng *rand.Rand) int {
	var open []int
	for i, c := range candidates {
		if !c.Tried {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	a := open[rng.IntN(len(open))]
	b := open[rng.IntN(len(open))]
	if candidates[b].pressure() < candidates[a].pressure() {
		return b
	}
	return a
}
