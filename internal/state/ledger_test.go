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
		l.t.Fatalf("command rejected: %v", c)
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
		t.Error("order of another term recorded")
	}
	if l.issue(loadKind, "t/a", 3, 101) || l.issue(loadKind, "t/a", 3, 1<<63) {
		t.Error("load larger than the memory of the engine admitted")
	}
	if !l.issue(loadKind, "t/a", 3, 60) {
		t.Fatal("load that fits the memory of the engine rejected")
	}
	if l.issue(loadKind, "t/b", 3, 10) {
		t.Error("second order recorded while the first is open")
	}
	l.resolve(wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN)
	if l.issue(loadKind, "t/b", 3, 41) || l.issue(loadKind, "t/b", 3, ^uint64(0)-30) {
		t.Error("load admitted into memory that an earlier load with unknown outcome may occupy")
	}
	if c := l.m.Charge("e"); c.Draining != 60 || c.Total() != 60 {
		t.Errorf("charge = %+v, want 60 bytes draining and no others", c)
	}
}

// TestLedgerOutstandingCopies checks that an engine that ignores fencing tokens gets
// no order about a resident while a copy of an earlier one may arrive. An engine
// that checks them gets the next order at once.
func TestLedgerOutstandingCopies(t *testing.T) {
	for _, checks := range []bool{false, true} {
		l := newLedger(t, checks)
		l.issue(loadKind, "t/a", 3, 60)
		l.resolve(wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN)
		if got := l.issue(unloadKind, "t/a", 3, 0); got != checks {
			t.Errorf("engine checks fencing = %t: unload admitted = %t", checks, got)
		}
		if checks {
			continue
		}
		clear := func(term uint64) bool {
			return l.apply(&wire.Command{Body: &wire.Command_ClearCopies{ClearCopies: &wire.ClearCopies{Endpoint: "e", Incarnation: "a", ThroughSequence: l.index, Term: term}}})
		}
		if clear(2) || l.issue(unloadKind, "t/a", 3, 0) {
			t.Error("ClearCopies of an earlier term applied")
		}
		if !clear(3) || !l.issue(unloadKind, "t/a", 3, 0) {
			t.Error("unload rejected after the copies were cleared")
		}
	}
}

// TestResetEngineExpectedIncarnation checks that a reset is applied only if it names
// the recorded incarnation as the expected one.
func TestResetEngineExpectedIncarnation(t *testing.T) {
	l := newLedger(t, false)
	reset := func(from, to string) bool {
		return l.apply(&wire.Command{Body: &wire.Command_ResetEngine{ResetEngine: &wire.ResetEngine{Id: "e", ExpectedIncarnation: from, Incarnation: to, MemoryBytes: 100}}})
	}
	if !reset("a", "b") || reset("", "a") || reset("a", "c") {
		t.Error("ResetEngine with the expected incarnation rejected, or with another one applied")
	}
	if l.issue(loadKind, "t/a", 3, 1) {
		t.Error("order for an earlier incarnation recorded")
	}
}
