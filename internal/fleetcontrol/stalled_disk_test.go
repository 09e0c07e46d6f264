package fleetcontrol

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
)

// stalledStorage is a replica.Storage whose writes block until release is closed.
type stalledStorage struct {
	writing chan struct{}
	release chan struct{}
}

func (s stalledStorage) Save(*wire.HardState, []*wire.LogEntry) error {
	s.writing <- struct{}{}
	<-s.release
	return nil
}

func (s stalledStorage) SaveSnapshot(_ *wire.Snapshot, h *wire.HardState, remaining []*wire.LogEntry) error {
	return s.Save(h, remaining)
}

// idleListener is a net.Listener on which no connection arrives.
type idleListener struct {
	closed chan struct{}
	close  func()
}

func newIdleListener() idleListener {
	closed := make(chan struct{})
	return idleListener{closed, sync.OnceFunc(func() { close(closed) })}
}

func (l idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l idleListener) Close() error {
	l.close()
	return nil
}

func (l idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// startStalled returns a server whose consensus node blocks in a write, and the
// function that stops the node.
func startStalled(t *testing.T, storage stalledStorage) (*Server, context.CancelFunc) {
	t.Helper()
	cfg := DefaultSettings()
	cfg.Address, cfg.DataFolder = "127.0.0.1:1", t.TempDir()
	j, recovered, err := journal.Open(cfg.DataFolder, func() uint64 { return seedID(cfg.Address) })
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	s := &Server{cfg: cfg, log: testLog(), clock: clock, journal: j, stopped: make(chan struct{})}
	s.node, err = replica.NewNode(replica.Options{
		Recovered: recovered, Storage: storage, Sender: discardSender{}, Consensus: cfg.consensusConfig(),
		SnapshotEntries: cfg.SnapshotEntries, Now: s.clock, Log: s.log,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.internalServer = transport.Serve(newIdleListener(), http.NewServeMux())
	s.operatorServer = transport.ServeClients(newIdleListener(), http.NewServeMux())
	ctx, stopNode := context.WithCancel(context.Background())
	go func() {
		defer close(s.stopped)
		s.nodeErr = s.node.Run(ctx)
	}()
	members := &wire.Membership{Replicas: []*wire.Replica{{Id: recovered.Identity.ID, Address: cfg.Address}}}
	go func() { _ = s.node.Bootstrap(ctx, members) }()
	<-storage.writing
	return s, stopNode
}

// maxShutdown is half of a grace period of 8 s.
const maxShutdown = 4 * time.Second

func TestShutdownIsBoundedWhileTheDiskStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storage := stalledStorage{writing: make(chan struct{}, 16), release: make(chan struct{})}
		s, stopNode := startStalled(t, storage)
		start := time.Now()
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(context.Background(), stopNode) }()
		select {
		case err := <-done:
			if !fail.Is(err, fail.StorageFailed) {
				t.Errorf("Shutdown: %v, want code storage_failed", err)
			}
		case <-time.After(maxShutdown):
			t.Errorf("Shutdown still runs %v after its start", time.Since(start))
		}
		close(storage.release)
	})
}
