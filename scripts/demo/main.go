// Command demo runs the main use case on loopback. It starts every program as a
// separate process, applies a section of the desired-state document, sends
// requests as a client and stops all processes with SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"time"

	"parsleyramp/scripts/internal/testbed"
)

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	keep := flag.Bool("keep", false, "keep the folder with settings and logs")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := run(ctx, *bin, *keep); err != nil {
		fmt.Printf("FAILED: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin string, keep bool) (err error) {
	start := time.Now()
	dir, err := os.MkdirTemp("", "parsleyramp-demo-")
	if err != nil {
		return err
	}
	bed, err := testbed.New(dir, bin, options())
	if err != nil {
		return err
	}
	d := &demo{bed: bed}
	defer func() {
		bed.KillAll()
		if err != nil || keep {
			fmt.Println("settings and logs are in", dir)
			return
		}
		_ = os.RemoveAll(dir)
	}()
	for _, s := range d.steps() {
		result, err := s.run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		fmt.Printf("ok  %-44s %s\n", s.name, result)
	}
	fmt.Printf("done in %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}
