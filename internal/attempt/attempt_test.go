package attempt

import (
	"testing"

	"pgregory.net/rapid"
)

func TestNext(t *testing.T) {
	nonIdempotent := Rules{MaxSends: 1}
	nonIdempotentTwoSends := Rules{MaxSends: 2}
	idempotent := Rules{Retryable: true, MaxSends: 2}
	resumable := Rules{Retryable: true, Resumable: true, MaxSends: 2}
	for _, c := range []struct {
		name     string
		rules    Rules
		outcomes []Outcome
		inTime   bool
		budget   bool
		want     Step
	}{
		{"unsent, send to another endpoint", nonIdempotent, []Outcome{Unsent}, true, true, Send},
		{"unsent three times", nonIdempotent, []Outcome{Unsent, Unsent, Unsent}, true, true, Reject},
		{"unsent, no time left", nonIdempotent, []Outcome{Unsent}, false, true, Reject},
		{"rejected, one send allowed", nonIdempotent, []Outcome{Rejected}, true, true, Reject},
		{"rejected, two sends allowed", idempotent, []Outcome{Rejected}, true, true, Send},
		{"rejected, budget empty", idempotent, []Outcome{Rejected}, true, false, Reject},
		{"lost, non-idempotent", nonIdempotent, []Outcome{Lost}, true, true, Fail},
		{"lost, non-idempotent, two sends allowed", nonIdempotentTwoSends, []Outcome{Lost}, true, true, Fail},
		{"failed, non-idempotent, two sends allowed", nonIdempotentTwoSends, []Outcome{Failed}, true, true, PassOn},
		{"rejected, non-idempotent, two sends allowed", nonIdempotentTwoSends, []Outcome{Rejected}, true, true, Send},
		{"lost, idempotent", idempotent, []Outcome{Lost}, true, true, Send},
		{"lost, then rejected", idempotent, []Outcome{Lost, Rejected}, true, true, Fail},
		{"lost, then unsent, budget empty", idempotent, []Outcome{Lost, Unsent}, true, false, Fail},
		{"failed, non-idempotent", nonIdempotent, []Outcome{Failed}, true, true, PassOn},
		{"failed, idempotent", idempotent, []Outcome{Failed}, true, true, Send},
		{"failed twice", idempotent, []Outcome{Failed, Failed}, true, true, PassOn},
		{"interrupted, resumable", resumable, []Outcome{Interrupted}, true, true, Resume},
		{"interrupted, not resumable", nonIdempotent, []Outcome{Interrupted}, true, true, Abort},
		{"interrupted twice", resumable, []Outcome{Interrupted, Interrupted}, true, true, Abort},
		{"interrupted, budget empty", resumable, []Outcome{Interrupted}, true, false, Abort},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := History{Rules: c.rules}
			var got Step
			for _, o := range c.outcomes {
				got = h.Next(o, c.inTime, func() bool { return c.budget })
			}
			if got != c.want {
				t.Errorf("step %v, want %v", got, c.want)
			}
		})
	}
}

// TestNextInvariants checks the guarantees to clients against random outcomes.
func TestNextInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := History{Rules: Rules{
			Retryable: rapid.Bool().Draw(t, "repeatable"),
			Resumable: rapid.Bool().Draw(t, "resumable"),
			MaxSends:  rapid.IntRange(1, 4).Draw(t, "max sends"),
		}}
		mayHaveRun, reached := 0, 0
		for {
			o := Outcome(rapid.IntRange(int(Unsent), int(Interrupted)).Draw(t, "outcome"))
			if o != Unsent {
				reached++
			}
			if o == Failed || o == Lost || o == Interrupted {
				mayHaveRun++
			}
			budget := rapid.Bool().Draw(t, "budget")
			step := h.Next(o, rapid.Bool().Draw(t, "in time"), func() bool { return budget })
			if step == Reject && mayHaveRun > 0 {
				t.Fatal("a request that may have run was rejected")
			}
			if step != Send && step != Resume {
				break
			}
			if mayHaveRun > 0 && !h.Rules.Retryable && !(o == Interrupted && h.Rules.Resumable) && o != Unsent {
				t.Fatalf("a non-idempotent request was sent again after outcome %v", o)
			}
			if reached >= h.Rules.MaxSends && o != Unsent {
				t.Fatalf("request sent to more than %d endpoints", h.Rules.MaxSends)
			}
			if o != Unsent && !budget {
				t.Fatal("request sent again without budget")
			}
		}
		if mayHaveRun > 1 && !h.Rules.Retryable && !h.Rules.Resumable {
			t.Fatal("a non-idempotent request may have run more than once")
		}
	})
}
