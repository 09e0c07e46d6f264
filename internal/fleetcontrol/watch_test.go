package fleetcontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

func TestWatchReturnsAtNewsOrAfterItsTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		known *wire.WatchRequest
		after time.Duration
	}{
		{"newer document", &wire.WatchRequest{DocumentVersion: 6, Term: 2}, 0},
		{"newer leader", &wire.WatchRequest{DocumentVersion: 7, Term: 1}, 0},
		{"document that comes later", &wire.WatchRequest{DocumentVersion: 7, Term: 2}, 300 * time.Millisecond},
		{"no news", &wire.WatchRequest{DocumentVersion: 8, Term: 3}, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{news: newNews()}
				s.news.publish(replica.Summary{DocumentVersion: 7, Term: 2, Leader: "a"})
				time.AfterFunc(300*time.Millisecond, func() {
					// A term without a leader is no news.
					s.news.publish(replica.Summary{DocumentVersion: 8, Term: 3})
				})
				c.known.HoldMs = 2000
				start := time.Now()
				if _, err := (&fleetService{s}).Watch(t.Context(), connect.NewRequest(c.known)); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(start); took != c.after {
					t.Errorf("returned after %v, want %v", took, c.after)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestReplicaTellsWatchersOfCommittedDocumentAndLeader(t *testing.T) {
	cfg := singleSettings(t)
	s, stop := startSingle(t, cfg)
	defer stop()
	eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte("7")) })
	client := wireconnect.NewFleetServiceClient(transport.NewPeerClient(), "http://"+cfg.Address)
	news, err := client.Watch(t.Context(), connect.NewRequest(&wire.WatchRequest{Term: 1000, HoldMs: 5000}))
	if err != nil {
		t.Fatal(err)
	}
	if news.Msg.DocumentVersion != 7 || news.Msg.Leader != cfg.Address {
		t.Errorf("news %v, want version 7 and the leader %s", news.Msg, cfg.Address)
	}
	got, err := client.GetDocument(t.Context(), connect.NewRequest(&wire.GetDocumentRequest{}))
	if err != nil || got.Msg.Document.GetVersion() != 7 {
		t.Errorf("document %v, error %v, want version 7", got, err)
	}
}
