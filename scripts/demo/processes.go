package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"parsleyramp/internal/platform"
)

const (
	startTimeout = 10 * time.Second
	stopTimeout  = 30 * time.Second
	team         = "closing-desk"
	token        = "demo-token"
	numControls  = 3
	numEntries   = 3
	numEngines   = 4
)

type process struct {
	name string
	cmd  *exec.Cmd
	done chan error
}

// demo holds the processes with the addresses that they listen on.
type demo struct {
	dir, bin  string
	processes []*process
	store     string
	list      string
	service   string
	engines   []string
	controls  []string
	entries   []string
	peers     []string
	// chosen is the entry that the system told the caller to use.
	chosen string
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (d *demo) reserve() error {
	single := []*string{&d.store, &d.list, &d.service}
	for _, p := range single {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		*p = a
	}
	for list, n := range map[*[]string]int{&d.engines: numEngines, &d.controls: numControls, &d.entries: numEntries, &d.peers: numEntries} {
		for range n {
			a, err := freeAddress()
			if err != nil {
				return err
			}
			*list = append(*list, a)
		}
	}
	return nil
}

func (d *demo) path(name string) string { return filepath.Join(d.dir, name) }

func (d *demo) writeJSON(name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	return d.path(name), os.WriteFile(d.path(name), data, 0o644)
}

// launch starts a program with its output in a log file.
func (d *demo) launch(name, program string, args ...string) error {
	out, err := os.Create(d.path(name + ".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(d.bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, done: make(chan error, 1)}
	d.processes = append(d.processes, p)
	go func() { p.done <- cmd.Wait() }()
	return nil
}

func waitListening(ctx context.Context, address string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("nothing listens on %s", address)
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%3+1) }

func (d *demo) startStandins(ctx context.Context) (string, error) {
	if err := d.reserve(); err != nil {
		return "", err
	}
	vms := []platform.VM{{ID: "ledger-1", Kind: platform.KindService, Address: d.service, Domain: domain(0), State: platform.Live, Service: "ledger"}}
	for i, a := range d.engines {
		vms = append(vms, platform.VM{ID: fmt.Sprintf("engine-%d", i+1), Kind: platform.KindEngine, Address: a, Domain: domain(i), State: platform.Live, Accelerators: 2})
	}
	file, err := d.writeJSON("vms.json", vms)
	if err != nil {
		return "", err
	}
	if err := d.launch("store", "parsleyramp-standin", "-kind", "store", "-address", d.store); err != nil {
		return "", err
	}
	if err := d.launch("livelist", "parsleyramp-standin", "-kind", "livelist", "-address", d.list, "-vms", file); err != nil {
		return "", err
	}
	if err := d.launch("ledger-1", "parsleyramp-standin", "-kind", "service", "-id", "ledger-1", "-address", d.service); err != nil {
		return "", err
	}
	for i, a := range d.engines {
		id := fmt.Sprintf("engine-%d", i+1)
		// Half of the engines refuse older fencing numbers, half ignore them.
		fencing := fmt.Sprintf("-fencing=%t", i%2 == 0)
		if err := d.launch(id, "parsleyramp-standin", "-kind", "engine", "-id", id, "-address", a, "-store", d.store, fencing); err != nil {
			return "", err
		}
	}
	for _, a := range append([]string{d.store, d.list, d.service}, d.engines...) {
		if err := waitListening(ctx, a); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d engines, 1 service, weight store, live list", numEngines), nil
}

type controlFile struct {
	Address    string            `json:"address"`
	Domain     string            `json:"domain"`
	DataFolder string            `json:"data_folder"`
	LiveList   string            `json:"live_list"`
	TeamTokens map[string]string `json:"team_tokens"`
}

type entryFile struct {
	ID            string   `json:"id"`
	CallerAddress string   `json:"caller_address"`
	PeerAddress   string   `json:"peer_address"`
	Domain        string   `json:"domain"`
	Control       []string `json:"control"`
	KeepAddresses string   `json:"keep_addresses"`
}

func (d *demo) startSystem(ctx context.Context) (string, error) {
	for i, a := range d.controls {
		name := fmt.Sprintf("control-%d", i+1)
		file, err := d.writeJSON(name+".json", controlFile{a, domain(i), d.path(name), d.list, map[string]string{team: token}})
		if err != nil {
			return "", err
		}
		if err := d.launch(name, "parsleyramp-control", "-settings", file); err != nil {
			return "", err
		}
	}
	for i, a := range d.entries {
		name := fmt.Sprintf("entry-%d", i+1)
		file, err := d.writeJSON(name+".json", entryFile{name, a, d.peers[i], domain(i), d.controls, "1s"})
		if err != nil {
			return "", err
		}
		if err := d.launch(name, "parsleyramp-entry", "-settings", file); err != nil {
			return "", err
		}
	}
	for _, a := range append(append([]string{}, d.controls...), d.entries...) {
		if err := waitListening(ctx, a); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d control, %d entries", numControls, numEntries), nil
}

// ctl runs parsleyctl and returns its output.
func (d *demo) ctl(ctx context.Context, args ...string) (string, error) {
	args = append([]string{"-control", strings.Join(d.controls, ","), "-token", token, "-timeout", "30s"}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(d.bin, "parsleyctl"), args...).CombinedOutput()
	text := strings.TrimSpace(string(out))
	if err != nil {
		return "", fmt.Errorf("parsleyctl: %w: %s", err, text)
	}
	return strings.ReplaceAll(text, "\n", "; "), nil
}

// stopAll sends SIGTERM to every process, entries first, and expects exit 0.
func (d *demo) stopAll(context.Context) (string, error) {
	count := len(d.processes)
	for len(d.processes) > 0 {
		p := d.processes[len(d.processes)-1]
		d.processes = d.processes[:len(d.processes)-1]
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return "", fmt.Errorf("%s: %w", p.name, err)
		}
		select {
		case err := <-p.done:
			if err != nil {
				return "", fmt.Errorf("%s: %w", p.name, err)
			}
		case <-time.After(stopTimeout):
			return "", fmt.Errorf("%s did not stop", p.name)
		}
	}
	return fmt.Sprintf("%d processes, exit 0 each", count), nil
}

// killAll ends what a failed demo leaves running.
func (d *demo) killAll() {
	for _, p := range d.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}
