// Package boottime is a steady clock that also counts the time in which the VM
// was suspended. Go's own monotonic time stands still then, so nothing that
// others rely on, such as a lease, may rest on it.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started, with suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic("no boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

// NewClock returns a clock that starts at zero now.
func NewClock() func() time.Duration {
	start := Now()
	return func() time.Duration { return Now() - start }
}
