package state

import (
	"testing"

	"parsleyramp/internal/wire"
)

// ledger is a machine with one engine of 100 bytes in term 3.
type ledger struct {
	t     *testing.T
	m     *Machine
	index uint64
}

func newLedger(t *testing.T, checksFencing bool) *ledger {
	l := &ledger{t: t, m: New()}
	l.must(&wire.Command{Body: &wire.Command_StartTerm{StartTerm: &wire.StartTerm{Term: &wire.SendTerm{Term: 3, Replica: 1}}}})
	l.must(&wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: &wire.Endpoint{
		Id: "e", Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, ChecksFencing: checksFencing, Reachable: true,
	}}}})
	l.must(&wire.Command{Body: &wire.Command_ResetEngine{ResetEngine: &wire.ResetEngine{Id: "e", Incarnation: "a", MemoryBytes: 100}}})
	return l
}

func (l *ledger) apply(c *wire.Command) bool {
	l.index++
	return l.m.Apply(l.index, c).Applied
}

func (l *ledger) must(c *wire.Command) {
	l.t.Helper()
	if !l.apply(c) {
		l.t.Fatalf("refused: %v", c)
	}
}

func (l *ledger) issue(kind wire.OrderKind, model string, term, bytes uint64) bool {
	return l.apply(&wire.Command{Body: &wire.Command_IssueOrder{IssueOrder: &wire.IssueOrder{Order: &wire.Order{
		Endpoint: "e", Kind: kind, Model: model, Version: "1", FenceTerm: term, MemoryBytes: bytes, Incarnation: "a",
	}}}})
}

func (l *ledger) resolve(outcome wire.OrderOutcome) {
	l.t.Helper()
	o := l.m.Orders()[0]
	l.must(&wire.Command{Body: &wire.Command_ResolveOrder{ResolveOrder: &wire.ResolveOrder{
		Endpoint: "e", FenceTerm: o.FenceTerm, FenceSequence: o.FenceSequence, Outcome: outcome,
	}}})
}

const (
	loadKind   = wire.OrderKind_ORDER_KIND_LOAD
	unloadKind = wire.OrderKind_ORDER_KIND_UNLOAD
)

func TestLedgerAdmission(t *testing.T) {
	l := newLedger(t, false)
	if l.issue(loadKind, "t/a", 2, 60) || l.issue(loadKind, "t/a", 4, 60) {
		t.Error("an order of another term was recorded")
	}
	if l.issue(loadKind, "t/a", 3, 101) || l.issue(loadKind, "t/a", 3, 1<<63) {
		t.Error("a load beyond the engine's memory was admitted")
	}
	if !l.issue(loadKind, "t/a", 3, 60) {
		t.Fatal("a load that fits was refused")
	}
	if l.issue(loadKind, "t/b", 3, 10) {
		t.Error("a second order was recorded while the first is open")
	}
	l.resolve(wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN)
	if l.issue(loadKind, "t/b", 3, 41) || l.issue(loadKind, "t/b", 3, ^uint64(0)-30) {
		t.Error("the memory of a load that was given up was given away")
	}
	if c := l.m.Charge("e"); c.Draining != 60 || c.Total() != 60 {
		t.Errorf("charged is %+v", c)
	}
}

// TestLedgerHoldsBackWhileCopiesMayArrive is about engines that ignore the
// fencing number; the others take the next order at once.
func TestLedgerRejectsOrdersWhileCopiesMayArrive(t *testing.T) {
	for _, checks := range []bool{false, true} {
		l := newLedger(t, checks)
		l.issue(loadKind, "t/a", 3, 60)
		l.resolve(wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN)
		if got := l.issue(unloadKind, "t/a", 3, 0); got != checks {
			t.Errorf("checks %t: unload admitted %t", checks, got)
		}
		if checks {
			continue
		}
		clear := func(term uint64) bool {
			return l.apply(&wire.Command{Body: &wire.Command_ClearCopies{ClearCopies: &wire.ClearCopies{Endpoint: "e", Incarnation: "a", ThroughSequence: l.index, Term: term}}})
		}
		if clear(2) || l.issue(unloadKind, "t/a", 3, 0) {
			t.Error("an earlier term's proof was taken")
		}
		if !clear(3) || !l.issue(unloadKind, "t/a", 3, 0) {
			t.Error("the unload stays held back")
		}
	}
}

func TestResetRequiresTheIncarnationThatItReplaces(t *testing.T) {
	l := newLedger(t, false)
	reset := func(from, to string) bool {
		return l.apply(&wire.Command{Body: &wire.Command_ResetEngine{ResetEngine: &wire.ResetEngine{Id: "e", ExpectedIncarnation: from, Incarnation: to, MemoryBytes: 100}}})
	}
	if !reset("a", "b") || reset("", "a") || reset("a", "c") {
		t.Error("a delayed reset was taken")
	}
	if l.issue(loadKind, "t/a", 3, 1) {
		t.Error("an order for an earlier incarnation was recorded")
	}
}
