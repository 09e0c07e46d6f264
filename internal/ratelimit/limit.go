// Package ratelimit keeps the requests to an endpoint within the rate that the endpoint
// names in its responses, summed over all VMs that send to it. One holder, the leader of
// the control plane or the owner of the endpoint, has a Bucket for each limited endpoint
// and permits each send. The package does no I/O and reads no clock.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Kind is what a response states of its endpoint's limit.
type Kind int

// Kinds of statements.
const (
	// Unstated responses name no limit.
	Unstated Kind = iota
	// Named limits are in force until a later response names none.
	Named
	// Unreadable responses name something that is no rate. They change nothing.
	Unreadable
)

// Limit is what a response states of the requests a second that its endpoint takes from
// all VMs together.
type Limit struct {
	Kind      Kind
	PerSecond float64
}

// maxPerSecond bounds the rates that are kept. No endpoint serves as many requests.
const maxPerSecond = 1e6

// ParseLimit parses the values of a header that names a limit, in requests a second. Of
// several values the lowest readable one counts.
func ParseLimit(values []string) Limit {
	if len(values) == 0 {
		return Limit{}
	}
	lowest := math.Inf(1)
	for _, v := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err == nil && rate >= 0 && !math.IsInf(rate, 0) {
			lowest = min(lowest, rate)
		}
	}
	if math.IsInf(lowest, 1) {
		return Limit{Kind: Unreadable}
	}
	return Limit{Kind: Named, PerSecond: min(lowest, maxPerSecond)}
}
