// Command faults injects failures into a system of the real programs, one
// scenario after another, while clients send requests and an operator applies
// changes. For each scenario it prints the counts of requests, the longest time
// that the operator waited for the commit of a change, and the violated
// guarantees. It exits non-zero if a guarantee was violated.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"regexp"
	"slices"
	"strings"
	"time"

	"parsleyramp/scripts/internal/testbed"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	only := flag.String("only", "", "regular expression of the scenarios to run")
	keep := flag.Bool("keep", false, "keep settings and logs")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	filter, err := regexp.Compile(*only)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println("| scenario | requests | whole and own | refused, ran no | failed otherwise | longest wait for a commit | violations |")
	fmt.Println("|---|---|---|---|---|---|---|")
	ok := true
	for _, s := range scenarios {
		if filter.MatchString(s.name) {
			ok = runScenario(ctx, *bin, *keep, s) && ok
		}
	}
	if !ok {
		os.Exit(1)
	}
}

// system is one running system with its clients and its operator.
type system struct {
	bed      *testbed.Bed
	clients  *clients
	operator *operator
}

// options returns the options of a small system with every kind of process.
func options() testbed.Options {
	return testbed.Options{
		Size:             testbed.Size{Domains: 3, Controls: 3, Entries: 3, Engines: 6, Services: 2},
		ProcessPerEngine: true,
		EngineFlags:      []string{"-load", "100ms"},
		StoreFlags:       []string{"-load", "100ms", "-rate", "20"},
		EntrySettings:    map[string]any{"keep_addresses": "1s"},
		TeamTokens:       map[string]string{team: token},
	}
}

func runScenario(ctx context.Context, bin string, keep bool, s scenario) bool {
	result, err := measure(ctx, bin, keep, s)
	if err != nil {
		fmt.Printf("| %s | | | | | | could not run: %v |\n", s.name, err)
		return false
	}
	violations := "none"
	if len(result.violations) > 0 {
		violations = summarize(result.violations)
	}
	fmt.Printf("| %s | %d | %d | %d | %d | %s | %s |\n", s.name, result.requests, result.complete, result.rejected, result.failed,
		result.longestApply.Round(10*time.Millisecond), violations)
	return len(result.violations) == 0
}

// summarize joins the violations, equal ones with their count.
func summarize(violations []string) string {
	counts := map[string]int{}
	for _, v := range violations {
		counts[strings.TrimSpace(v)]++
	}
	var out []string
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%d × %s", counts[v], v))
	}
	return strings.Join(out, "; ")
}

// result is the result of one scenario.
type result struct {
	requests, complete, rejected, failed int
	longestApply                         time.Duration
	violations                           []string
}

// settleTime is how long clients run before the failure starts and after it has
// ended.
const settleTime = 2 * time.Second

func measure(ctx context.Context, bin string, keep bool, s scenario) (*result, error) {
	dir, err := os.MkdirTemp("", "parsleyramp-faults-")
	if err != nil {
		return nil, err
	}
	if keep {
		fmt.Println("settings and logs are in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	bed, err := testbed.New(dir, bin, options())
	if err != nil {
		return nil, err
	}
	defer bed.KillAll()
	if err := bed.StartAll(ctx); err != nil {
		return nil, err
	}
	sys := &system{bed: bed, operator: newOperator(bed)}
	if err := sys.operator.start(ctx); err != nil {
		return nil, err
	}
	sys.clients = startClients(bed)
	time.Sleep(settleTime)
	violations, err := s.run(ctx, sys)
	time.Sleep(settleTime)
	r := sys.clients.stop()
	r.violations = append(r.violations, violations...)
	r.longestApply = sys.operator.stop()
	if err != nil {
		return nil, err
	}
	r.violations = append(r.violations, sys.operator.check(ctx)...)
	r.violations = append(r.violations, sys.checkEndpoints(ctx)...)
	return r, nil
}
