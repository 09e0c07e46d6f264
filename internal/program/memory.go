package program

import "runtime/debug"

const (
	// memoryLimitRatio is the share of a process's memory that is set as the soft memory limit of the
	// garbage collector, unless less than memoryReserveMB would remain: the program itself takes that, and what the
	// kernel holds of its connections. The limit is at least minMemoryRatio.
	memoryLimitRatio = 0.6
	memoryReserveMB  = 36
	minMemoryRatio   = 0.3
)

// LimitMemory makes the garbage collector keep within a process's memory, in MB; zero for no limit.
func LimitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitMB(float64(mb)) * (1 << 20)))
	}
}

func memoryLimitMB(mb float64) float64 {
	return max(min(memoryLimitRatio*mb, mb-memoryReserveMB), minMemoryRatio*mb)
}
