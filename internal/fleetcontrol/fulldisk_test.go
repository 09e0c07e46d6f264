package fleetcontrol

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"parsleyramp/internal/fail"
)

// limitFiles lets no file of this process grow beyond the size in bytes, as on a full disk, until
// restore is called.
func limitFiles(t *testing.T, size uint64) (restore func()) {
	t.Helper()
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: size, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &old); err != nil {
			t.Fatal(err)
		}
	}
}

// TestServerStaysUpWhileItsDiskIsFull guards against a replica that ends, that leaves callers
// without an answer, or that stores nothing once there is room.
func TestServerStaysUpWhileItsDiskIsFull(t *testing.T) {
	const answerWithin = time.Second
	cfg := singleSettings(t)
	s, stop := startSingle(t, cfg)
	defer stop()
	eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte("1")) })
	for version := '2'; version <= '4'; version++ {
		restore := limitFiles(t, 16)
		start := time.Now()
		err := s.Put(t.Context(), []byte(string(version)))
		again := s.Put(t.Context(), []byte(string(version)))
		took := time.Since(start)
		restore()
		if fail.From(err).Ran != fail.RanUnknown || !fail.Is(again, fail.NotLeader) || took > answerWithin {
			t.Errorf("changes on a full disk returned %v and %v within %v, want one with an unknown outcome and one that was not made", err, again, took)
		}
		eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte(string(version))) })
		select {
		case <-s.Stopped():
			t.Fatal("the replica has ended")
		default:
		}
	}
}

// TestServerStartsOnceItsDiskHasRoom also guards against a first start whose membership is not
// installed because the disk refused it once.
func TestServerStartsOnceItsDiskHasRoom(t *testing.T) {
	cfg := singleSettings(t)
	deps := Dependencies{Platform: &fakeEngine{}, Decode: decodeVersion, OperatorHandler: func(DocumentStore) http.Handler { return http.NewServeMux() }}
	// The limits refuse the identity, the log and the membership of the first start.
	for _, size := range []uint64{0, 50, 80} {
		restore := limitFiles(t, size)
		cfg.DataFolder = t.TempDir()
		ctx, cancel := context.WithCancel(t.Context())
		started := make(chan *Server, 1)
		go func() {
			s, err := Start(ctx, cfg, deps, testLog())
			if err != nil {
				t.Error(err)
			}
			started <- s
		}()
		time.Sleep(600 * time.Millisecond)
		restore()
		s := <-started
		if s == nil {
			t.FailNow()
		}
		eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte("1")) })
		if err := s.Shutdown(context.Background(), cancel); err != nil {
			t.Error(err)
		}
	}
}
