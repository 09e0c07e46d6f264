package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"parsleyramp/internal/load"
	"parsleyramp/scripts/internal/testbed"
)

// size is the size of the system in one measurement.
type size struct {
	entries, engines, models int
}

// baseSize is the size of which each series varies one component.
var baseSize = size{entries: 6, engines: 24, models: 60}

// series is a list of sizes that differ in one component.
type series struct {
	name  string
	value func(size) float64
	sizes []size
}

var allSeries = []series{
	{"entries", func(s size) float64 { return float64(s.entries) }, []size{{3, 24, 60}, baseSize, {9, 24, 60}, {18, 24, 60}}},
	{"engines", func(s size) float64 { return float64(s.engines) }, []size{{6, 12, 60}, baseSize, {6, 48, 60}, {6, 96, 60}}},
	{"models", func(s size) float64 { return float64(s.models) }, []size{{6, 24, 20}, baseSize, {6, 24, 120}, {6, 24, 390}}},
}

// usage is the resource usage of one process during a measurement.
type usage struct {
	seconds float64
	// cpuPercent is the CPU time as a percentage of one core.
	cpuPercent float64
	rssMB      float64
	// anonymousMB is the part of the memory that no file backs, which excludes the
	// program text.
	anonymousMB float64
	// sent and received are KB per second to and from processes of the system.
	// endpoints is KB per second in both directions to endpoints and the platform.
	sent, received, endpoints float64
}

// roles holds the usage by role. entry is the mean of all entries.
type roles struct{ leader, follower, entry usage }

// measurement is the usage at one size. converged is the time from the start of
// the first process until all sections are met.
type measurement struct {
	size      size
	idle      roles
	busy      roles
	changing  roles
	converged time.Duration
}

const (
	kilobyte = 1000
	megabyte = 1000 * 1000
	// settleTime is the wait before a measurement, for connections and garbage
	// collection to settle.
	settleTime = 2 * time.Second
	// loadTokens is the mean length of a response under load, in tokens.
	loadTokens = 16
	teamName   = "team"
	// storeRate is the loads per second of the weight store. It is high so that the
	// models of a size are loaded quickly.
	storeRate = 1000
)

// shapeOf returns a deployment of the size, with one team that owns all models.
// The engines have memory for all of them.
func shapeOf(s size) load.Shape {
	shape := load.Shape{Name: "slopes", Domains: 3, Entries: s.entries, Engines: s.engines, EngineAccelerators: 2, ModelLoads: 64, AdapterLoads: 64}
	shape.Teams = []load.Team{{Name: teamName, Models: s.models}}
	ranmuthu, _ := load.ShapeNamed("ranmuthu")
	shape.Classes = ranmuthu.Classes
	return shape
}

// withoutDeferred keeps only the classes of interactive requests.
func withoutDeferred(s load.Shape) load.Shape {
	var out []load.ClassShare
	for _, c := range s.Classes {
		if c.FinishBy == "" {
			out = append(out, c)
		}
	}
	s.Classes = out
	return s
}

// onlyDeferred keeps only the first class of deferred requests.
func onlyDeferred(s load.Shape) load.Shape {
	for _, c := range s.Classes {
		if c.FinishBy != "" {
			c.Share = 1
			s.Classes = []load.ClassShare{c}
			return s
		}
	}
	return s
}

func startBed(ctx context.Context, o *options, s size) (*testbed.Bed, time.Duration, error) {
	dir, err := os.MkdirTemp("", "parsleyramp-slopes-")
	if err != nil {
		return nil, 0, err
	}
	shape := shapeOf(s)
	bedOptions := testbed.ShapeOptions(shape)
	bedOptions.EngineFlags = []string{"-memory-mb", "400000", "-slots", "64", "-token", "5ms"}
	bedOptions.ControlSettings["model_load_rate"] = storeRate
	bedOptions.StoreFlags = []string{"-rate", fmt.Sprint(storeRate), "-full-speed", "64", "-load", "10ms", "-adapters", "64"}
	bed, err := testbed.New(dir, o.bin, bedOptions)
	if err != nil {
		return nil, 0, err
	}
	begin := time.Now()
	for _, step := range []func() error{
		func() error { return bed.StartAll(ctx) },
		func() error { return bed.ApplySections(ctx, shape) },
		func() error { return bed.WaitReconciled(ctx, shape) },
	} {
		if err := step(); err != nil {
			bed.KillAll()
			return nil, 0, fmt.Errorf("%w (settings and logs are in %s)", err, dir)
		}
	}
	converged := time.Since(begin)
	if err := bed.WaitStable(ctx); err != nil {
		bed.KillAll()
		return nil, 0, err
	}
	time.Sleep(settleTime)
	return bed, converged, nil
}

func cleanUp(bed *testbed.Bed) {
	bed.KillAll()
	_ = os.RemoveAll(bed.Dir)
}

func measureSize(ctx context.Context, o *options, s size) (*measurement, error) {
	bed, converged, err := startBed(ctx, o, s)
	if err != nil {
		return nil, err
	}
	defer cleanUp(bed)
	p := &measurement{size: s, converged: converged}
	if p.idle, err = measureDuring(bed, func() error { time.Sleep(o.idle); return nil }); err != nil {
		return nil, err
	}
	p.busy, err = measureDuring(bed, func() error {
		return sendLoad(ctx, bed, withoutDeferred(shapeOf(s)), o.rate, o.busy, loadTokens)
	})
	if err != nil {
		return nil, err
	}
	p.changing, err = measureDuring(bed, func() error { return applyChanges(ctx, o, bed, s) })
	return p, err
}

// errFailedRequests is returned if more than 5% of the requests of a load failed.
var errFailedRequests = errors.New("requests of the load failed")

// sendLoad sends a load from this process to the entries.
func sendLoad(ctx context.Context, bed *testbed.Bed, shape load.Shape, rate float64, d time.Duration, tokens int) error {
	scenario, err := load.ScenarioNamed("steady")
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, load.Options{
		Demand:  load.Demand{Shape: shape, Scenario: scenario, Rate: rate, Duration: d, Seed: 1, Clients: 16, MaxTokens: tokens},
		Entries: testbed.Addresses(bed.Entries), RequestTimeout: 10 * time.Second,
	})
	if err == nil && r.Failed > r.Offered/20 {
		err = fmt.Errorf("%w: %d of %d", errFailedRequests, r.Failed, r.Offered)
	}
	return err
}

// applyChanges applies changes of the section at a constant interval.
func applyChanges(ctx context.Context, o *options, bed *testbed.Bed, s size) error {
	shape := shapeOf(s)
	tick := time.NewTicker(max(o.busy/time.Duration(max(1, o.changes)), 100*time.Millisecond))
	defer tick.Stop()
	for i := range o.changes {
		for c := range shape.Classes {
			if shape.Classes[c].FinishBy == "" {
				shape.Classes[c].BetweenTokensMS += int64(i + 1)
			}
		}
		if err := bed.ApplySections(ctx, shape); err != nil {
			return err
		}
		<-tick.C
	}
	return nil
}

// measureDuring runs f and returns the usage of every role during that time.
func measureDuring(bed *testbed.Bed, f func() error) (roles, error) {
	before, err := measureNodes(bed)
	if err != nil {
		return roles{}, err
	}
	if err := f(); err != nil {
		return roles{}, err
	}
	after, err := measureNodes(bed)
	if err != nil {
		return roles{}, err
	}
	var out roles
	var entries []usage
	for _, n := range bed.Controls {
		v := usageBetween(before[n], after[n])
		if after[n].Metrics["parsleyramp_raft_leading"] == 1 {
			out.leader = v
		} else {
			out.follower = v
		}
	}
	for _, n := range bed.Entries {
		entries = append(entries, usageBetween(before[n], after[n]))
	}
	out.entry = mean(entries)
	return out, nil
}

func measureNodes(bed *testbed.Bed) (map[*testbed.Node]testbed.Usage, error) {
	out := map[*testbed.Node]testbed.Usage{}
	for _, n := range append(append([]*testbed.Node{}, bed.Controls...), bed.Entries...) {
		u, err := testbed.Measure(n)
		if err != nil {
			return nil, err
		}
		out[n] = u
	}
	return out, nil
}

func usageBetween(a, b testbed.Usage) usage {
	seconds := b.At.Sub(a.At).Seconds()
	rate := func(name, part string) float64 {
		return (b.Sum(name, part) - a.Sum(name, part)) / seconds / kilobyte
	}
	const sent, received = "parsleyramp_sent_bytes_total", "parsleyramp_received_bytes_total"
	return usage{
		seconds: seconds, cpuPercent: 100 * (b.CPU - a.CPU).Seconds() / seconds, rssMB: b.RSSBytes / megabyte, anonymousMB: b.AnonymousBytes / megabyte,
		sent: rate(sent, `"system"`), received: rate(received, `"system"`),
		endpoints: rate(sent, `"endpoint"`) + rate(received, `"endpoint"`),
	}
}

func mean(list []usage) usage {
	var out usage
	for _, s := range list {
		n := float64(len(list))
		out.seconds += s.seconds / n
		out.cpuPercent += s.cpuPercent / n
		out.rssMB += s.rssMB / n
		out.anonymousMB += s.anonymousMB / n
		out.sent += s.sent / n
		out.received += s.received / n
		out.endpoints += s.endpoints / n
	}
	return out
}
