// Command latency measures the time to first token that the system adds. It sends
// the same load in turn to the engines directly and through the entries, and
// subtracts the quantiles.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"time"

	"parsleyramp/internal/load"
	"parsleyramp/scripts/internal/testbed"
)

const (
	teamName    = "team"
	entryCount  = 8
	engineCount = 3
	// responseTokens is small so that most slots of the engines stay free.
	responseTokens = 4
)

type options struct {
	bin      string
	rate     float64
	duration time.Duration
	rounds   int
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the built programs")
	flag.Float64Var(&o.rate, "rate", 300, "requests per second")
	flag.DurationVar(&o.duration, "duration", 5*time.Second, "duration of one run")
	flag.IntVar(&o.rounds, "rounds", 3, "number of runs, each direct and through the system")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := run(ctx, o); err != nil {
		fmt.Printf("FAILED: %v\n", err)
		os.Exit(1)
	}
}

// shape returns a deployment with one model that is resident on every engine,
// and requests of one class.
func shape() load.Shape {
	s, _ := load.ShapeNamed("ranmuthu")
	s.Domains, s.Entries, s.Engines = engineCount, entryCount, engineCount
	s.Teams = []load.Team{{Name: teamName, Models: 1}}
	s.Classes = s.Classes[:1]
	s.Classes[0].Share = 1
	return s
}

func run(ctx context.Context, o options) error {
	dir, err := os.MkdirTemp("", "parsleyramp-latency-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	s := shape()
	bedOptions := testbed.ShapeOptions(s)
	bedOptions.EngineFlags = []string{"-slots", "64", "-token", "1ms", "-prefill", "0s"}
	bed, err := testbed.New(dir, o.bin, bedOptions)
	if err != nil {
		return err
	}
	defer bed.KillAll()
	if err := prepare(ctx, bed, s); err != nil {
		return err
	}
	fmt.Printf("%s\nMachine: %d processors, %s. %g requests/s for %s, %d entries, %d engines.\n\n",
		strings.TrimSpace("go run ./scripts/latency "+strings.Join(os.Args[1:], " ")), runtime.NumCPU(), runtime.Version(), o.rate, o.duration, entryCount, engineCount)
	fmt.Println("| round | direct p50 ms | p95 | p99 | through the system p50 ms | p95 | p99 | added p50 ms | added p95 | added p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	var added [3][]float64
	for round := range o.rounds {
		direct, err := measure(ctx, o, s, bed.Engines, true, round)
		if err != nil {
			return err
		}
		through, err := measure(ctx, o, s, bed.Entries, false, round)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |", round+1, direct.P50, direct.P95, direct.P99, through.P50, through.P95, through.P99)
		for i, d := range []float64{through.P50 - direct.P50, through.P95 - direct.P95, through.P99 - direct.P99} {
			added[i] = append(added[i], d)
			fmt.Printf(" %.2f |", d)
		}
		fmt.Println()
	}
	for i, name := range []string{"p50", "p95", "p99"} {
		slices.Sort(added[i])
		fmt.Printf("\nadded %s: median %.2f ms, %.2f to %.2f\n", name, added[i][len(added[i])/2], added[i][0], added[i][len(added[i])-1])
	}
	_, err = bed.StopAll()
	return err
}

// prepare starts the system and loads the model on every engine.
func prepare(ctx context.Context, bed *testbed.Bed, s load.Shape) error {
	if err := bed.StartAll(ctx); err != nil {
		return err
	}
	section := s.Section(s.Teams[0], bed.FencingEngines())
	section.Models[0].Replicas = engineCount
	file, err := bed.WriteJSON("section.json", section)
	if err != nil {
		return err
	}
	if _, err := bed.Ctl(ctx, testbed.TeamToken(teamName), "apply", file); err != nil {
		return err
	}
	if err := bed.WaitReconciled(ctx, s); err != nil {
		return err
	}
	return bed.WaitStable(ctx)
}

func measure(ctx context.Context, o options, s load.Shape, nodes []*testbed.Node, direct bool, round int) (load.Quantiles, error) {
	scenario, err := load.ScenarioNamed("steady")
	if err != nil {
		return load.Quantiles{}, err
	}
	r, err := load.Run(ctx, load.Options{
		Demand:  load.Demand{Shape: s, Scenario: scenario, Rate: o.rate, Duration: o.duration, Seed: uint64(round + 1), Clients: 32, MaxTokens: responseTokens},
		Entries: testbed.Addresses(nodes), RequestTimeout: 10 * time.Second, Direct: direct,
	})
	if err != nil {
		return load.Quantiles{}, err
	}
	if r.Failed > 0 {
		return load.Quantiles{}, fmt.Errorf("%d of %d requests failed: %v", r.Failed, r.Offered, r.FailedAttempts)
	}
	return r.FirstTokenMS, nil
}
