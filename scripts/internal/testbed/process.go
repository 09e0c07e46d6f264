// Package testbed starts the programs as separate processes on loopback and
// measures them. Only scripts and tests use it.
package testbed

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	startTimeout       = 20 * time.Second
	stopTimeout        = 60 * time.Second
	listenPollInterval = 20 * time.Millisecond
	// maxErrorBytes bounds the output of a program that an error quotes.
	maxErrorBytes = 2000
)

// Process is a process that Start has started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Stop sends SIGTERM and waits for the process to exit. A non-zero exit status
// is an error.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	return p.wait()
}

func (p *Process) wait() error {
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not exit after SIGTERM", p.Name)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", p.Name, p.err)
	}
	return nil
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Launch starts a built program and appends its output to the log file
// NAME.log of the test bed.
func (b *Bed) Launch(name, program string, args ...string) (*Process, error) {
	p, err := Start(b.Path(name+".log"), name, filepath.Join(b.bin, program), args...)
	if err != nil {
		return nil, err
	}
	b.processes = append(b.processes, p)
	return p, nil
}

// Start starts a program and appends its output to the log file.
func Start(log, name, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Run runs a built program, waits for its exit and returns its output.
func (b *Bed) Run(ctx context.Context, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(b.bin, program), args...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%s: %w: %s", program, err, out[max(0, len(out)-maxErrorBytes):])
	}
	return string(out), nil
}

// StopAll stops every running process with SIGTERM, in reverse order of their
// start, and returns how many it stopped. A non-zero exit status is an error.
func (b *Bed) StopAll() (int, error) {
	count := 0
	for len(b.processes) > 0 {
		p := b.processes[len(b.processes)-1]
		b.processes = b.processes[:len(b.processes)-1]
		if !p.Running() {
			continue
		}
		if err := p.Stop(); err != nil {
			return count, err
		}
		count++
	}
	return count, nil
}

// KillAll kills every running process.
func (b *Bed) KillAll() {
	for _, p := range b.processes {
		if p.Running() {
			p.Kill()
		}
	}
	b.processes = nil
}

// freeAddresses returns n loopback addresses with unused ports.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out[i] = l.Addr().String()
	}
	return out, nil
}

func waitListening(ctx context.Context, addresses ...string) error {
	for _, a := range addresses {
		if err := waitForListener(ctx, a); err != nil {
			return err
		}
	}
	return nil
}

func waitForListener(ctx context.Context, address string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(listenPollInterval) {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("no process listens on %s", address)
}
