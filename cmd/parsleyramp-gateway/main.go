// Command parsleyramp-gateway serves clients of a fleet that is declared in fleet
// documents: it provides the list of gateways to use, and sends each request to an
// endpoint of its route's service.
package main

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/gateway"
	"parsleyramp/internal/program"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/upstream"
	"parsleyramp/platform"
)

func main() {
	cfg := gateway.DefaultSettings()
	var reloads program.ReloadTarget[gateway.Settings]
	d := program.Daemon{
		Name:     "parsleyramp-gateway",
		Settings: &cfg,
		Identify: func() (string, telemetry.Settings) { return cfg.ID, cfg.Telemetry },
		Reload: program.Reloader{
			Defaults: func() settings.Checked {
				defaults := gateway.DefaultSettings()
				return &defaults
			},
			Apply: func(c settings.Checked) { reloads.Apply(*c.(*gateway.Settings)) },
		},
		Run: func(ctx context.Context, newShutdownContext func() (context.Context, context.CancelFunc), log *logrus.Entry) error {
			g, err := gateway.Start(cfg, dependencies(cfg, log), log)
			if err != nil {
				return err
			}
			reloads.Started(g.Reload)
			<-ctx.Done()
			shutdown, cancel := newShutdownContext()
			defer cancel()
			return g.Shutdown(shutdown)
		},
	}
	os.Exit(d.Main(os.Args[1:]))
}

func dependencies(cfg gateway.Settings, log *logrus.Entry) gateway.Dependencies {
	pool := upstream.NewPoolFrom(cfg.EndpointSourceIP)
	return gateway.Dependencies{
		Pool: pool, Reserver: platform.NewClient(pool, "", log),
		Protocol: platform.Protocol{}, Decode: platform.DecodeDocument,
		Directory: platform.Directory, Ready: platform.Ready,
	}
}
