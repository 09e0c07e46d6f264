// Command slopes measures the resource usage of a control leader, a control
// follower and an entry at several sizes of the system, and fits the growth per
// unit of size by least squares.
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
)

type options struct {
	bin     string
	out     string
	idle    time.Duration
	busy    time.Duration
	rate    float64
	only    string
	note    string
	changes int
}

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var o options
	flag.StringVar(&o.bin, "bin", "bin", "folder with the built programs")
	flag.StringVar(&o.out, "out", "", "output file of the tables; empty for none")
	flag.DurationVar(&o.idle, "idle", 5*time.Second, "duration of a measurement without load")
	flag.DurationVar(&o.busy, "busy", 5*time.Second, "duration of a measurement under load")
	flag.Float64Var(&o.rate, "rate", 40, "load in requests per second")
	flag.StringVar(&o.only, "only", "", "series to measure: entries, engines, models or traffic; empty for all")
	flag.IntVar(&o.changes, "changes", 10, "number of section changes in a measurement")
	flag.StringVar(&o.note, "note", "", "note for the tables, for instance other load on the machine")
	flag.Parse()
	text, err := measureAll(ctx, &o)
	fmt.Println(text)
	if err == nil && o.out != "" {
		err = os.WriteFile(o.out, []byte(text), 0o644)
	}
	if err != nil {
		fmt.Printf("FAILED: %v\n", err)
		os.Exit(1)
	}
}

// command returns the command line of this run.
func command() string {
	return strings.TrimSpace("go run ./scripts/slopes " + strings.Join(os.Args[1:], " "))
}
