// Command parsleyramp-gateway serves callers of a fleet that is declared by
// whole documents: it says which gateways to use, and sends each request to an
// endpoint of its route's service.
package main

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/gateway"
	"parsleyramp/internal/program"
	"parsleyramp/internal/telemetry"
	"parsleyramp/platform"
)

func main() {
	cfg := gateway.DefaultSettings()
	d := program.Daemon{
		Name:     "parsleyramp-gateway",
		Settings: &cfg,
		Identify: func() (string, telemetry.Settings) { return cfg.ID, cfg.Telemetry },
		Run: func(ctx context.Context, stop func() (context.Context, context.CancelFunc), log *logrus.Entry) error {
			g, err := gateway.Start(cfg, adapter(), log)
			if err != nil {
				return err
			}
			<-ctx.Done()
			shutdown, cancel := stop()
			defer cancel()
			return g.Shutdown(shutdown)
		},
	}
	os.Exit(d.Main(os.Args[1:]))
}

func adapter() gateway.Adapter {
	return gateway.Adapter{
		Protocol: platform.Ingress{}, Decode: platform.DecodeDocument,
		Directory: platform.Directory, Ready: platform.Ready,
	}
}
