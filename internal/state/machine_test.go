package state

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/wire"
)

// TestMain sets a fixed seed for rapid, so that the results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func oneOf(t *rapid.T, name string, values ...string) string {
	return rapid.SampledFrom(values).Draw(t, name)
}

func small(t *rapid.T, name string) uint64 { return uint64(rapid.IntRange(0, 3).Draw(t, name)) }

// section returns a section of the team, with a service that depends only on
// the variant, so that two teams may declare the same service.
func section(team, variant string) []byte {
	return fmt.Appendf(nil, `{"team": %q, "models": [{"name": "m", "version": %q, "memory_mb": 1}], "services": [{"name": "s-%s", "path": "/%s/"}]}`, team, variant, variant, variant)
}

func drawApply(t *rapid.T) *wire.ApplySection {
	team := oneOf(t, "team", "a", "b")
	text := section(oneOf(t, "text team", team, team, team, "a"), oneOf(t, "variant", "1", "2", "3"))
	return &wire.ApplySection{Team: team, BaseRevision: small(t, "base"), OrderId: oneOf(t, "order", "o1", "o2", "o3", "o4", "o5", "o6"), Text: text}
}

func drawCommand(t *rapid.T) *wire.Command {
	c := &wire.Command{ProposedUnixMs: int64(rapid.IntRange(0, 100).Draw(t, "now"))}
	id := oneOf(t, "id", "x", "y", "z")
	switch rapid.IntRange(0, 16).Draw(t, "kind") {
	case 0:
		c.Body = &wire.Command_ApplySection{ApplySection: drawApply(t)}
	case 1:
		c.Body = &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: &wire.EntryVM{Id: id, Incarnation: oneOf(t, "incarnation", "1", "2"), Live: rapid.Bool().Draw(t, "live")}, ExpectedRegistration: small(t, "registration")}}
	case 2:
		c.Body = &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: &wire.Endpoint{Id: id, Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE}}}
	case 3:
		c.Body = &wire.Command_ResetEngine{ResetEngine: &wire.ResetEngine{Id: id, Incarnation: oneOf(t, "incarnation", "1", "2"), MemoryBytes: 3}}
	case 4:
		c.Body = &wire.Command_AssignOwner{AssignOwner: &wire.AssignOwner{Endpoint: id, Owner: "x", ExpectedEpoch: small(t, "epoch")}}
	case 5:
		c.Body = &wire.Command_IssueOrder{IssueOrder: &wire.IssueOrder{Order: &wire.Order{Kind: wire.OrderKind(1 + rapid.IntRange(0, 1).Draw(t, "order kind")), Endpoint: id, Model: "a/m", Version: "1", MemoryBytes: 1, Incarnation: "1", FenceTerm: 1}}}
	case 6:
		c.Body = &wire.Command_ResolveOrder{ResolveOrder: &wire.ResolveOrder{Endpoint: id, FenceTerm: 1, FenceSequence: uint64(rapid.IntRange(0, 60).Draw(t, "fence")), Outcome: wire.OrderOutcome(small(t, "outcome"))}}
	case 7:
		c.Body = &wire.Command_SetResident{SetResident: &wire.SetResident{Endpoint: id, Model: "a/m", Version: "1", State: wire.ResidentState_RESIDENT_STATE_DRAINING}}
	case 8:
		c.Body = &wire.Command_BeginClaim{BeginClaim: &wire.BeginClaim{Key: id, Digest: small(t, "digest"), HolderEntry: "x", HolderIncarnation: "1", KeyUnixMs: int64(rapid.IntRange(0, 100).Draw(t, "key time")), Token: oneOf(t, "token", "t1", "t2"), MaxClaims: 2}}
	case 9:
		c.Body = &wire.Command_FinishClaim{FinishClaim: &wire.FinishClaim{Key: id, Attempt: small(t, "attempt"), State: wire.ClaimState(1 + small(t, "claim state")), Answer: &wire.RecordedAnswer{Body: []byte("answer")}, Token: oneOf(t, "token", "t1", "t2"), MaxAnswerBytes: 8}}
	case 10:
		c.Body = &wire.Command_SubmitDeferred{SubmitDeferred: &wire.SubmitDeferred{Request: &wire.DeferredRequest{Id: id, Body: []byte(oneOf(t, "body", "one", "two")), FinishByUnixMs: int64(rapid.IntRange(0, 100).Draw(t, "finish"))}, LimitBytes: 20, ReserveBytes: 4}}
	case 11:
		c.Body = &wire.Command_StartDeferred{StartDeferred: &wire.StartDeferred{Id: id, RunnerEntry: "x", RunnerIncarnation: oneOf(t, "incarnation", "1", "2"), ExpectedAttempt: small(t, "attempt")}}
	case 12:
		c.Body = &wire.Command_FinishDeferred{FinishDeferred: &wire.FinishDeferred{Id: id, Attempt: small(t, "attempt"), State: wire.DeferredState_DEFERRED_STATE_DONE, Answer: &wire.RecordedAnswer{Body: []byte("answer")}, LimitBytes: 20, ReserveBytes: 4}}
	case 13:
		c.Body = &wire.Command_ReportCrash{ReportCrash: &wire.ReportCrash{Endpoint: id, Incarnation: "1", Fingerprints: []uint64{small(t, "fingerprint")}}}
	case 14:
		c.Body = &wire.Command_ClearSuspect{ClearSuspect: &wire.ClearSuspect{Fingerprint: small(t, "fingerprint")}}
	case 15:
		c.Body = &wire.Command_RecordSuspects{RecordSuspects: &wire.RecordSuspects{
			Suspects: []*wire.Suspect{{Fingerprint: small(t, "recorded"), State: wire.SuspectState(1 + rapid.IntRange(0, 1).Draw(t, "suspect state")), Crashes: 2}}, Cleared: []uint64{small(t, "cleared")},
		}}
	default:
		at := int64(rapid.IntRange(0, 60).Draw(t, "before"))
		c.Body = &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{ClaimsBeforeUnixMs: at, DeferredBeforeUnixMs: at, SuspectsBeforeUnixMs: at, AppliesBeforeUnixMs: at, NowUnixMs: at + 20}}
	}
	return c
}

func snapshotOf(t *rapid.T, m *Machine) []byte {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restored(t *rapid.T, m *Machine) *Machine {
	data := snapshotOf(t, m)
	r, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(data, snapshotOf(t, r)) {
		t.Fatal("snapshot of the restored state differs from the original")
	}
	return r
}

// TestReplicaDeterminism checks that two replicas that apply the same commands
// return equal results and end with equal snapshots, when one of them is restored
// from a snapshot at random points.
func TestReplicaDeterminism(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t)
			ra := a.Apply(uint64(i+1), proto.Clone(c).(*wire.Command))
			rb := b.Apply(uint64(i+1), proto.Clone(c).(*wire.Command))
			if !proto.Equal(ra, rb) {
				t.Fatalf("results of %v differ: %v and %v", c, ra, rb)
			}
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				b = restored(t, b)
			}
		}
		if !bytes.Equal(snapshotOf(t, a), snapshotOf(t, b)) {
			t.Fatal("snapshots of the two replicas differ")
		}
	})
}

// TestApplyIsCompareAndSet checks concurrent and resent applies against a model:
// one apply for each base revision succeeds, and the others get a conflict that
// names the current revision; a resent apply gets its first result; an order id
// is valid for one text only; no service belongs to two teams.
func TestApplyIsCompareAndSet(t *testing.T) {
	type order struct{ team, id string }
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		revisions := map[string]uint64{}
		texts := map[string]string{}
		first := map[order]*wire.CommandResult{}
		firstText := map[order]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "applies") {
			a := drawApply(t)
			r := m.Apply(uint64(i+1), &wire.Command{ProposedUnixMs: int64(i), Body: &wire.Command_ApplySection{ApplySection: a}})
			key, text := order{a.Team, a.OrderId}, string(a.Text)
			earlier, seen := first[key]
			switch {
			case seen && firstText[key] == text:
				if !proto.Equal(r.Apply, earlier.Apply) {
					t.Fatalf("resent apply %v returned %v, first result was %v", a, r.Apply, earlier.Apply)
				}
			case seen:
				if r.Apply.Outcome != wire.ApplyOutcome_APPLY_OUTCOME_ORDER_ID_REUSED {
					t.Fatalf("reused order id returned %v, want ORDER_ID_REUSED", r.Apply)
				}
			case r.Applied:
				if a.BaseRevision != revisions[a.Team] || r.Apply.Revision != a.BaseRevision+1 {
					t.Fatalf("apply %v accepted at revision %d, result %v", a, revisions[a.Team], r.Apply)
				}
				revisions[a.Team]++
				texts[a.Team] = text
			case r.Apply.Outcome == wire.ApplyOutcome_APPLY_OUTCOME_CONFLICT:
				if a.BaseRevision == revisions[a.Team] || r.Apply.Revision != revisions[a.Team] {
					t.Fatalf("apply %v returned conflict %v at revision %d", a, r.Apply, revisions[a.Team])
				}
			case !strings.Contains(r.Reason, "clashes") && !strings.Contains(r.Reason, "says team"):
				t.Fatalf("apply %v returned unexpected result %v", a, r)
			}
			if !seen {
				first[key], firstText[key] = r, text
			}
			if texts["a"] != "" && strings.Contains(texts["b"], texts["a"][strings.Index(texts["a"], "services"):]) {
				t.Fatalf("both teams declare the services of %s", texts["a"])
			}
			for team, text := range texts {
				if got := m.Section(team); string(got.Text) != text || got.Revision != revisions[team] {
					t.Fatalf("section of team %s is %v, differs from the model", team, got)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				m = restored(t, m)
			}
		}
	})
}

// TestApplyRecordsAreBounded checks that new changes are rejected when the maximum
// number of results is recorded, rather than dropping a result within its retention.
func TestApplyRecordsAreBounded(t *testing.T) {
	m := New()
	apply := func(i int, order string) *wire.CommandResult {
		return m.Apply(uint64(i), &wire.Command{ProposedUnixMs: int64(i), Body: &wire.Command_ApplySection{ApplySection: &wire.ApplySection{
			Team: "a", OrderId: order, Text: section("a", "1"),
		}}})
	}
	for i := 1; i <= MaxApplyRecords; i++ {
		apply(i, fmt.Sprint(i))
	}
	if r := apply(MaxApplyRecords+1, "new"); !r.Full || r.Apply != nil {
		t.Fatalf("change beyond MaxApplyRecords returned %v", r)
	}
	if r := apply(MaxApplyRecords+2, "1"); !r.Applied || r.Apply.Revision != 1 {
		t.Fatalf("the resent first change returned %v", r)
	}
	m.Apply(MaxApplyRecords+3, &wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{AppliesBeforeUnixMs: 100}}})
	if r := apply(MaxApplyRecords+4, "new"); r.Full || r.Apply.Outcome != wire.ApplyOutcome_APPLY_OUTCOME_CONFLICT {
		t.Fatalf("change after the expiry of the records returned %v, want a conflict", r)
	}
}

// TestDeferredFinalState checks that deferred requests keep their first final state,
// never exceed the limit in bytes, and end by their deadline.
func TestDeferredFinalState(t *testing.T) {
	const limit, reserve = 64, 8
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		final := map[string]*wire.DeferredRequest{}
		index := uint64(0)
		apply := func(c *wire.Command) *wire.CommandResult { index++; return m.Apply(index, c) }
		incarnation := 1
		apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: &wire.EntryVM{Id: "e", Incarnation: "1", Live: true}}}})
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			id := oneOf(t, "id", "x", "y", "z")
			d := m.Deferred(id)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				body := strings.Repeat("b", rapid.IntRange(0, 40).Draw(t, "body"))
				r := apply(&wire.Command{Body: &wire.Command_SubmitDeferred{SubmitDeferred: &wire.SubmitDeferred{
					Request: &wire.DeferredRequest{Id: id, Body: []byte(body), FinishByUnixMs: 50}, LimitBytes: limit, ReserveBytes: reserve,
				}}})
				if r.Applied == r.Full && r.Reason == "" {
					t.Fatalf("submission returned %v", r)
				}
			case 1:
				apply(&wire.Command{Body: &wire.Command_StartDeferred{StartDeferred: &wire.StartDeferred{
					Id: id, RunnerEntry: "e", RunnerIncarnation: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "incarnation")), ExpectedAttempt: d.GetAttempt(),
				}}})
			case 2:
				response := &wire.RecordedAnswer{Body: bytes.Repeat([]byte("a"), rapid.IntRange(0, 60).Draw(t, "answer"))}
				attempt := small(t, "attempt")
				apply(&wire.Command{Body: &wire.Command_FinishDeferred{FinishDeferred: &wire.FinishDeferred{
					Id: id, Attempt: attempt, State: wire.DeferredState_DEFERRED_STATE_DONE, Answer: response, LimitBytes: limit, ReserveBytes: reserve,
				}}})
				if attempt != d.GetAttempt() && !proto.Equal(d, m.Deferred(id)) {
					t.Fatalf("the response of the outdated attempt %d changed %v", attempt, d)
				}
			case 3:
				incarnation++
				old := m.Entry("e")
				apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: &wire.EntryVM{Id: "e", Incarnation: fmt.Sprint(incarnation), Live: true}, ExpectedRegistration: old.Registration}}})
			case 4:
				apply(&wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{NowUnixMs: int64(rapid.IntRange(0, 60).Draw(t, "now"))}}})
			case 5:
				m = restored(t, m)
			}
			if m.DeferredBytes(reserve) > limit {
				t.Fatalf("deferred requests hold %d bytes, above the limit", m.DeferredBytes(reserve))
			}
			for _, id := range []string{"x", "y", "z"} {
				d := m.Deferred(id)
				if d.GetState() == wire.DeferredState_DEFERRED_STATE_RUNNING && d.RunnerIncarnation != m.Entry("e").Incarnation {
					t.Fatalf("deferred request %v runs on a dead incarnation", d)
				}
				if final[id] != nil && !proto.Equal(final[id], d) {
					t.Fatalf("the final state %v changed to %v", final[id], d)
				}
				if d != nil && !unfinished(d) {
					final[id] = d
				}
			}
		}
		apply(&wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{NowUnixMs: 51}}})
		if remaining := m.UnfinishedDeferred(); len(remaining) > 0 {
			t.Fatalf("unfinished past their deadline: %v", remaining)
		}
	})
}
