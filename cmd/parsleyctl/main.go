// Command parsleyctl is the operators' tool: it checks, compares, applies and
// watches a team's section of the desired-state document, and manages the control
// replicas.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"parsleyramp/internal/ctl"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := ctl.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	cancel()
	os.Exit(code)
}
