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
		{"crosses the close of an idle connection", abort{standin.Stream, true, standin.NotRun, 150 * time.Millisecond, 1500 * time.Millisecond}, true, false},
		{"the same, under load", abort{standin.Stream, true, standin.NotRun, 150 * time.Millisecond, 1500 * time.Millisecond}, true, true},
		{"waits for an endpoint until the grace period ends", abort{standin.ResumableStream, true, standin.NotRun, 2 * time.Second, cutOff}, false, true},
		{"is being received at the end of the grace period", abort{standin.Stream, false, standin.NotRun, 2 * time.Second, cutOff}, true, true},
		{"is being received before the end of the grace period", abort{standin.Stream, false, standin.NotRun, 2 * time.Second, 1500 * time.Millisecond}, false, true},
		{"is being received, without load", abort{standin.Stream, false, standin.NotRun, 2 * time.Second, cutOff}, false, false},
		{"runs at the end of the grace period", abort{standin.Stream, true, standin.Running, 2 * time.Second, cutOff}, true, true},
		{"runs at the end of the grace period and is not a stream", abort{standin.AtMostOnce, true, standin.Running, 2 * time.Second, cutOff}, false, true},
		{"runs at the end of the grace period, without load", abort{standin.Stream, true, standin.Running, 2 * time.Second, cutOff}, false, false},
		{"runs before the end of the grace period", abort{standin.Stream, true, standin.Running, 2 * time.Second, 3 * time.Second}, false, true},
		{"runs at a gateway that was stopped long ago", abort{standin.Stream, true, standin.Running, 2 * time.Second, time.Minute}, false, true},
		{"completed at the endpoint", abort{standin.AtMostOnce, true, standin.Completed, 2 * time.Second, cutOff}, false, true},
		{"a stream that the endpoint broke off", abort{standin.Stream, true, standin.BrokenOff, time.Second, time.Second}, true, true},
		{"a response that the endpoint broke off", abort{standin.AtMostOnce, true, standin.BrokenOff, time.Second, time.Second}, false, true},
		{"a stream at its time-out", abort{standin.Stream, true, standin.Running, standin.Timeout, time.Minute}, true, true},
		{"a request at its time-out", abort{standin.Idempotent, true, standin.Running, standin.Timeout, time.Minute}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.abort.allowed(c.underLoad); got != c.want {
				t.Errorf("abort of an attempt (%v), under load %v: allowed %v, want %v", c.abort, c.underLoad, got, c.want)
			}
		})
	}
}
