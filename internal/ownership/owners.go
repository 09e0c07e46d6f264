// Package ownership assigns an owner among the live entries to every endpoint.
// It does no I/O.
package ownership

import (
	"cmp"
	"slices"

	"parsleyramp/internal/wire"
)

// maxRebalancesPerStep limits how many endpoints with a live owner get a new one
// in one call of AssignOwners.
const maxRebalancesPerStep = 1

// AssignOwners returns the assignments that give every endpoint a live owner and
// balance the number of endpoints per owner. Draining entries get no new endpoints,
// and their endpoints are assigned to other entries. Rebalancing starts only when
// every endpoint has a live owner that is not draining.
func AssignOwners(entries []*wire.EntryVM, endpoints []*wire.Endpoint) []*wire.AssignOwner {
	endpointCounts := map[string]int{}
	var candidates []string
	for _, e := range entries {
		if e.Live && !e.Draining {
			endpointCounts[e.Id] = 0
			candidates = append(candidates, e.Id)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	for _, vm := range endpoints {
		if _, ok := endpointCounts[vm.Owner]; ok {
			endpointCounts[vm.Owner]++
		}
	}
	leastLoaded := func() string {
		return slices.MinFunc(candidates, func(a, b string) int {
			return cmp.Or(cmp.Compare(endpointCounts[a], endpointCounts[b]), cmp.Compare(a, b))
		})
	}
	var out []*wire.AssignOwner
	assign := func(vm *wire.Endpoint, owner string) {
		endpointCounts[owner]++
		out = append(out, &wire.AssignOwner{Endpoint: vm.Id, Owner: owner, ExpectedEpoch: vm.OwnerEpoch})
	}
	for _, vm := range endpoints {
		if _, ok := endpointCounts[vm.Owner]; !ok {
			assign(vm, leastLoaded())
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, vm := range endpoints {
		to := leastLoaded()
		if len(out) < maxRebalancesPerStep && endpointCounts[vm.Owner] > endpointCounts[to]+1 {
			endpointCounts[vm.Owner]--
			assign(vm, to)
		}
	}
	return out
}
