package buffers

import (
	"context"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
)

// begin returns a share and a channel that is closed when it is given up.
func begin(t testing.TB, b *Budget) (*Share, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	return b.Begin(ctx, cancel), ctx
}

func TestResponseThatHoldsTheMostMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(100)
		large, largeCtx := begin(t, b)
		small, smallCtx := begin(t, b)
		next, _ := begin(t, b)
		for s, bytes := range map[*Share]int64{large: 70, small: 25} {
			if err := s.Resize(bytes); err != nil {
				t.Fatal(err)
			}
		}
		done := make(chan error, 1)
		go func() { done <- next.Resize(20) }()
		synctest.Wait()
		if largeCtx.Err() == nil || smallCtx.Err() != nil || len(done) != 0 {
			t.Errorf("large given up: %v, small given up: %v, resized: %d, want the large one given up and waited for",
				largeCtx.Err(), smallCtx.Err(), len(done))
		}
		if err := large.Resize(80); !fail.Is(err, fail.Overloaded) {
			t.Errorf("a response that was given up goes on: %v", err)
		}
		large.End()
		if err := <-done; err != nil || b.Used() != 45 {
			t.Errorf("error %v, %d bytes used, want 45", err, b.Used())
		}
	})
}

func TestLargestResponseIsRefusedItself(t *testing.T) {
	b := NewBudget(100)
	kept, keptCtx := begin(t, b)
	large, _ := begin(t, b)
	if err := kept.Resize(30); err != nil {
		t.Fatal(err)
	}
	if err := large.Resize(71); !fail.Is(err, fail.Overloaded) || keptCtx.Err() != nil {
		t.Errorf("error %v, smaller one given up: %v, want the larger one refused", err, keptCtx.Err())
	}
}

func TestCompleteResponseIsNotGivenUp(t *testing.T) {
	b := NewBudget(100)
	complete, completeCtx := begin(t, b)
	next, _ := begin(t, b)
	if err := complete.Resize(90); err != nil {
		t.Fatal(err)
	}
	if err := complete.Complete(); err != nil {
		t.Fatal(err)
	}
	if err := next.Resize(20); !fail.Is(err, fail.Overloaded) || completeCtx.Err() != nil {
		t.Errorf("error %v, complete one given up: %v, want the next one refused", err, completeCtx.Err())
	}
	complete.End()
	if err := next.Resize(20); err != nil {
		t.Error(err)
	}
}

func TestWaitForRoomEndsWithItsContext(t *testing.T) {
	b := NewBudget(100)
	large, _ := begin(t, b)
	if err := large.Resize(100); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	next := b.Begin(ctx, cancel)
	cancel()
	if err := next.Resize(1); err != context.Canceled {
		t.Errorf("error %v, want that of the context", err)
	}
}

// TestLimitHoldsForAnyCalls draws the sizes of responses, each of which ends once it is given up.
func TestLimitHoldsForAnyCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, responses = 100, 5
		b := NewBudget(limit)
		var shares []*Share
		for range responses {
			var s *Share
			ctx, cancel := context.WithCancel(context.Background())
			s = b.Begin(ctx, func() {
				cancel()
				go s.End()
			})
			shares = append(shares, s)
		}
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			s := rapid.SampledFrom(shares).Draw(t, "response")
			if s.ctx.Err() == nil && s.Resize(rapid.Int64Range(0, 120).Draw(t, "bytes")) != nil {
				s.End()
			}
			if used := b.Used(); used > limit {
				t.Fatalf("%d bytes are held, the limit is %d", used, limit)
			}
		}
		for _, s := range shares {
			s.End()
		}
		if b.Used() != 0 || b.leaving != 0 {
			t.Fatalf("%d bytes are still counted, %d of them of responses that were given up", b.used, b.leaving)
		}
	})
}
