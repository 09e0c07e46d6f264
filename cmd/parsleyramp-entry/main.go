// Command parsleyramp-entry serves clients on an entry VM: it provides the list of
// entries to use, routes and admits requests, and sends them to the endpoints that
// it owns.
package main

import (
	"context"
	"math/rand/v2"
	"os"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/entry"
	"parsleyramp/internal/program"
	"parsleyramp/internal/telemetry"
)

func main() {
	cfg := entry.DefaultSettings()
	d := program.Daemon{
		Name:     "parsleyramp-entry",
		Settings: &cfg,
		Identify: func() (string, telemetry.Settings) { return cfg.ID, cfg.Telemetry },
		Run: func(ctx context.Context, newShutdownContext func() (context.Context, context.CancelFunc), log *logrus.Entry) error {
			s, err := entry.Start(cfg, rand.Uint64(), log)
			if err != nil {
				return err
			}
			<-ctx.Done()
			shutdown, cancel := newShutdownContext()
			defer cancel()
			return s.Shutdown(shutdown)
		},
	}
	os.Exit(d.Main(os.Args[1:]))
}
