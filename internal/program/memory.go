package program

import "runtime/debug"

// memoryLimitRatio is the share of a process's memory that is set as the soft memory limit of the
// garbage collector.
const memoryLimitRatio = 0.6

// LimitMemory makes the garbage collector keep within a process's memory, in MB; zero for no limit.
func LimitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * memoryLimitRatio * (1 << 20)))
	}
}
