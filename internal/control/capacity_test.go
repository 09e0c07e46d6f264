package control

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// machineWithEndpoints returns a state machine with that many engines, each with
// two residents.
func machineWithEndpoints(endpoints int) *state.Machine {
	m := state.New()
	index := uint64(0)
	apply := func(c *wire.Command) { index++; m.Apply(index, c) }
	for i := range endpoints {
		id := fmt.Sprintf("engine-%04d", i)
		apply(&wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: &wire.Endpoint{
			Id: id, Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Address: "10.0.0.1:8000", Domain: "d1", Reachable: true,
		}}}})
		apply(&wire.Command{Body: &wire.Command_ResetEngine{ResetEngine: &wire.ResetEngine{Id: id, Incarnation: "i", MemoryBytes: 10}}})
		for _, model := range []string{"team/one", "team/two"} {
			apply(&wire.Command{Body: &wire.Command_IssueOrder{IssueOrder: &wire.IssueOrder{Order: &wire.Order{
				Kind: wire.OrderKind_ORDER_KIND_LOAD, Endpoint: id, Model: model, Version: "2026.11", MemoryBytes: 1, Incarnation: "i",
			}}}})
			apply(&wire.Command{Body: &wire.Command_ResolveOrder{ResolveOrder: &wire.ResolveOrder{
				Endpoint: id, FenceSequence: index, Outcome: wire.OrderOutcome_ORDER_OUTCOME_DONE,
			}}})
		}
	}
	return m
}

// BenchmarkViewChange measures the cost of one change of the view on the leader,
// and the bytes of the whole view and of the delta that an entry is sent.
func BenchmarkViewChange(b *testing.B) {
	for _, endpoints := range []int{26, 260, 2200} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			m := machineWithEndpoints(endpoints)
			var h viewHistory
			h.update(m)
			whole := proto.Size(h.newest)
			delta := 0
			index, draining := m.AppliedIndex(), false
			for b.Loop() {
				index++
				draining = !draining
				m.Apply(index, &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: &wire.Endpoint{
					Id: "engine-0000", Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Address: "10.0.0.1:8000", Domain: "d1", Reachable: true, Leaving: draining,
				}}}})
				from := h.newest.Revision
				h.update(m)
				resp := &wire.HeartbeatResponse{}
				h.fill(from, resp)
				delta = proto.Size(resp)
			}
			b.ReportMetric(float64(whole), "whole_B")
			b.ReportMetric(float64(delta), "delta_B")
		})
	}
}

// BenchmarkIdleLeaderPass measures reading the view and checking the leases in a
// pass of the leader without changes.
func BenchmarkIdleLeaderPass(b *testing.B) {
	for _, endpoints := range []int{26, 260, 2200} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			m := machineWithEndpoints(endpoints)
			var t leaseTable
			t.enterTerm(1, 0)
			for b.Loop() {
				t.revokeExpired(t.view(m).Entries, time.Second, 0)
			}
		})
	}
}
