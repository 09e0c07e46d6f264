// Command soak runs the programs of a fleet as separate processes, injects random
// faults from outside, and checks the guarantees for clients, operators and
// endpoints. It exits non-zero if a guarantee was violated, and keeps the logs of
// such a run.
package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/platform/standin"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	seeds := flag.Int("seeds", 1, "number of seeds to run")
	first := flag.Uint64("first", uint64(time.Now().UnixNano())%1e9, "first seed")
	length := flag.Duration("for", 15*time.Second, "how long faults are injected in a run")
	series := flag.Int("series", 2, "number of series of planned stops in a run")
	gateways := flag.Int("gateways", defaultSize.gateways, "number of gateways of a run")
	crashing := flag.Bool("crashing", true, "send requests that crash each endpoint that runs them, after the faults")
	ledger := flag.Int("ledger", defaultSize.ledger, "number of endpoints of the plain service, out of all")
	workspaces := flag.Bool("workspaces", false, "declare workspaces with keys and quotas, and send beyond a quota")
	special := flag.Bool("special", true, "add faults of versions, links to endpoints, brittle engines and limits, after the random ones")
	lossForms := flag.Bool("forms", false, "play the forms of lost requests on nine gateways in place of faults")
	formName := flag.String("form", "", "with -forms, play only the forms whose names contain it")
	keep := flag.Bool("keep", false, "keep the logs of every run")
	network := flag.Int("network", 0, "number of the loopback networks of the first concurrent run, for more than one soak at a time")
	jobs := flag.Int("jobs", 2, "number of concurrent runs")
	flag.Parse()
	size := defaultSize
	size.gateways, size.ledger = *gateways, *ledger
	if *lossForms {
		size = formSize
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	fmt.Println("| seed | faults | served | refused | failed | broken off | not reached | newest version " +
		"| in stops | sent late | of them run | cut | lost | taken up | went on | promises broken |")
	fmt.Println("|" + strings.Repeat("---|", 16))
	var next atomic.Uint64
	var failed atomic.Bool
	var all sync.WaitGroup
	for run := range *jobs {
		all.Go(func() {
			for i := next.Add(1) - 1; i < uint64(*seeds) && ctx.Err() == nil; i = next.Add(1) - 1 {
				o := options{bin: *bin, run: *network + run, seed: *first + i, size: size, length: *length, series: *series, crashingRequest: *crashing, crashingPart: *crashing, crashingRead: *crashing, limits: *special, versions: *special, cutOff: *special, brittle: *special, workspaces: *workspaces, forms: *lossForms, form: *formName}
				if !runSeed(ctx, o, *keep) {
					failed.Store(true)
				}
			}
		})
	}
	all.Wait()
	if failed.Load() {
		os.Exit(1)
	}
}

// runSeed runs one seed and prints its row of the table. It reports whether no
// guarantee was violated.
func runSeed(ctx context.Context, o options, keep bool) bool {
	seed := o.seed
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	log, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer log.Close()
	var mu sync.Mutex
	o.dir, o.logLine = dir, func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(log, time.Now().Format("15:04:05.000"), line)
	}
	r, err := runSoak(ctx, o)
	if err != nil {
		fmt.Printf("| %d | | | | | | | | | | | | | | | could not run: %v; logs in %s |\n", seed, err, dir)
		return false
	}
	n := r.outcomes
	fmt.Printf("| %d | %d | %d | %d | %d | %d | %d | %d | %s | %d | %d | %d |\n", seed, r.steps,
		n[standin.Served], n[standin.Rejected], n[standin.Failed], n[standin.Aborted], n[standin.Unreachable],
		r.newestVersion, r.stops, r.takenUp, r.wentOn, len(r.violations))
	for _, line := range r.forms {
		fmt.Println(line)
	}
	for _, cut := range slices.Sorted(maps.Keys(r.cuts)) {
		fmt.Printf("   cut in planned stops: %d x %s\n", r.cuts[cut], cut)
	}
	if len(r.violations) == 0 && !keep {
		_ = os.RemoveAll(dir)
		return true
	}
	for _, violation := range r.violations {
		fmt.Println("  ", violation)
	}
	fmt.Println("   logs in", dir)
	return len(r.violations) == 0
}
