package state

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/wire"
)

// Default limits in the settings of the control plane.
const (
	fullClaims        = 10000
	fullResponseBytes = 2 << 20
	fullDeferredBytes = 4 << 20
	fullReserveBytes  = 8 << 10
)

// fullState returns a state with as many claims, responses and deferred requests
// as the limits admit.
func fullState() *Machine {
	m := New()
	index := uint64(0)
	apply := func(c *wire.Command) *wire.CommandResult { index++; return m.Apply(index, c) }
	apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: &wire.EntryVM{Id: "entry-1", Incarnation: "5ac6b4f2-4a53-4b5e-8d0a-5f7f6a1c2d3e", Live: true}}}})
	for i := range fullClaims {
		key := fmt.Sprintf("ledger/0193a0e8-7d0c-7a6e-9c50-%012d", i)
		r := apply(&wire.Command{Body: &wire.Command_BeginClaim{BeginClaim: &wire.BeginClaim{
			Key: key, Digest: uint64(i), HolderEntry: "entry-1", HolderIncarnation: "5ac6b4f2-4a53-4b5e-8d0a-5f7f6a1c2d3e",
			KeyUnixMs: 1, Token: fmt.Sprintf("6f6b1f0e-7d0c-5a6e-9c50-%012d", i), MaxClaims: fullClaims,
		}}})
		apply(&wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: &wire.FinishClaim{
			Key: key, Attempt: r.Claim.Attempt, State: wire.ClaimState_CLAIM_STATE_DONE, MaxAnswerBytes: fullResponseBytes,
			Answer: &wire.RecordedAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, 256)},
		}}})
	}
	for i := 0; ; i++ {
		r := apply(&wire.Command{Body: &wire.Command_SubmitDeferred{SubmitDeferred: &wire.SubmitDeferred{
			Request:    &wire.DeferredRequest{Id: fmt.Sprint(i), Body: make([]byte, 2<<10), FinishByUnixMs: 1},
			LimitBytes: fullDeferredBytes, ReserveBytes: fullReserveBytes,
		}}})
		if r.Full {
			return m
		}
	}
}

// BenchmarkFullState measures the heap size of a full state, the time to encode
// its snapshot, and one FinishClaim command.
func BenchmarkFullState(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := fullState()
	runtime.GC()
	runtime.ReadMemStats(&after)
	start := time.Now()
	data, err := m.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	encoded := time.Since(start)
	finish := &wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: &wire.FinishClaim{
		Key: "ledger/0193a0e8-7d0c-7a6e-9c50-000000000000", Attempt: 1, State: wire.ClaimState_CLAIM_STATE_DONE, MaxAnswerBytes: fullResponseBytes,
	}}}
	for b.Loop() {
		m.claims[finish.GetFinishClaim().Key].State = wire.ClaimState_CLAIM_STATE_PENDING
		m.Apply(m.applied+1, finish)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "heap_MB")
	b.ReportMetric(float64(encoded.Milliseconds()), "snapshot_ms")
	b.ReportMetric(float64(len(data))/(1<<20), "snapshot_MB")
}

// TestClaimResponsesAreBounded checks that the tracked size of the recorded
// responses equals their real size, and that responses beyond the limit are
// recorded without their body.
func TestClaimResponsesAreBounded(t *testing.T) {
	const limit = 100
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		index := uint64(0)
		apply := func(c *wire.Command) *wire.CommandResult { index++; return m.Apply(index, c) }
		apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: &wire.EntryVM{Id: "e", Incarnation: "1", Live: true}}}})
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			at := int64(rapid.IntRange(0, 9).Draw(t, "key"))
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				apply(&wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{ClaimsBeforeUnixMs: at / 2}}})
			case 1:
				m = restored(t, m)
			default:
				key := fmt.Sprint(at)
				r := apply(&wire.Command{Body: &wire.Command_BeginClaim{BeginClaim: &wire.BeginClaim{Key: key, HolderEntry: "e", HolderIncarnation: "1", KeyUnixMs: at, Token: "t"}}})
				state := wire.ClaimState(rapid.IntRange(2, 4).Draw(t, "state"))
				response := &wire.RecordedAnswer{Body: make([]byte, rapid.IntRange(0, 60).Draw(t, "bytes"))}
				apply(&wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: &wire.FinishClaim{Key: key, Attempt: r.Claim.GetAttempt(), State: state, Answer: response, MaxAnswerBytes: limit, Token: "other"}}})
			}
			var sum uint64
			for _, c := range m.claims {
				sum += responseBytes(c)
			}
			if sum != m.claimResponseBytes || sum > limit {
				t.Fatalf("recorded responses have %d bytes, tracked size is %d", sum, m.claimResponseBytes)
			}
		}
	})
}
