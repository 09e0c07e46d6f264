package main

import (
	"testing"
	"time"

	"parsleyramp/platform/standin"
)

func TestAbortsAllowedDuringPlannedStops(t *testing.T) {
	const cutOff = gracePeriod - 600*time.Millisecond
	for _, c := range []struct {
		name      string
		abort     abort
		want      bool
		underLoad bool
	}{
		{"crosses the close of an idle connection", abort{kind: standin.Stream, sent: true, state: standin.NotRun, lasted: 150 * time.Millisecond, sinceStop: 1500 * time.Millisecond}, true, false},
		{"the same, under load", abort{kind: standin.Stream, sent: true, state: standin.NotRun, lasted: 150 * time.Millisecond, sinceStop: 1500 * time.Millisecond}, true, true},
		{"begins to send when its new connection has been closed", abort{kind: standin.Stream, state: standin.NotRun, lasted: time.Second, silent: 900 * time.Millisecond, sinceStop: 2500 * time.Millisecond}, true, true},
		{"began to send long before", abort{kind: standin.Stream, state: standin.NotRun, lasted: time.Second, silent: 700 * time.Millisecond, sinceStop: 2500 * time.Millisecond}, false, true},
		{"waits for an endpoint until the grace period ends", abort{kind: standin.ResumableStream, sent: true, state: standin.NotRun, lasted: 2 * time.Second, sinceStop: cutOff}, false, true},
		{"is being received at the end of the grace period", abort{kind: standin.Stream, sent: false, state: standin.NotRun, lasted: 2 * time.Second, sinceStop: cutOff}, true, true},
		{"is being received before the end of the grace period", abort{kind: standin.Stream, sent: false, state: standin.NotRun, lasted: 2 * time.Second, sinceStop: 1500 * time.Millisecond}, false, true},
		{"is being received, without load", abort{kind: standin.Stream, sent: false, state: standin.NotRun, lasted: 2 * time.Second, sinceStop: cutOff}, false, false},
		{"runs at the end of the grace period", abort{kind: standin.Stream, sent: true, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff}, true, true},
		{"sent just before that is late", abort{kind: standin.Stream, sent: true, sentSinceStop: lateTime, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff}, true, true},
		{"sent late", abort{kind: standin.Stream, sent: true, sentSinceStop: lateTime + 1, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff}, false, true},
		{"runs, but was not sent whole", abort{kind: standin.Stream, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff}, false, true},
		{"cut while its endpoint works", abort{kind: standin.Stream, sent: true, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff, workedUntil: cutOff}, true, true},
		{"cut although its endpoint works no more", abort{kind: standin.Stream, sent: true, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff, workedUntil: lastWorkTime - 1}, false, true},
		{"runs at the end of the grace period and is not a stream", abort{kind: standin.AtMostOnce, sent: true, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff}, false, true},
		{"runs at the end of the grace period, without load", abort{kind: standin.Stream, sent: true, state: standin.Running, lasted: 2 * time.Second, sinceStop: cutOff}, false, false},
		{"runs before the end of the grace period", abort{kind: standin.Stream, sent: true, state: standin.Running, lasted: 2 * time.Second, sinceStop: 3 * time.Second}, false, true},
		{"runs at a gateway that was stopped long ago", abort{kind: standin.Stream, sent: true, state: standin.Running, lasted: 2 * time.Second, sinceStop: time.Minute}, false, true},
		{"completed at the endpoint", abort{kind: standin.AtMostOnce, sent: true, state: standin.Completed, lasted: 2 * time.Second, sinceStop: cutOff}, false, true},
		{"a stream that its endpoint completed just before it was cut", abort{kind: standin.Stream, sent: true, state: standin.Completed, lasted: 2 * time.Second, sinceStop: cutOff, workedUntil: cutOff - 1}, false, true},
		{"a stream that its endpoint completed after it was cut", abort{kind: standin.Stream, sent: true, state: standin.Completed, lasted: 2 * time.Second, sinceStop: cutOff, workedUntil: cutOff}, true, true},
		{"a stream that was sent late and completed after it was cut", abort{kind: standin.Stream, sent: true, sentSinceStop: lateTime + 1, state: standin.Completed, lasted: 2 * time.Second, sinceStop: cutOff, workedUntil: cutOff}, false, true},
		{"a response completed after the grace period", abort{kind: standin.AtMostOnce, sent: true, state: standin.Completed, lasted: 2 * time.Second, sinceStop: cutOff, workedUntil: cutOff}, false, true},
		{"a stream that the endpoint broke off", abort{kind: standin.Stream, sent: true, state: standin.BrokenOff, lasted: time.Second, sinceStop: time.Second}, true, true},
		{"a response that the endpoint broke off", abort{kind: standin.AtMostOnce, sent: true, state: standin.BrokenOff, lasted: time.Second, sinceStop: time.Second}, false, true},
		{"a stream at its time-out", abort{kind: standin.Stream, sent: true, state: standin.Running, lasted: standin.Timeout, sinceStop: time.Minute}, true, true},
		{"a request at its time-out", abort{kind: standin.Idempotent, sent: true, state: standin.Running, lasted: standin.Timeout, sinceStop: time.Minute}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, lost := c.abort.reason(c.underLoad)
			if got := !lost; got != c.want {
				t.Errorf("abort of an attempt (%v), under load %v: allowed %v, want %v", c.abort, c.underLoad, got, c.want)
			}
		})
	}
}
