package main

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
	"parsleyramp/scripts/internal/testbed"
)

// node is one process of the system, across its restarts.
type node struct {
	name            string
	program         string
	settings        string
	folder          string
	clientAddress   string
	operatorAddress string

	mu      sync.Mutex
	process *testbed.Process
	// started is the time of the last start, and starts the number of starts.
	started time.Time
	starts  int
	// holds is the number of active faults that prevent a start, and pauses the
	// number of pauses so far.
	holds, pauses int
	// stopping is the last process that received SIGTERM, at stopSignalAt, and
	// stopPauses the value of pauses then.
	stopping     *testbed.Process
	stopSignalAt time.Time
	stopPauses   int
	// exitedAt is when the last stopped process had exited.
	exitedAt time.Time
}

// ip returns the IP of a gateway VM.
func (n *node) ip() string {
	// The address is made by this package.
	host, _, _ := net.SplitHostPort(n.clientAddress)
	return host
}

// logPath returns the path of the log of all processes of the node.
func (n *node) logPath(s *system) string { return filepath.Join(s.dir, n.name+".log") }

// start starts the process unless it runs or a fault prevents that.
func (n *node) start(s *system) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.holds > 0 || n.process != nil && n.process.Running() {
		return nil
	}
	p, err := testbed.Start(n.logPath(s), n.name, filepath.Join(s.bin, n.program), "-settings", n.settings)
	if err != nil {
		return err
	}
	n.process, n.started = p, time.Now()
	n.starts++
	return nil
}

// stopAndHold stops the process with a signal and prevents its start until
// release.
func (n *node) stopAndHold(s *system, sig syscall.Signal) {
	n.mu.Lock()
	n.holds++
	p, started := n.process, n.started
	if sig == syscall.SIGTERM && n.stopping != p && p != nil && p.Running() {
		n.stopping, n.stopSignalAt, n.stopPauses = p, time.Now(), n.pauses
	}
	n.mu.Unlock()
	if p == nil || !p.Running() {
		return
	}
	if sig == syscall.SIGKILL {
		p.Kill()
		return
	}
	up := time.Since(started)
	if err := p.Stop(); err != nil && !isExpectedExit(err, up) {
		s.checker.RecordViolation("%s did not stop gracefully: %v", n.name, err)
	}
	n.checkExitTime(s.checker, s.size.grace)
}

// checkExitTime checks that a gateway that was not paused has exited within the
// grace period.
func (n *node) checkExitTime(c *standin.Checker, grace time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exitedAt = time.Now()
	took := n.exitedAt.Sub(n.stopSignalAt)
	if n.clientAddress != "" && took > grace && n.pauses == n.stopPauses {
		c.RecordViolation("%s exited %v after SIGTERM, the grace period is %v", n.name, took, grace)
	}
}

// lastStop returns when the last process that was stopped as planned received SIGTERM, and
// whether an attempt that began at the time and has ended was in flight between that and the exit.
func (n *node) lastStop(begunAt time.Time) (signalAt time.Time, during bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	exited := n.exitedAt.After(n.stopSignalAt)
	return n.stopSignalAt, !n.stopSignalAt.IsZero() && (!exited || begunAt.Before(n.exitedAt))
}

// signalSetupTime bounds the time from the start of a process until it handles
// signals. Before that it has no work that a stop could abort.
const signalSetupTime = 300 * time.Millisecond

// isExpectedExit reports whether the error of a stop is allowed: another fault
// killed the process, or it did not handle signals yet. up is the time since its
// start.
func isExpectedExit(err error, up time.Duration) bool {
	killed := strings.Contains(err.Error(), "signal: killed")
	early := up < signalSetupTime && strings.Contains(err.Error(), "signal: terminated")
	return killed || early
}

// release ends one hold and starts the process if no other one remains.
func (n *node) release(s *system) error {
	n.mu.Lock()
	n.holds--
	n.mu.Unlock()
	return n.start(s)
}

// signal sends a signal to the process if it runs.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Running() {
		// An error means that the process has just exited, which is ignored.
		_ = n.process.Signal(sig)
	}
}

// incarnation returns the number of starts of the process.
func (n *node) incarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// appendTornRecord appends a truncated record to a replica's log, as a power loss
// during a write leaves it.
func (n *node) appendTornRecord() error {
	path := filepath.Join(n.folder, "replica.log")
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write([]byte{0, 0, 0, 80, 1, 2, 3, 4, 5, 6, 7})
	return err
}
