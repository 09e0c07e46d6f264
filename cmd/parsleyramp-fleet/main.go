// Command parsleyramp-fleet is one control replica of a fleet that is declared in
// fleet documents. The replicas store the document; the leader polls the live list
// and sends orders to engines.
package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleetcontrol"
	"parsleyramp/internal/program"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/upstream"
	"parsleyramp/platform"
)

// gcPercent starts garbage collections earlier than by default, because the control
// plane shares a small VM with other programs.
const gcPercent = 50

func main() {
	debug.SetGCPercent(gcPercent)
	cfg := fleetcontrol.DefaultSettings()
	var reloads program.ReloadTarget[fleetcontrol.Settings]
	d := program.Daemon{
		Name:     "parsleyramp-fleet",
		Settings: &cfg,
		Identify: func() (string, telemetry.Settings) { return cfg.ID, cfg.Telemetry },
		Reload: program.Reloader{
			Defaults: func() settings.Checked {
				defaults := fleetcontrol.DefaultSettings()
				return &defaults
			},
			Apply: func(c settings.Checked) { reloads.Apply(*c.(*fleetcontrol.Settings)) },
		},
		Run: func(ctx context.Context, newShutdownContext func() (context.Context, context.CancelFunc), log *logrus.Entry) error {
			return run(ctx, newShutdownContext, cfg, &reloads, log)
		},
	}
	os.Exit(d.Main(os.Args[1:]))
}

func run(ctx context.Context, newShutdownContext func() (context.Context, context.CancelFunc), cfg fleetcontrol.Settings, reloads *program.ReloadTarget[fleetcontrol.Settings], log *logrus.Entry) error {
	nodeCtx, cancelNode := context.WithCancel(context.Background())
	defer cancelNode()
	stopWaiting := context.AfterFunc(ctx, cancelNode)
	s, err := fleetcontrol.Start(nodeCtx, cfg, dependencies(cfg, log), log)
	stopWaiting()
	switch {
	case err != nil && ctx.Err() != nil:
		log.WithError(err).Info("stopped before the replica had started")
		return nil
	case err != nil:
		return err
	}
	reloads.Started(s.Reload)
	select {
	case <-s.Stopped():
	case <-ctx.Done():
	}
	shutdown, cancel := newShutdownContext()
	defer cancel()
	return s.Shutdown(shutdown, cancelNode)
}

func dependencies(cfg fleetcontrol.Settings, log *logrus.Entry) fleetcontrol.Dependencies {
	return fleetcontrol.Dependencies{
		Platform: platform.NewClient(upstream.NewPool(), cfg.LiveList, log), Decode: platform.DecodeDocument, OperatorHandler: platform.OperatorHandler(log),
	}
}
