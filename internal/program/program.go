// Package program provides what the main functions of the programs share: flags,
// settings, logs, traces, signals and exit codes.
package program

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
)

// Exit codes of every program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// shutdownTimeout limits a graceful shutdown.
const shutdownTimeout = 5 * time.Minute

// traceFlushTimeout limits the wait for the last spans to be written. The grace
// period of a program must leave this time after its graceful shutdown.
const traceFlushTimeout = 400 * time.Millisecond

// logFlushTimeout limits the wait for the last log lines to be written.
const logFlushTimeout = 500 * time.Millisecond

// Daemon is a program that runs until SIGTERM or SIGINT.
type Daemon struct {
	Name string
	// Settings holds the defaults, which the settings file overrides.
	Settings settings.Checked
	// Identify returns the id for logs and traces, and the telemetry settings.
	// It is called after the settings have been loaded.
	Identify func() (string, telemetry.Settings)
	// Reload applies settings that change while the program runs; its zero
	// value applies none.
	Reload Reloader
	// Run serves until ctx ends and then shuts down gracefully within the
	// context that newShutdownContext returns.
	Run func(ctx context.Context, newShutdownContext func() (context.Context, context.CancelFunc), log *logrus.Entry) error
}

// Main reads flags and settings, runs the daemon and returns its exit code.
func (d Daemon) Main(args []string) int {
	flags := flag.NewFlagSet(d.Name, flag.ContinueOnError)
	path := flags.String("settings", "", "settings file: JSON with comments")
	check := flags.Bool("check", false, "only check the settings")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	if *path == "" {
		fmt.Fprintf(os.Stderr, "%s: -settings is required\n", d.Name)
		return ExitUsage
	}
	// Before the reloader starts to listen and after it has ended, during a
	// graceful shutdown, a SIGHUP must not terminate the program.
	signal.Ignore(syscall.SIGHUP)
	// Signals are caught from here until the program exits, so that none of them
	// interrupts its start or its exit.
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// The error is ignored: settings.Load reports a file that cannot be read.
	content, _ := os.ReadFile(*path)
	if err := settings.Load(*path, d.Settings); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, err)
		return ExitSettings
	}
	if *check {
		fmt.Printf("%s: settings are valid\n", *path)
		return ExitOK
	}
	id, t := d.Identify()
	out := telemetry.NewBoundedWriter(os.Stdout, t.LogBytesPerSecond)
	defer out.Close(logFlushTimeout)
	log := telemetry.NewLogger(t, out, d.Name, id)
	log.WithField("settings", *path).Info("starting")
	if ctx.Err() != nil {
		log.Info("stopped before the program ran")
		return ExitOK
	}
	if err := d.serve(ctx, id, *path, content, t, log); err != nil {
		log.WithField("code", fail.From(err).Code).WithError(err).Error("program failed")
		return ExitFailed
	}
	return ExitOK
}

// serve runs the daemon until ctx ends, with tracing and reloading.
func (d Daemon) serve(ctx context.Context, id, path string, content []byte, t telemetry.Settings, log *logrus.Entry) error {
	go d.Reload.watch(ctx, path, content, log)
	flush, err := telemetry.StartTracing(ctx, t, d.Name, id)
	if err != nil {
		return err
	}
	newShutdownContext := func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), shutdownTimeout)
	}
	err = d.Run(ctx, newShutdownContext, log)
	if flushErr := flushSpans(flush); err == nil {
		err = flushErr
	}
	return err
}

// flushSpans writes the last spans within traceFlushTimeout.
func flushSpans(flush func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
	defer cancel()
	return flush(ctx)
}
