// Command bench runs load scenarios against the real programs at the size of a
// deployment, with each routing policy in turn, and writes a table of the
// results.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"parsleyramp/internal/load"
)

type options struct {
	bin, out            string
	shape               load.Shape
	scenarios           []string
	policies            []string
	rounds              int
	rate                float64
	duration            time.Duration
	meanTokens, retries int
	tokenInterval       time.Duration
	slots               int
	keep                bool
	note, command       string
	requestTimeout      time.Duration
	storeLoadRate       float64
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	o, err := parse()
	if err == nil {
		err = run(ctx, o)
	}
	if err != nil {
		fmt.Printf("FAILED: %v\n", err)
		os.Exit(1)
	}
}

// maxRunDuration bounds the duration of one run.
const maxRunDuration = 30 * time.Second

func parse() (*options, error) {
	o := &options{command: "go run ./scripts/bench " + strings.Join(os.Args[1:], " ")}
	flag.StringVar(&o.bin, "bin", "bin", "folder with the built programs")
	flag.StringVar(&o.out, "out", "", "folder for the table and the reports; empty for none")
	shape := flag.String("shape", "ranmuthu", "ranmuthu or kalnins")
	scenarios := flag.String("scenarios", "steady,market-day,festival,engine-crash,domain-loss", "scenarios, separated by commas")
	policies := flag.String("policies", "", "routing policies to run alternately, such as owner,round_robin,least_in_flight; empty for the default")
	flag.IntVar(&o.rounds, "rounds", 1, "number of runs of each scenario and policy")
	flag.Float64Var(&o.rate, "rate", 70, "base rate in requests per second")
	flag.DurationVar(&o.duration, "duration", 12*time.Second, "duration of one run")
	flag.IntVar(&o.meanTokens, "tokens", 48, "mean length of a response in tokens")
	flag.IntVar(&o.retries, "retries", 0, "number of retries of a client")
	flag.DurationVar(&o.tokenInterval, "token", 10*time.Millisecond, "time between two tokens of a stand-in engine")
	flag.IntVar(&o.slots, "slots", 8, "concurrent requests that a stand-in engine serves")
	flag.Float64Var(&o.storeLoadRate, "loads", 3, "loads per second of the weight store")
	flag.DurationVar(&o.requestTimeout, "timeout", 8*time.Second, "time-out of one request")
	flag.BoolVar(&o.keep, "keep", false, "keep the folder with settings and logs")
	flag.StringVar(&o.note, "note", "", "note for the table, for instance other load on the machine")
	flag.Parse()
	if o.duration > maxRunDuration {
		return nil, fmt.Errorf("-duration is too long: a run lasts at most %s", maxRunDuration)
	}
	o.scenarios = strings.Split(*scenarios, ",")
	o.policies = strings.Split(*policies, ",")
	var err error
	o.shape, err = load.ShapeNamed(*shape)
	return o, err
}
