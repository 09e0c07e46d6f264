package orders

import (
	"testing"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wire"
)

const (
	load    = wire.OrderKind_ORDER_KIND_LOAD
	unload  = wire.OrderKind_ORDER_KIND_UNLOAD
	open    = wire.OrderOutcome_ORDER_OUTCOME_UNSPECIFIED
	done    = wire.OrderOutcome_ORDER_OUTCOME_DONE
	unknown = wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN
)

// TestOrderOutcome checks the outcome of one order for each kind of evidence.
func TestOrderOutcome(t *testing.T) {
	listed := []endpoint.ResidentState{{Model: "t/m", Version: "1", MemoryBytes: 10}}
	rejection := &endpoint.OrderResult{Reason: "busy"}
	tests := []struct {
		name    string
		kind    wire.OrderKind
		checks  bool
		state   *endpoint.EngineState
		results []*endpoint.OrderResult
		// readEarly means that the read began before the order was first seen.
		readEarly bool
		elapsed   time.Duration
		outcome   wire.OrderOutcome
	}{
		{name: "load listed", kind: load, state: &endpoint.EngineState{Residents: listed, UsedBytes: 10}, outcome: done},
		{name: "load listed by an early read", kind: load, readEarly: true, state: &endpoint.EngineState{Residents: listed, UsedBytes: 10}, outcome: open},
		{name: "load executed and not listed", kind: load, results: []*endpoint.OrderResult{{Done: true}}, state: &endpoint.EngineState{UsedBytes: 10}, outcome: open},
		{name: "load rejected once", kind: load, results: []*endpoint.OrderResult{rejection}, state: &endpoint.EngineState{}, outcome: open},
		{name: "load rejected too often", kind: load, results: []*endpoint.OrderResult{rejection, rejection}, state: &endpoint.EngineState{}, outcome: unknown},
		{name: "load without a result", kind: load, elapsed: simConfig.OrderTimeout, outcome: unknown},
		{name: "unload listed", kind: unload, state: &endpoint.EngineState{Residents: listed, UsedBytes: 10}, outcome: open},
		{name: "unload not listed", kind: unload, state: &endpoint.EngineState{}, outcome: done},
		{name: "unload not listed, unlisted memory in use", kind: unload, state: &endpoint.EngineState{UsedBytes: 10}, outcome: open},
		{name: "unload executed", kind: unload, results: []*endpoint.OrderResult{{Done: true}}, state: &endpoint.EngineState{UsedBytes: 10}, outcome: done},
		{name: "unload not listed, fencing token not seen", kind: unload, checks: true, state: &endpoint.EngineState{FenceTerm: 1, FenceSequence: 6}, outcome: open},
		{name: "unload not listed, fencing token seen", kind: unload, checks: true, state: &endpoint.EngineState{FenceTerm: 1, FenceSequence: 7}, outcome: done},
		{name: "engine restarted", kind: unload, state: &endpoint.EngineState{Incarnation: "b"}, outcome: open},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &wire.Order{Endpoint: "e", Kind: test.kind, Model: "t/m", Version: "1", FenceTerm: 1, FenceSequence: 7, Incarnation: "a"}
			snap := Snapshot{
				Term: 1, Orders: []*wire.Order{o}, SendTerms: []*wire.SendTerm{{Term: 1, Replica: 1}}, Members: []uint64{1},
				Endpoints: []*wire.Endpoint{{Id: "e", Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Incarnation: "a", ChecksFencing: test.checks}},
			}
			tracker := NewTracker(simConfig)
			if sent := tracker.Step(tick, snap).Send; len(sent) != 1 {
				t.Fatalf("%d orders sent, want 1", len(sent))
			}
			for _, a := range test.results {
				tracker.RecordResult(tick, 1, o, a)
			}
			if test.state != nil {
				if test.state.Incarnation == "" {
					test.state.Incarnation = "a"
				}
				began := 2 * tick
				if test.readEarly {
					began = 0
				}
				tracker.RecordState(1, "e", began, test.state)
			}
			got := open
			for _, r := range tracker.Step(3*tick+test.elapsed, snap).Resolve {
				got = r.Command.Outcome
			}
			if got != test.outcome {
				t.Errorf("got %v, want %v", got, test.outcome)
			}
		})
	}
}

// TestGate checks that no send of an earlier term starts after Fence, and that
// sends in flight are counted.
func TestGate(t *testing.T) {
	g := NewGate()
	if !g.Begin(1) || g.Fence(2) != 1 || g.Begin(1) || !g.Begin(2) {
		t.Error("a fenced term may send, a later term may not, or a send is not counted")
	}
	if g.End(1); g.Fence(2) != 0 {
		t.Error("a send that has ended is still counted")
	}
}

// TestClearCopies checks that copies are cleared only after former leaders have
// stopped sending and state reads have then succeeded without a failure for
// CopyLifetime.
func TestClearCopies(t *testing.T) {
	tests := []struct {
		name string
		// stoppedAt is the tick at which the former leader confirms that it has
		// stopped; failedRead is the tick of a read that fails.
		stoppedAt, failedRead int
		member                bool
		clearAt               int
	}{
		{name: "stopped at once", stoppedAt: 1, member: true, clearAt: 17},
		{name: "stopped late", stoppedAt: 9, member: true, clearAt: 24},
		{name: "never stopped", member: true, clearAt: 0},
		{name: "removed", clearAt: 17},
		{name: "a read fails", stoppedAt: 1, failedRead: 10, member: true, clearAt: 26},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &wire.Order{Endpoint: "e", Kind: load, FenceTerm: 1, FenceSequence: 7, Incarnation: "a"}
			snap := Snapshot{
				Term: 2, Copies: []*wire.Order{o}, SendTerms: []*wire.SendTerm{{Term: 1, Replica: 1}, {Term: 2, Replica: 2}}, Members: []uint64{2},
				Endpoints: []*wire.Endpoint{{Id: "e", Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Incarnation: "a"}},
			}
			if test.member {
				snap.Members = append(snap.Members, 1)
			}
			tracker := NewTracker(simConfig)
			clearAt := 0
			for i := 1; i <= 40 && clearAt == 0; i++ {
				now := time.Duration(i) * tick
				s := &endpoint.EngineState{Incarnation: "a"}
				if i == test.failedRead {
					s = nil
				}
				tracker.RecordState(2, "e", now, s)
				out := tracker.Step(now, snap)
				if len(out.Clear) > 0 {
					clearAt = i
				}
				if i == test.stoppedAt {
					tracker.RecordStopped(now, 2, 1)
				}
			}
			if clearAt != test.clearAt {
				t.Errorf("copies cleared at tick %d, want %d", clearAt, test.clearAt)
			}
		})
	}
}

// TestDrainMissing checks that a resident is drained only once a read that began
// after it became ready does not list it.
func TestDrainMissing(t *testing.T) {
	snap := Snapshot{
		Term:      1,
		Residents: []*wire.Resident{{Endpoint: "e", Model: "t/m", Version: "1", State: wire.ResidentState_RESIDENT_STATE_READY, StateRevision: 9}},
		Endpoints: []*wire.Endpoint{{Id: "e", Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Incarnation: "a"}},
	}
	tracker := NewTracker(simConfig)
	tracker.Step(tick, snap)
	tracker.RecordState(1, "e", tick, &endpoint.EngineState{Incarnation: "a"})
	if drained := tracker.Step(2*tick, snap).DrainMissing; len(drained) > 0 {
		t.Error("drained after a read that began before the resident was seen as ready")
	}
	tracker.RecordState(1, "e", 2*tick, &endpoint.EngineState{Incarnation: "a"})
	if drained := tracker.Step(3*tick, snap).DrainMissing; len(drained) != 1 || drained[0].ExpectedStateRevision != 9 {
		t.Errorf("DrainMissing is %v, want one command for state revision 9", drained)
	}
}
