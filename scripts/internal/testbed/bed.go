package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"parsleyramp/internal/livelist"
)

const (
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 30 * time.Second
	spansSuffix       = ".spans"
)

// Size holds the numbers of processes and nodes of a test bed.
type Size struct {
	Domains  int
	Controls int
	Entries  int
	Engines  int
	Services int
}

// Options configures a test bed.
type Options struct {
	Size Size
	// EngineFlags, StoreFlags and LiveListFlags are additional command-line flags
	// of the stand-ins.
	EngineFlags   []string
	StoreFlags    []string
	LiveListFlags []string
	// ProcessPerEngine starts one process for each engine. Otherwise the engines
	// of a failure domain share a process.
	ProcessPerEngine bool
	// ControlSettings and EntrySettings are additional settings, by their names in
	// the settings file.
	ControlSettings map[string]any
	EntrySettings   map[string]any
	// TeamTokens holds the token of each team, by team name.
	TeamTokens map[string]string
	// Trace makes each process write its spans to the file ID.spans.
	Trace bool
}

// Node is one VM of the test bed.
type Node struct {
	ID      string
	Domain  string
	Address string
	// PeerAddress is the address of an entry for other entries.
	PeerAddress string
	// Process runs the node. The engines of one failure domain may share it.
	Process *Process
}

// Bed holds the processes of a test bed and their listen addresses.
type Bed struct {
	Dir             string
	StoreAddress    string
	LiveListAddress string
	Controls        []*Node
	Entries         []*Node
	Engines         []*Node
	Services        []*Node

	bin       string
	options   Options
	processes []*Process
}

// New selects free addresses for a test bed. Settings and logs are written to
// dir; bin is the folder with the built programs.
func New(dir, bin string, o Options) (*Bed, error) {
	bin, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	s := o.Size
	free, err := freeAddresses(2 + s.Controls + 2*s.Entries + s.Engines + s.Services)
	if err != nil {
		return nil, err
	}
	b := &Bed{Dir: dir, bin: bin, options: o}
	next := func() string {
		a := free[0]
		free = free[1:]
		return a
	}
	nodes := func(kind string, n int) []*Node {
		out := make([]*Node, n)
		for i := range out {
			out[i] = &Node{ID: fmt.Sprintf("%s-%d", kind, i+1), Domain: b.domain(i), Address: next()}
		}
		return out
	}
	b.StoreAddress, b.LiveListAddress = next(), next()
	b.Controls, b.Entries = nodes("control", s.Controls), nodes("entry", s.Entries)
	b.Engines, b.Services = nodes("engine", s.Engines), nodes("ledger", s.Services)
	for _, e := range b.Entries {
		e.PeerAddress = next()
	}
	return b, nil
}

func (b *Bed) domain(i int) string { return fmt.Sprintf("domain-%d", i%b.options.Size.Domains+1) }

// Path returns the path of the named file in the folder of the test bed.
func (b *Bed) Path(name string) string { return filepath.Join(b.Dir, name) }

// WriteJSON encodes v as JSON to the named file and returns its path.
func (b *Bed) WriteJSON(name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", err
	}
	return b.Path(name), os.WriteFile(b.Path(name), data, 0o644)
}

// StartStandins starts the weight store, the live list, the services and the
// engines, and waits until they listen.
func (b *Bed) StartStandins(ctx context.Context) error {
	file, err := b.WriteJSON("vms.json", b.vms())
	if err != nil {
		return err
	}
	store := append([]string{"-kind", "store", "-address", b.StoreAddress}, b.options.StoreFlags...)
	if _, err := b.Launch("store", "parsleyramp-standin", store...); err != nil {
		return err
	}
	list := append([]string{"-kind", "livelist", "-address", b.LiveListAddress, "-vms", file}, b.options.LiveListFlags...)
	if _, err := b.Launch("livelist", "parsleyramp-standin", list...); err != nil {
		return err
	}
	for _, n := range b.Services {
		if err := b.startService(n); err != nil {
			return err
		}
	}
	if err := b.startEngines(b.Engines); err != nil {
		return err
	}
	return waitListening(ctx, append([]string{b.StoreAddress, b.LiveListAddress}, append(Addresses(b.Services), Addresses(b.Engines)...)...)...)
}

func (b *Bed) startService(n *Node) (err error) {
	n.Process, err = b.Launch(n.ID, "parsleyramp-standin", b.withTraceFile(n.ID, "-kind", "service", "-id", n.ID, "-address", n.Address, "-runs", b.Path(n.ID+".runs"))...)
	return err
}

// withTraceFile appends the flag for the span file of a stand-in if tracing is
// enabled.
func (b *Bed) withTraceFile(name string, args ...string) []string {
	if b.options.Trace {
		args = append(args, "-trace-file", b.Path(name+spansSuffix))
	}
	return args
}

func (b *Bed) vms() []livelist.VM {
	var vms []livelist.VM
	for _, n := range b.Services {
		vms = append(vms, livelist.VM{ID: n.ID, Kind: livelist.KindService, Address: n.Address, Domain: n.Domain, State: livelist.Live, Service: "ledger"})
	}
	for _, n := range b.Engines {
		vms = append(vms, livelist.VM{ID: n.ID, Kind: livelist.KindEngine, Address: n.Address, Domain: n.Domain, State: livelist.Live, Accelerators: 2})
	}
	return vms
}

// startEngines starts the engines. Every second one rejects orders with older
// fencing tokens.
func (b *Bed) startEngines(engines []*Node) error {
	groups := map[string][]*Node{}
	var names []string
	for _, n := range engines {
		name := "engines-" + n.Domain
		if b.options.ProcessPerEngine {
			name = n.ID
		}
		if groups[name] == nil {
			names = append(names, name)
		}
		groups[name] = append(groups[name], n)
	}
	for _, name := range names {
		group := groups[name]
		var ids []string
		for _, n := range group {
			ids = append(ids, n.ID)
		}
		args := append([]string{
			"-kind", "engine", "-id", strings.Join(ids, ","), "-address", strings.Join(Addresses(group), ","),
			"-store", b.StoreAddress, "-fencing-ids", strings.Join(b.FencingEngines(), ","),
		}, b.options.EngineFlags...)
		p, err := b.Launch(name, "parsleyramp-standin", b.withTraceFile(name, args...)...)
		if err != nil {
			return err
		}
		for _, n := range group {
			n.Process = p
		}
	}
	return nil
}

// FencingEngines returns the ids of the engines that reject orders with older
// fencing tokens.
func (b *Bed) FencingEngines() []string {
	var out []string
	for i, n := range b.Engines {
		if i%2 == 0 {
			out = append(out, n.ID)
		}
	}
	return out
}

// StartSystem starts the control and entry processes and waits until they listen.
func (b *Bed) StartSystem(ctx context.Context) error {
	for _, n := range b.Controls {
		if err := b.startControl(n); err != nil {
			return err
		}
	}
	for _, n := range b.Entries {
		if err := b.startEntry(n, nil); err != nil {
			return err
		}
	}
	return waitListening(ctx, append(Addresses(b.Controls), Addresses(b.Entries)...)...)
}

func (b *Bed) startControl(n *Node) error {
	return b.startNode(n, "parsleyramp-control", map[string]any{
		"address": n.Address, "domain": n.Domain, "data_folder": b.Path(n.ID), "live_list": b.LiveListAddress, "team_tokens": b.options.TeamTokens,
	}, b.options.ControlSettings)
}

func (b *Bed) startEntry(n *Node, more map[string]any) error {
	file := map[string]any{
		"id": n.ID, "caller_address": n.Address, "peer_address": n.PeerAddress, "domain": n.Domain, "control": Addresses(b.Controls),
	}
	maps.Copy(file, b.options.EntrySettings)
	return b.startNode(n, "parsleyramp-entry", file, more)
}

// RestartEntries restarts every entry with additional settings.
func (b *Bed) RestartEntries(ctx context.Context, more map[string]any) error {
	for _, n := range b.Entries {
		if err := n.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("%s: %w", n.ID, err)
		}
	}
	for _, n := range b.Entries {
		if err := n.Process.wait(); err != nil {
			return err
		}
		if err := b.startEntry(n, more); err != nil {
			return err
		}
	}
	return b.WaitReady(ctx)
}

// KillDomain kills all running processes of the failure domain.
func (b *Bed) KillDomain(domain string) {
	for _, nodes := range [][]*Node{b.Engines, b.Entries, b.Controls, b.Services} {
		for _, n := range nodes {
			if n.Domain == domain && n.Process.Running() {
				n.Process.Kill()
			}
		}
	}
}

// RestartDomain starts the processes that KillDomain killed. Engines start with
// no resident models.
func (b *Bed) RestartDomain(ctx context.Context, domain string) error {
	var engines []*Node
	for _, n := range b.Engines {
		if n.Domain == domain {
			engines = append(engines, n)
		}
	}
	if err := b.startEngines(engines); err != nil {
		return err
	}
	for _, n := range b.Services {
		if n.Domain == domain {
			if err := b.startService(n); err != nil {
				return err
			}
		}
	}
	for _, n := range b.Controls {
		if n.Domain == domain {
			if err := b.startControl(n); err != nil {
				return err
			}
		}
	}
	for _, n := range b.Entries {
		if n.Domain == domain {
			if err := b.startEntry(n, nil); err != nil {
				return err
			}
		}
	}
	return b.WaitReady(ctx)
}

func (b *Bed) startNode(n *Node, program string, file, more map[string]any) error {
	maps.Copy(file, more)
	if b.options.Trace {
		file["telemetry"] = map[string]string{"trace_file": b.Path(n.ID + spansSuffix)}
	}
	path, err := b.WriteJSON(n.ID+".json", file)
	if err != nil {
		return err
	}
	n.Process, err = b.Launch(n.ID, program, "-settings", path)
	return err
}

// WaitReady waits until every entry holds a lease.
func (b *Bed) WaitReady(ctx context.Context) error {
	for _, n := range b.Entries {
		if err := b.waitReady(ctx, n.Address); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) waitReady(ctx context.Context, address string) error {
	for deadline := time.Now().Add(readyTimeout); ctx.Err() == nil; time.Sleep(readyPollInterval) {
		resp, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(resp.Status)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("entry at %s is not ready: %w", address, err)
		}
	}
	return ctx.Err()
}

// Ctl runs parsleyctl with the token of a team and returns its output.
func (b *Bed) Ctl(ctx context.Context, token string, args ...string) (string, error) {
	all := []string{"-control", strings.Join(Addresses(b.Controls), ","), "-token", token, "-timeout", "120s"}
	out, err := b.Run(ctx, "parsleyctl", append(all, args...)...)
	return strings.TrimSpace(out), err
}

// StartAll starts all processes, bootstraps the control group and waits until
// the entries are ready.
func (b *Bed) StartAll(ctx context.Context) error {
	if err := b.StartStandins(ctx); err != nil {
		return err
	}
	if err := b.StartSystem(ctx); err != nil {
		return err
	}
	if _, err := b.Ctl(ctx, "", "bootstrap"); err != nil {
		return err
	}
	return b.WaitReady(ctx)
}

// Addresses returns the addresses of the nodes.
func Addresses(nodes []*Node) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.Address
	}
	return out
}
