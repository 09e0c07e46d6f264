package transport

import (
	"syscall"

	"parsleyramp/internal/settings"
)

const (
	// connectionShare is the share of a process's descriptors that accepted connections may take; the
	// rest is for endpoints, other processes and files.
	connectionShare = 0.75
	// headMemoryShare and bodyMemoryShare are the shares of a process's memory for connections with
	// the heads of their requests, and for bodies; the defaults hold without a memory limit.
	headMemoryShare   = 0.2
	bodyMemoryShare   = 0.25
	defaultHeadMemory = 64 << 20
	defaultBodyMemory = 1 << 30
	// minConnections is the least number of connections that a limit may allow.
	minConnections = 16
	bytesPerMB     = 1 << 20
)

// ClientLimitSettings bounds what clients take of a process. Zero stands for the default of each field.
type ClientLimitSettings struct {
	// Descriptors is the number of descriptors that the process may have open, if that is below the system's limit.
	Descriptors int `json:"descriptors"`
	// Connections is the number of connections that it accepts at the same time; by default
	// three quarters of the descriptors.
	Connections int `json:"connections"`
	// HeadMemoryMB is the memory, in MB, of connections and the heads of their requests, and BodyMemoryMB
	// that of their bodies; by default a fifth and a quarter of the process's memory.
	HeadMemoryMB int `json:"head_memory_mb"`
	BodyMemoryMB int `json:"body_memory_mb"`
}

// Check records the fields with invalid values in c.
func (s ClientLimitSettings) Check(c *settings.Checker) {
	c.Require(s.Descriptors >= 0, "client_limits.descriptors", "0 or more")
	c.Require(s.Connections == 0 || s.Connections >= minConnections, "client_limits.connections", "0, or 16 or more")
	c.Require(s.HeadMemoryMB >= 0, "client_limits.head_memory_mb", "0 or more")
	c.Require(s.BodyMemoryMB >= 0, "client_limits.body_memory_mb", "0 or more")
}

// Config returns the limits for a process that may use memoryMB of memory; zero for no limit.
func (s ClientLimitSettings) Config(memoryMB int) ClientLimitsConfig {
	out := ClientLimitsConfig{Connections: s.Connections, ConnectionBytes: defaultHeadMemory, BodyBytes: defaultBodyMemory}
	if out.Connections == 0 {
		out.Connections = max(int(connectionShare*float64(s.descriptors())), minConnections)
	}
	if memoryMB > 0 {
		out.ConnectionBytes = int64(headMemoryShare * float64(memoryMB) * bytesPerMB)
		out.BodyBytes = int64(bodyMemoryShare * float64(memoryMB) * bytesPerMB)
	}
	if s.HeadMemoryMB > 0 {
		out.ConnectionBytes = int64(s.HeadMemoryMB) * bytesPerMB
	}
	if s.BodyMemoryMB > 0 {
		out.BodyBytes = int64(s.BodyMemoryMB) * bytesPerMB
	}
	return out
}

// descriptors returns how many descriptors the process may have open.
func (s ClientLimitSettings) descriptors() int {
	const unlimited = 1 << 20
	system := uint64(unlimited)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		system = min(system, limit.Cur)
	}
	if s.Descriptors > 0 {
		return min(s.Descriptors, int(system))
	}
	return int(system)
}
