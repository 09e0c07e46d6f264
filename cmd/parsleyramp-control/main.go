// Command parsleyramp-control is one control replica. It stores the replicated state
// (leases, claims and deferred requests) and accepts changes of the desired-state
// document. The leader decides on placement and orders.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/control"
	"parsleyramp/internal/program"
	"parsleyramp/internal/telemetry"
)

// gcPercent starts garbage collections earlier than by default, because the control
// plane shares a small VM with other programs.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	cfg := control.DefaultSettings()
	d := program.Daemon{
		Name:     "parsleyramp-control",
		Settings: &cfg,
		Identify: func() (string, telemetry.Settings) { return cfg.Address, cfg.Telemetry },
		Run: func(ctx context.Context, newShutdownContext func() (context.Context, context.CancelFunc), log *logrus.Entry) error {
			return run(ctx, newShutdownContext, cfg, log)
		},
	}
	os.Exit(d.Main(os.Args[1:]))
}

func run(ctx context.Context, newShutdownContext func() (context.Context, context.CancelFunc), cfg control.Settings, log *logrus.Entry) error {
	nodeCtx, cancelNode := context.WithCancel(context.Background())
	defer cancelNode()
	stopWaiting := context.AfterFunc(ctx, cancelNode)
	s, err := control.Start(nodeCtx, cfg, 0, log)
	stopWaiting()
	switch {
	case err != nil && ctx.Err() != nil:
		log.WithError(err).Info("stopped before the replica had started")
		return nil
	case err != nil:
		return err
	}
	select {
	case <-s.Stopped():
	case <-ctx.Done():
	}
	shutdown, cancel := newShutdownContext()
	defer cancel()
	return s.Shutdown(shutdown, cancelNode)
}
