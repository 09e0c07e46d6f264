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
	pauseTime = 5 * time.Second
	// drainTimeout is how long an endpoint may still receive new requests after
	// the live list reports it as leaving.
	drainTimeout = 3 * time.Second
	recoveryTime = 4 * time.Second
)

// scenario is one failure. run injects it and returns the violations that the
// general checks cannot detect.
type scenario struct {
	name string
	run  func(context.Context, *system) ([]string, error)
}

var scenarios = []scenario{
	{"no failure", func(context.Context, *system) ([]string, error) { time.Sleep(recoveryTime); return nil, nil }},
	{"control leader killed and restarted", killLeader},
	{"control leader frozen for 5 s", pauseLeader},
	{"entry killed and restarted", killEntry},
	{"entry frozen for 5 s", pauseEntry},
	{"entry stopped with SIGTERM and started", restartEntry},
	{"engine killed", killEngine},
	{"engine frozen for 5 s", pauseEngine},
	{"engine leaves", drainEngine},
	{"orders lost, answers lost, orders repeated during a version change", injectOrderFaults},
	{"control disk lost, replica replaced, a second VM killed", replaceControl},
	{"failure domain lost and back", killDomain},
	{"one request crashes every engine that runs it", sendPoisonRequest},
}

func killLeader(ctx context.Context, b *system) ([]string, error) {
	leader, err := b.bed.Leader(ctx)
	if err != nil {
		return nil, err
	}
	leader.Process.Kill()
	time.Sleep(recoveryTime)
	return nil, b.bed.RestartControl(ctx, leader)
}

func pauseLeader(ctx context.Context, b *system) ([]string, error) {
	leader, err := b.bed.Leader(ctx)
	if err != nil {
		return nil, err
	}
	return nil, pause(leader)
}

func pause(n *testbed.Node) error {
	if err := n.Pause(); err != nil {
		return err
	}
	time.Sleep(pauseTime)
	return n.Resume()
}

func killEntry(ctx context.Context, b *system) ([]string, error) {
	n := b.bed.Entries[0]
	n.Process.Kill()
	time.Sleep(recoveryTime)
	return nil, b.bed.RestartEntry(ctx, n)
}

func pauseEntry(_ context.Context, b *system) ([]string, error) {
	return nil, pause(b.bed.Entries[0])
}

// restartEntry stops and starts an entry as planned. No request may fail.
func restartEntry(ctx context.Context, b *system) ([]string, error) {
	before := b.failures()
	n := b.bed.Entries[0]
	if err := n.Process.Stop(); err != nil {
		return nil, err
	}
	if err := b.bed.RestartEntry(ctx, n); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	if failed := b.failures() - before; failed > 0 {
		return []string{fmt.Sprintf("%d requests failed during a planned stop", failed)}, nil
	}
	return nil, nil
}

// failures returns the number of requests so far that were neither answered nor
// rejected without a run.
func (b *system) failures() int {
	b.clients.mu.Lock()
	defer b.clients.mu.Unlock()
	return b.clients.result.failed
}

func killEngine(_ context.Context, b *system) ([]string, error) {
	b.bed.Engines[0].Process.Kill()
	time.Sleep(recoveryTime)
	return nil, nil
}

func pauseEngine(_ context.Context, b *system) ([]string, error) {
	return nil, pause(b.bed.Engines[0])
}

// drainEngine marks the busiest engine as leaving. Because the live list lags,
// drainTimeout starts when the list reports the engine as leaving.
func drainEngine(ctx context.Context, b *system) ([]string, error) {
	n := b.busiestEngine(ctx)
	before := b.failures()
	resp, err := http.Post("http://"+b.bed.LiveListAddress+"/?leaving="+n.ID, "", nil)
	if err != nil {
		return nil, err
	}
	resp.Body.Close()
	if err := b.waitListedLeaving(ctx, n.ID); err != nil {
		return nil, err
	}
	time.Sleep(drainTimeout)
	at := b.engineRequests(ctx, n)
	time.Sleep(recoveryTime)
	var out []string
	if more := b.engineRequests(ctx, n) - at; more > 0 {
		out = append(out, fmt.Sprintf("%d new requests reached the leaving engine more than %s after it was listed", more, drainTimeout))
	}
	if failed := b.failures() - before; failed > 0 {
		out = append(out, fmt.Sprintf("%d requests failed while an engine was leaving", failed))
	}
	return out, nil
}

func (b *system) waitListedLeaving(ctx context.Context, id string) error {
	for {
		var vms []livelist.VM
		if err := fetchJSON(ctx, "http://"+b.bed.LiveListAddress+livelist.PathVMs, &vms); err != nil {
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

func (b *system) engineRequests(ctx context.Context, n *testbed.Node) int {
	var c standin.EngineCounts
	if err := fetchJSON(ctx, "http://"+n.Address+"/standin/counts", &c); err != nil {
		return 0
	}
	return c.Requests
}

func (b *system) busiestEngine(ctx context.Context) *testbed.Node {
	best := b.bed.Engines[0]
	for _, n := range b.bed.Engines {
		if b.engineRequests(ctx, n) > b.engineRequests(ctx, best) {
			best = n
		}
	}
	return best
}

// setFaults configures the faults of a stand-in.
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

// injectOrderFaults changes the version of every model while engines lose, repeat
// and delay orders and lose responses to them.
func injectOrderFaults(_ context.Context, b *system) ([]string, error) {
	for _, n := range b.bed.Engines {
		if err := setFaults(n, standin.Faults{LoseOrders: 1, LoseAnswers: 1, RepeatOrders: 2, DelayOrders: 1, OrderDelayMS: 500}); err != nil {
			return nil, err
		}
	}
	b.operator.setText(strings.ReplaceAll(b.operator.getText(), "2026.11", "2026.12"))
	time.Sleep(3 * recoveryTime)
	return nil, nil
}

// replaceControl replaces a control replica whose disk is lost, and then kills
// another one.
func replaceControl(ctx context.Context, b *system) ([]string, error) {
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
	time.Sleep(recoveryTime)
	return nil, b.bed.RestartControl(ctx, b.bed.Controls[1])
}

func killDomain(ctx context.Context, b *system) ([]string, error) {
	b.bed.KillDomain("domain-1")
	time.Sleep(2 * recoveryTime)
	return nil, b.bed.RestartDomain(ctx, "domain-1")
}

// sendPoisonRequest repeatedly sends a request that crashes every engine that
// runs it. At most two engines may crash before it is quarantined.
func sendPoisonRequest(ctx context.Context, b *system) ([]string, error) {
	const mark = "crash-this-engine"
	for _, n := range b.bed.Engines {
		if err := setFaults(n, standin.Faults{CrashMark: mark}); err != nil {
			return nil, err
		}
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true}`, team+"/valuation", mark)
	var last response
	for i := range 40 {
		last = b.clients.send(b.bed.Entries[i%len(b.bed.Entries)].Address, "/v1/completions", "", body)
		time.Sleep(payoutRetryDelay)
	}
	crashes := 0
	for _, n := range b.bed.Engines {
		var c standin.EngineCounts
		if err := fetchJSON(ctx, "http://"+n.Address+"/standin/counts", &c); err == nil {
			crashes += c.Crashes
		}
	}
	var out []string
	if crashes > 2 {
		out = append(out, fmt.Sprintf("one request crashed %d engines, want at most 2", crashes))
	}
	if !strings.Contains(last.body, "quarantined") {
		out = append(out, fmt.Sprintf("the request is not quarantined: last response is %d %s", last.status, strings.TrimSpace(last.body)))
	}
	return out, nil
}
