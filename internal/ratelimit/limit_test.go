package ratelimit

import (
	"testing"
	"time"
)

func TestLimitsAreParsed(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   Limit
	}{
		{nil, Limit{}},
		{[]string{"2"}, Limit{Named, 2}},
		{[]string{" 0.25 "}, Limit{Named, 0.25}},
		{[]string{"0"}, Limit{Named, 0}},
		{[]string{"1e300"}, Limit{Named, maxPerSecond}},
		{[]string{"5", "3"}, Limit{Named, 3}},
		{[]string{"x", "3"}, Limit{Named, 3}},
		{[]string{""}, Limit{Kind: Unreadable}},
		{[]string{"-1"}, Limit{Kind: Unreadable}},
		{[]string{"NaN"}, Limit{Kind: Unreadable}},
		{[]string{"Inf"}, Limit{Kind: Unreadable}},
		{[]string{"2 a second"}, Limit{Kind: Unreadable}},
	} {
		if got := ParseLimit(c.values); got != c.want {
			t.Errorf("%q: %+v, want %+v", c.values, got, c.want)
		}
	}
}

func TestNewestStatementCountsAndOneOfAnEarlierRequestLiftsNothing(t *testing.T) {
	var b Book
	const ms = time.Millisecond
	named := func(rate float64, at time.Duration) Statement {
		return Statement{Limited: true, PerSecond: rate, At: at}
	}
	for i, c := range []struct {
		s    Statement
		want Change
	}{
		{Statement{At: 0}, Unchanged},
		{named(2, 1000*ms), NewLimit},
		{named(2, 1100*ms), Unchanged},
		{named(3, 1050*ms), Unchanged},
		{named(1, 1200*ms), OtherLimit},
		{Statement{At: 1200*ms + liftMargin}, Unchanged},
		{Statement{At: 1201*ms + liftMargin}, Lifted},
		{named(1, 1201*ms), Unchanged},
		{named(1, 2000*ms), NewLimit},
	} {
		if got := b.Record("e", c.s); got != c.want {
			t.Errorf("statement %d: %v, want %v", i, got, c.want)
		}
	}
	b.Restart("e", 3000*ms)
	if s, _ := b.Lookup("e"); s.Limited || b.Record("e", named(1, 2900*ms)) != Unchanged || b.Limited() != 0 {
		t.Error("a new process has the limit of the former one")
	}
	if b.Record("e", named(1, 3100*ms)) != NewLimit || b.Limited() != 1 {
		t.Error("a new process cannot name a limit")
	}
	b.Retain(func(string) bool { return false })
	if _, ok := b.Lookup("e"); ok {
		t.Error("an endpoint that is gone is still known")
	}
}
