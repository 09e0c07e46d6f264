package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"parsleyramp/internal/livelist"
	"parsleyramp/internal/standin"
	"parsleyramp/scripts/internal/testbed"
)

const (
	freezeTime = 5 * time.Second
	// leaveBound is how long a leaving endpoint may still receive new requests.
	leaveBound = 3 * time.Second
	recovery   = 4 * time.Second
)

// scenario is one failure. run returns the violations that only it can see.
type scenario struct {
	name string
	run  func(context.Context, *bench) ([]string, error)
}

var scenarios = []scenario{
	{"no failure", func(context.Context, *bench) ([]string, error) { time.Sleep(recovery); return nil, nil }},
	{"control leader killed and restarted", killLeader},
	{"control leader frozen for 5 s", freezeLeader},
	{"entry killed and restarted", killEntry},
	{"entry frozen for 5 s", freezeEntry},
	{"entry stopped with SIGTERM and started", restartEntry},
	{"engine killed", killEngine},
	{"engine frozen for 5 s", freezeEngine},
	{"engine leaves", leaveEngine},
	{"orders lost, answers lost, orders repeated during a version change", faultyOrders},
	{"control disk lost, replica replaced, a second VM killed", loseDisk},
	{"failure domain lost and back", loseDomain},
	{"one request crashes every engine that runs it", poison},
}

func killLeader(ctx context.Context, b *bench) ([]string, error) {
	leader, err := b.bed.Leader(ctx)
	if err != nil {
		return nil, err
	}
	leader.Process.Kill()
	time.Sleep(recovery)
	return nil, b.bed.RestartControl(ctx, leader)
}

func freezeLeader(ctx context.Context, b *bench) ([]string, error) {
	leader, err := b.bed.Leader(ctx)
	if err != nil {
		return nil, err
	}
	return nil, freeze(leader)
}

func freeze(n *testbed.Node) error {
	if err := n.Pause(); err != nil {
		return err
	}
	time.Sleep(freezeTime)
	return n.Resume()
}

func killEntry(ctx context.Context, b *bench) ([]string, error) {
	n := b.bed.Entries[0]
	n.Process.Kill()
	time.Sleep(recovery)
	return nil, b.bed.RestartEntry(ctx, n)
}

func freezeEntry(_ context.Context, b *bench) ([]string, error) {
	return nil, freeze(b.bed.Entries[0])
}

// restartEntry is a planned stop: nothing may fail.
func restartEntry(ctx context.Context, b *bench) ([]string, error) {
	before := b.failures()
	n := b.bed.Entries[0]
	if err := n.Process.Stop(); err != nil {
		return nil, err
	}
	if err := b.bed.RestartEntry(ctx, n); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	if cut := b.failures() - before; cut > 0 {
		return []string{fmt.Sprintf("%d requests failed during a planned stop", cut)}, nil
	}
	return nil, nil
}

// failures counts the requests so far that were neither answered nor refused
// as not run.
func (b *bench) failures() int {
	b.callers.mu.Lock()
	defer b.callers.mu.Unlock()
	return b.callers.result.failed
}

func killEngine(_ context.Context, b *bench) ([]string, error) {
	b.bed.Engines[0].Process.Kill()
	time.Sleep(recovery)
	return nil, nil
}

func freezeEngine(_ context.Context, b *bench) ([]string, error) {
	return nil, freeze(b.bed.Engines[0])
}

// leaveEngine marks the busiest engine as leaving. The live list lags, and the
// bound counts from when the list says so.
func leaveEngine(ctx context.Context, b *bench) ([]string, error) {
	n := b.busiest(ctx)
	before := b.failures()
	resp, err := http.Post("http://"+b.bed.LiveListAddress+"/?leaving="+n.ID, "", nil)
	if err != nil {
		return nil, err
	}
	resp.Body.Close()
	if err := b.waitListed(ctx, n.ID); err != nil {
		return nil, err
	}
	time.Sleep(leaveBound)
	at := b.engineRequests(ctx, n)
	time.Sleep(recovery)
	var out []string
	if more := b.engineRequests(ctx, n) - at; more > 0 {
		out = append(out, fmt.Sprintf("%d new requests reached the leaving engine after %s", more, leaveBound))
	}
	if cut := b.failures() - before; cut > 0 {
		out = append(out, fmt.Sprintf("%d requests failed while an engine left", cut))
	}
	return out, nil
}

func (b *bench) waitListed(ctx context.Context, id string) error {
	for {
		var vms []livelist.VM
		if err := fetch(ctx, "http://"+b.bed.LiveListAddress+livelist.PathVMs, &vms); err != nil {
			return err
		}
		for _, vm := range vms {
			if vm.ID == id && vm.State == livelist.Leaving {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *bench) engineRequests(ctx context.Context, n *testbed.Node) int {
	var c standin.EngineCounts
	if err := fetch(ctx, "http://"+n.Address+"/standin/counts", &c); err != nil {
		return 0
	}
	return c.Requests
}

func (b *bench) busiest(ctx context.Context) *testbed.Node {
	best := b.bed.Engines[0]
	for _, n := range b.bed.Engines {
		if b.engineRequests(ctx, n) > b.engineRequests(ctx, best) {
			best = n
		}
	}
	return best
}

// setFaults tells a stand-in what to do wrong.
func setFaults(n *testbed.Node, f standin.Faults) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+n.Address+standin.PathFaults, "application/json", strings.NewReader(string(data)))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// faultyOrders changes every model's version while orders go wrong.
func faultyOrders(_ context.Context, b *bench) ([]string, error) {
	for _, n := range b.bed.Engines {
		if err := setFaults(n, standin.Faults{LoseOrders: 1, LoseAnswers: 1, RepeatOrders: 2, DelayOrders: 1, OrderDelayMS: 500}); err != nil {
			return nil, err
		}
	}
	b.operator.setText(strings.ReplaceAll(b.operator.getText(), "2026.11", "2026.12"))
	time.Sleep(3 * recovery)
	return nil, nil
}

// loseDisk replaces a control VM whose disk is lost and then kills another.
func loseDisk(ctx context.Context, b *bench) ([]string, error) {
	members, err := b.bed.Members(ctx)
	if err != nil {
		return nil, err
	}
	lost := b.bed.Controls[2]
	lost.Process.Kill()
	if err := b.bed.WipeDisk(lost); err != nil {
		return nil, err
	}
	if err := b.bed.RestartControl(ctx, lost); err != nil {
		return nil, err
	}
	for _, m := range members {
		if m.Address != lost.Address {
			continue
		}
		if _, err := b.bed.Ctl(ctx, token, "replace", "-remove", m.ID, "-add", lost.Address); err != nil {
			return nil, err
		}
	}
	b.bed.Controls[1].Process.Kill()
	time.Sleep(recovery)
	return nil, b.bed.RestartControl(ctx, b.bed.Controls[1])
}

func loseDomain(ctx context.Context, b *bench) ([]string, error) {
	b.bed.KillDomain("domain-1")
	time.Sleep(2 * recovery)
	return nil, b.bed.RestartDomain(ctx, "domain-1")
}

// poison sends one request again and again that crashes every engine that
// runs it. It may cost two engines.
func poison(ctx context.Context, b *bench) ([]string, error) {
	const mark = "crash-this-engine"
	for _, n := range b.bed.Engines {
		if err := setFaults(n, standin.Faults{CrashMark: mark}); err != nil {
			return nil, err
		}
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true}`, team+"/valuation", mark)
	var last reply
	for i := range 40 {
		last = b.callers.send(b.bed.Entries[i%len(b.bed.Entries)].Address, "/v1/completions", "", body)
		time.Sleep(payoutPause)
	}
	crashes := 0
	for _, n := range b.bed.Engines {
		var c standin.EngineCounts
		if err := fetch(ctx, "http://"+n.Address+"/standin/counts", &c); err == nil {
			crashes += c.Crashes
		}
	}
	var out []string
	if crashes > 2 {
		out = append(out, fmt.Sprintf("one request crashed %d engines", crashes))
	}
	if !strings.Contains(last.body, "quarantined") {
		out = append(out, fmt.Sprintf("the last answer is %d %s", last.status, strings.TrimSpace(last.body)))
	}
	return out, nil
}
