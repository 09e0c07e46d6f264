// Command parsleyload sends requests to the entries in an open loop, in the traffic
// shape of a deployment, and reports the results.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/load"
	"parsleyramp/internal/program"
)

// exitWrongResponse is the exit code if a client received a response that was not
// its own or not complete.
const exitWrongResponse = 4

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	if len(args) > 0 && args[0] == "compare" {
		return compare(args[1:])
	}
	o, files, err := parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return program.ExitOK
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "parsleyload: %v\n", err)
		return program.ExitUsage
	}
	report, err := load.Run(ctx, *o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "parsleyload: %v\n", err)
		return program.ExitFailed
	}
	report.WriteText(os.Stdout)
	if err := files.write(report); err != nil {
		fmt.Fprintf(os.Stderr, "parsleyload: %v\n", err)
		return program.ExitFailed
	}
	if report.Mismatched+report.Deferred.Wrong > 0 {
		return exitWrongResponse
	}
	return program.ExitOK
}

func compare(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: parsleyload compare A.json B.json")
		return program.ExitUsage
	}
	a, errA := load.ReadReport(args[0])
	b, errB := load.ReadReport(args[1])
	if err := errors.Join(errA, errB); err != nil {
		fmt.Fprintf(os.Stderr, "parsleyload: %v\n", err)
		return program.ExitFailed
	}
	load.Compare(os.Stdout, a, b)
	return program.ExitOK
}

// files are the paths of the files that the report is written to besides standard
// output; empty for none.
type files struct{ json, html string }

func (f files) write(r *load.Report) error {
	if f.json != "" {
		if err := r.WriteJSON(f.json); err != nil {
			return err
		}
	}
	if f.html != "" {
		return r.WriteHTML(f.html)
	}
	return nil
}

// markList collects -mark flags such as 5s=crash.
type markList []load.Mark

// String returns an empty string: the flag has no default.
func (m *markList) String() string { return "" }

// Set adds a mark.
func (m *markList) Set(s string) error {
	at, text, ok := strings.Cut(s, "=")
	d, err := time.ParseDuration(at)
	if !ok || err != nil {
		return fail.New(fail.BadRequest, "-mark must be a time and a text, such as 5s=crash, not "+strconv.Quote(s))
	}
	*m = append(*m, load.Mark{AtSeconds: d.Seconds(), Text: text})
	return nil
}

func parse(args []string) (*load.Options, files, error) {
	var o load.Options
	var f files
	var marks markList
	flags := flag.NewFlagSet("parsleyload", flag.ContinueOnError)
	entries := flags.String("entries", "127.0.0.1:8080", "ip:port of the entries to contact first, separated by commas")
	shape := flags.String("shape", "ranmuthu", "ranmuthu or kalnins")
	scenario := flags.String("scenario", "steady", "steady, market-day, festival, engine-crash or domain-loss")
	flags.Float64Var(&o.Demand.Rate, "rate", 50, "base rate in requests per second")
	flags.DurationVar(&o.Demand.Duration, "duration", 10*time.Second, "length of the run")
	flags.Uint64Var(&o.Demand.Seed, "seed", 1, "seed of the arrivals")
	flags.IntVar(&o.Demand.Clients, "callers", 32, "number of clients, each of which keeps its own list of entries")
	flags.IntVar(&o.Demand.MaxTokens, "tokens", 32, "mean length of a response in tokens")
	flags.IntVar(&o.Retries, "retries", 0, "how often a client retries after the time that a rejection states")
	flags.DurationVar(&o.RequestTimeout, "timeout", 15*time.Second, "time-out of one request including its retries")
	flags.DurationVar(&o.DeferredWait, "overnight-wait", 5*time.Second, "how long to wait for the responses to deferred (overnight) requests after the run")
	flags.DurationVar(&o.ProgressInterval, "progress", time.Second, "time between two progress lines; 0 for none")
	flags.StringVar(&o.Policy, "policy", "", "routing policy of the entries, recorded in the report")
	flags.Var(&marks, "mark", "event to record in the report, such as 5s=crash; may be repeated")
	flags.StringVar(&f.json, "json", "", "file for the report as JSON")
	flags.StringVar(&f.html, "html", "", "file for the report as one HTML page")
	flags.Usage = func() {
		fmt.Fprintln(flags.Output(), "usage: parsleyload [flags]\n       parsleyload compare A.json B.json")
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return nil, f, err
	}
	if o.Demand.Rate <= 0 || o.Demand.Duration <= 0 || o.Demand.Clients <= 0 || o.Demand.MaxTokens <= 0 {
		return nil, f, fail.New(fail.BadRequest, "-rate, -duration, -callers and -tokens must be above zero")
	}
	o.Entries, o.Marks = strings.Split(*entries, ","), marks
	if o.ProgressInterval > 0 {
		o.Progress = os.Stderr
	}
	var err error
	if o.Demand.Shape, err = load.ShapeNamed(*shape); err != nil {
		return nil, f, err
	}
	o.Demand.Scenario, err = load.ScenarioNamed(*scenario)
	return &o, f, err
}
