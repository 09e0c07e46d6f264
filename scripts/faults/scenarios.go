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

func killLeader(ctx context.Context, s *system) ([]string, error) {
	leader, err := s.bed.Leader(ctx)
	if err != nil {
		return nil, err
	}
	leader.Process.Kill()
	time.Sleep(recoveryTime)
	return nil, s.bed.RestartControl(ctx, leader)
}

func pauseLeader(ctx context.Context, s *system) ([]string, error) {
	leader, err := s.bed.Leader(ctx)
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

func killEntry(ctx context.Context, s *system) ([]string, error) {
	n := s.bed.Entries[0]
	n.Process.Kill()
	time.Sleep(recoveryTime)
	return nil, s.bed.RestartEntry(ctx, n)
}

func pauseEntry(_ context.Context, s *system) ([]string, error) {
	return nil, pause(s.bed.Entries[0])
}

// restartEntry stops and starts an entry as planned. No request may fail.
func restartEntry(ctx context.Context, s *system) ([]string, error) {
	failuresBefore := s.failures()
	n := s.bed.Entries[0]
	if err := n.Process.Stop(); err != nil {
		return nil, err
	}
	if err := s.bed.RestartEntry(ctx, n); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	if failed := s.failures() - failuresBefore; failed > 0 {
		return []string{fmt.Sprintf("%d requests failed during a planned stop", failed)}, nil
	}
	return nil, nil
}

// failures returns the number of requests so far that neither succeeded nor were
// rejected with the report that they did not run.
func (s *system) failures() int {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	return s.clients.result.failed
}

func killEngine(_ context.Context, s *system) ([]string, error) {
	s.bed.Engines[0].Process.Kill()
	time.Sleep(recoveryTime)
	return nil, nil
}

func pauseEngine(_ context.Context, s *system) ([]string, error) {
	return nil, pause(s.bed.Engines[0])
}

// drainEngine marks the busiest engine as leaving. Because the live list lags,
// drainTimeout starts when the list reports the engine as leaving.
func drainEngine(ctx context.Context, s *system) ([]string, error) {
	n := s.busiestEngine(ctx)
	failuresBefore := s.failures()
	resp, err := http.Post("http://"+s.bed.LiveListAddress+"/?leaving="+n.ID, "", nil)
	if err != nil {
		return nil, err
	}
	resp.Body.Close()
	if err := s.waitListedLeaving(ctx, n.ID); err != nil {
		return nil, err
	}
	time.Sleep(drainTimeout)
	requestsBefore := s.engineRequests(ctx, n)
	time.Sleep(recoveryTime)
	var out []string
	if more := s.engineRequests(ctx, n) - requestsBefore; more > 0 {
		out = append(out, fmt.Sprintf("%d new requests reached the leaving engine more than %s after it was listed", more, drainTimeout))
	}
	if failed := s.failures() - failuresBefore; failed > 0 {
		out = append(out, fmt.Sprintf("%d requests failed while an engine was leaving", failed))
	}
	return out, nil
}

func (s *system) waitListedLeaving(ctx context.Context, id string) error {
	for {
		var vms []livelist.VM
		if err := fetchJSON(ctx, "http://"+s.bed.LiveListAddress+livelist.PathVMs, &vms); err != nil {
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

func (s *system) engineRequests(ctx context.Context, n *testbed.Node) int {
	var c standin.EngineCounts
	if err := fetchJSON(ctx, "http://"+n.Address+"/standin/counts", &c); err != nil {
		return 0
	}
	return c.Requests
}

func (s *system) busiestEngine(ctx context.Context) *testbed.Node {
	best := s.bed.Engines[0]
	for _, n := range s.bed.Engines {
		if s.engineRequests(ctx, n) > s.engineRequests(ctx, best) {
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
func injectOrderFaults(_ context.Context, s *system) ([]string, error) {
	for _, n := range s.bed.Engines {
		if err := setFaults(n, standin.Faults{LoseOrders: 1, LoseAnswers: 1, RepeatOrders: 2, DelayOrders: 1, OrderDelayMS: 500}); err != nil {
			return nil, err
		}
	}
	s.operator.setText(strings.ReplaceAll(s.operator.getText(), "2026.11", "2026.12"))
	time.Sleep(3 * recoveryTime)
	return nil, nil
}

// replaceControl replaces a control replica whose disk is lost, and then kills
// another one.
func replaceControl(ctx context.Context, s *system) ([]string, error) {
	members, err := s.bed.Members(ctx)
	if err != nil {
		return nil, err
	}
	lost := s.bed.Controls[2]
	lost.Process.Kill()
	if err := s.bed.WipeDisk(lost); err != nil {
		return nil, err
	}
	if err := s.bed.RestartControl(ctx, lost); err != nil {
		return nil, err
	}
	for _, m := range members {
		if m.Address != lost.Address {
			continue
		}
		if _, err := s.bed.Ctl(ctx, token, "replace", "-remove", m.ID, "-add", lost.Address); err != nil {
			return nil, err
		}
	}
	s.bed.Controls[1].Process.Kill()
	time.Sleep(recoveryTime)
	return nil, s.bed.RestartControl(ctx, s.bed.Controls[1])
}

func killDomain(ctx context.Context, s *system) ([]string, error) {
	s.bed.KillDomain("domain-1")
	time.Sleep(2 * recoveryTime)
	return nil, s.bed.RestartDomain(ctx, "domain-1")
}

// sendPoisonRequest repeatedly sends a request that crashes every engine that
// runs it. At most two engines may crash before it is quarantined.
func sendPoisonRequest(ctx context.Context, s *system) ([]string, error) {
	const mark = "crash-this-engine"
	for _, n := range s.bed.Engines {
		if err := setFaults(n, standin.Faults{CrashMark: mark}); err != nil {
			return nil, err
		}
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"stream":true}`, team+"/valuation", mark)
	var last response
	for i := range 40 {
		last = s.clients.send(s.bed.Entries[i%len(s.bed.Entries)].Address, "/v1/completions", "", body)
		time.Sleep(payoutRetryDelay)
	}
	crashes := 0
	for _, n := range s.bed.Engines {
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
