package control

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// hangTimeout is the time after which a call that does not return fails its test.
const hangTimeout = 10 * time.Second

func TestShutdownAfterTheNodeFails(t *testing.T) {
	cfg := DefaultSettings()
	cfg.Address, cfg.LiveList, cfg.DataFolder = "127.0.0.1:0", "127.0.0.1:1", t.TempDir()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stopNode := context.WithCancel(context.Background())
	s, err := Start(ctx, cfg, 1, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	stopNode()
	<-s.Stopped()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background(), stopNode) }()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(hangTimeout):
		t.Fatal("Shutdown does not return after the end of the node")
	}
}
