// Command losses runs control replicas and gateways as separate processes, kills them,
// empties their disks and replaces them in a seeded order of events, and checks that the
// newest acknowledged fleet document is read back and that the next one is acknowledged.
// It exits non-zero if that failed in a case, and keeps the logs of such a run.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"time"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	names := flag.String("cases", "", "comma-separated names of cases; all that a group bears if empty")
	runs := flag.Int("runs", 1, "runs of each case, with one seed each")
	first := flag.Uint64("first", 1, "first seed")
	jobs := flag.Int("jobs", 2, "number of concurrent runs")
	net := flag.Int("net", 150, "second byte of the loopback addresses of the first concurrent run")
	keep := flag.Bool("keep", false, "keep the logs of every run")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	selected := slices.DeleteFunc(slices.Clone(cases), func(c lossCase) bool { return c.notBorne })
	if *names != "" {
		selected = slices.DeleteFunc(slices.Clone(cases), func(c lossCase) bool { return !slices.Contains(strings.Split(*names, ","), c.name) })
	}
	table := runAll(ctx, selected, options{bin: *bin, runs: *runs, first: *first, jobs: *jobs, net: *net, keep: *keep})
	failed := false
	fmt.Println("| case | runs | failed | late | read back after, median and longest | failures |\n|---|---|---|---|---|---|")
	for _, c := range selected {
		fmt.Println(table[c.name].row(c.name))
		failed = failed || len(table[c.name].failures) > 0
	}
	if failed {
		os.Exit(1)
	}
}

// options selects the programs and the seeds of the runs.
type options struct {
	bin   string
	runs  int
	first uint64
	jobs  int
	net   int
	keep  bool
}

// tally holds the results of a case.
type tally struct {
	readBack []time.Duration
	failures []string
}

func (t *tally) row(name string) string {
	slices.Sort(t.readBack)
	times := "-"
	if n := len(t.readBack); n > 0 {
		times = fmt.Sprintf("%.1f s, %.1f s", t.readBack[n/2].Seconds(), t.readBack[n-1].Seconds())
	}
	late := 0
	for _, took := range t.readBack {
		if took > recoverTime {
			late++
		}
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %s | %s |", name, len(t.readBack)+len(t.failures), len(t.failures), late, times, strings.Join(t.failures, "; "))
}

// runAll runs each case with each seed and returns the results by the names of the cases.
func runAll(ctx context.Context, selected []lossCase, o options) map[string]*tally {
	var mu sync.Mutex
	var all sync.WaitGroup
	table := map[string]*tally{}
	slots := make(chan int, o.jobs)
	for net := range o.jobs {
		slots <- o.net + net
	}
	for _, c := range selected {
		table[c.name] = &tally{}
	}
	for seed := o.first; seed < o.first+uint64(o.runs); seed++ {
		for _, c := range selected {
			net := <-slots
			if ctx.Err() != nil {
				slots <- net
				continue
			}
			all.Go(func() {
				readBack, err := runCase(ctx, c, seed, net, o)
				slots <- net
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					fmt.Fprintf(os.Stderr, "%s seed %d: %v\n", c.name, seed, err)
					table[c.name].failures = append(table[c.name].failures, fmt.Sprintf("%d: %v", seed, err))
					return
				}
				table[c.name].readBack = append(table[c.name].readBack, readBack)
			})
		}
	}
	all.Wait()
	return table
}

// runCase plays one case and checks the group after it. It returns how long after the last
// loss the document was read back from each replica.
func runCase(ctx context.Context, c lossCase, seed uint64, net int, o options) (readBack time.Duration, err error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("losses-%s-%d-", c.name, seed))
	if err != nil {
		return 0, err
	}
	b, err := newBed(ctx, dir, o.bin, net, c.replicas, cmp.Or(c.domains, c.replicas), rand.New(rand.NewPCG(seed, 0)))
	defer func() {
		b.stop()
		if err != nil || o.keep {
			err = wrap(err, "logs in "+dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	if err != nil {
		return 0, err
	}
	if err := c.play(b); err != nil {
		return 0, wrap(err, "the case could not be played")
	}
	return b.check()
}

func wrap(err error, text string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w (%s)", err, text)
}
