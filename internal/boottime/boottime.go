// Package boottime provides a monotonic clock that includes the time for which
// the VM was suspended. Go's own monotonic clock stops during suspension, so
// anything that other processes rely on, such as a lease, must not be timed by it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, including suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// NewClock returns a function that returns the time since the call of NewClock.
func NewClock() func() time.Duration {
	start := Now()
	return func() time.Duration { return Now() - start }
}
