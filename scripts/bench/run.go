package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"parsleyramp/internal/load"
	"parsleyramp/internal/standin"
	"parsleyramp/scripts/internal/testbed"
)

// faultDelayDivisor divides the duration of a run into the delay until the fault
// is injected: a third of the duration.
const faultDelayDivisor = 3

// result is the result of one run.
type result struct {
	scenario, policy string
	round            int
	report           *load.Report
	// moves is the number of loads, drains and unloads decided during the run.
	moves int
}

type bench struct {
	options *options
	bed     *testbed.Bed
	results []result
}

func run(ctx context.Context, o *options) (err error) {
	dir, err := os.MkdirTemp("", "parsleyramp-bench-")
	if err != nil {
		return err
	}
	bedOptions := testbed.ShapeOptions(o.shape)
	bedOptions.EngineFlags = []string{"-token", o.tokenInterval.String(), "-slots", fmt.Sprint(o.slots)}
	bedOptions.StoreFlags = append(bedOptions.StoreFlags, "-rate", fmt.Sprint(o.storeLoadRate))
	bed, err := testbed.New(dir, o.bin, bedOptions)
	if err != nil {
		return err
	}
	b := &bench{options: o, bed: bed}
	defer func() {
		bed.KillAll()
		if err != nil || o.keep {
			fmt.Println("settings and logs are in", dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	start := time.Now()
	if err := b.prepare(ctx); err != nil {
		return err
	}
	fmt.Printf("%s: %d engines, %d entries, sections met after %s\n", o.shape.Name, o.shape.Engines, o.shape.Entries, time.Since(start).Round(time.Second))
	if err := b.runAll(ctx); err != nil {
		return err
	}
	if _, err := bed.StopAll(); err != nil {
		return err
	}
	return b.write()
}

func (b *bench) prepare(ctx context.Context) error {
	if err := b.bed.StartAll(ctx); err != nil {
		return err
	}
	if err := b.bed.ApplySections(ctx, b.options.shape); err != nil {
		return err
	}
	return b.settle(ctx)
}

// settle waits until all sections are met and the residents no longer change, so
// that a run does not affect the next one.
func (b *bench) settle(ctx context.Context) error {
	if err := b.bed.WaitReconciled(ctx, b.options.shape); err != nil {
		return err
	}
	return b.bed.WaitStable(ctx)
}

// runAll runs the policies of a scenario alternately, so that other load on the
// machine affects all of them.
func (b *bench) runAll(ctx context.Context) error {
	for _, scenario := range b.options.scenarios {
		for round := range b.options.rounds {
			for _, policy := range b.options.policies {
				r, err := b.runOne(ctx, scenario, policy, round)
				if err != nil {
					return fmt.Errorf("%s %s: %w", scenario, policy, err)
				}
				b.results = append(b.results, *r)
				fmt.Printf("%-13s %-16s round %d  within targets %.4f  first token p95 %.1f ms  failed %d\n",
					scenario, policy, round+1, r.report.AttainedShare, r.report.FirstTokenMS.P95, r.report.Failed)
			}
		}
	}
	return nil
}

func (b *bench) runOne(ctx context.Context, scenario, policy string, round int) (*result, error) {
	if policy != "" {
		if err := b.bed.RestartEntries(ctx, map[string]any{"routing_policy": policy}); err != nil {
			return nil, err
		}
	}
	name := strings.Join([]string{b.options.shape.Name, scenario, policy, fmt.Sprint(round + 1)}, "-")
	args := []string{
		"-entries", strings.Join(testbed.Addresses(b.bed.Entries), ","), "-shape", b.options.shape.Name, "-scenario", scenario,
		"-rate", fmt.Sprint(b.options.rate), "-duration", b.options.duration.String(), "-seed", fmt.Sprint(round + 1), "-tokens", fmt.Sprint(b.options.meanTokens),
		"-retries", fmt.Sprint(b.options.retries), "-timeout", b.options.requestTimeout.String(), "-progress", "0", "-policy", policy,
		"-json", b.bed.Path(name + ".json"), "-html", b.bed.Path(name + ".html"),
	}
	if scenario == "engine-crash" || scenario == "domain-loss" {
		args = append(args, "-mark", (b.options.duration/faultDelayDivisor).String()+"="+scenario)
	}
	movesBefore, err := b.bed.Moves()
	if err != nil {
		return nil, err
	}
	faultDone := make(chan error, 1)
	go func() { faultDone <- b.injectFault(ctx, scenario) }()
	if _, err := b.bed.Run(ctx, "parsleyload", args...); err != nil {
		return nil, err
	}
	movesAfter, err := b.bed.Moves()
	if err != nil {
		return nil, err
	}
	if err := <-faultDone; err != nil {
		return nil, err
	}
	if err := b.settle(ctx); err != nil {
		return nil, err
	}
	report, err := load.ReadReport(b.bed.Path(name + ".json"))
	if err != nil {
		return nil, err
	}
	return &result{scenario: scenario, policy: policy, round: round, report: report, moves: movesAfter - movesBefore}, b.saveReport(name)
}

// injectFault injects the fault of a scenario, if it has one. A killed failure
// domain is restarted after the run.
func (b *bench) injectFault(ctx context.Context, scenario string) error {
	faultTimer := time.After(b.options.duration / faultDelayDivisor)
	endTimer := time.After(b.options.duration + b.options.requestTimeout)
	switch scenario {
	case "engine-crash":
		<-faultTimer
		resp, err := http.Post("http://"+b.bed.Engines[0].Address+standin.PathCrash, "", nil)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	case "domain-loss":
		domain := fmt.Sprintf("domain-%d", b.options.shape.Domains)
		<-faultTimer
		b.bed.KillDomain(domain)
		<-endTimer
		return b.bed.RestartDomain(ctx, domain)
	}
	return nil
}

// saveReport copies the JSON and HTML reports of a run to the output folder.
func (b *bench) saveReport(name string) error {
	if b.options.out == "" {
		return nil
	}
	if err := os.MkdirAll(b.options.out, 0o755); err != nil {
		return err
	}
	for _, suffix := range []string{".json", ".html"} {
		data, err := os.ReadFile(b.bed.Path(name + suffix))
		if err != nil {
			return err
		}
		if err := os.WriteFile(b.options.out+"/"+name+suffix, data, 0o644); err != nil {
			return err
		}
	}
	return nil
}
