package fleetcontrol

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
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
	if err != nil || got.Msg.Version != 7 {
		t.Fatalf("document %v, error %v, want version 7", got, err)
	}
	r, err := gzip.NewReader(bytes.NewReader(got.Msg.GzipText))
	if err != nil {
		t.Fatal(err)
	}
	if text, err := io.ReadAll(r); err != nil || string(text) != "7" {
		t.Errorf("text %q, error %v, want 7", text, err)
	}
}

// TestNewDocumentIsCompressedOnceForAllGateways guards against a leader that is busy with
// the copies of a big document for each gateway, and loses its lead.
func TestNewDocumentIsCompressedOnceForAllGateways(t *testing.T) {
	var c compressedDocument
	d := &wire.Document{Version: 7, Text: bytes.Repeat([]byte("route "), 100e3)}
	first, err := c.text(d)
	if err != nil {
		t.Fatal(err)
	}
	again, err := c.text(d)
	if err != nil || &again[0] != &first[0] {
		t.Errorf("the text was compressed again, error %v", err)
	}
	if next, err := c.text(&wire.Document{Version: 8, Text: d.Text}); err != nil || &next[0] == &first[0] {
		t.Errorf("version 8 has the text of version 7, error %v", err)
	}
}

func TestExchangeBringsDocumentFirstAndToGatewaysThatDoNotFetchIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
		l.doc.Version = 7
		r := &wire.SyncRequest{Gateway: &wire.Gateway{Id: "a", Incarnation: "1"}}
		exchange := func() bool {
			sends := l.sendsDocument(r)
			l.sync(r)
			return sends
		}
		if !exchange() {
			t.Error("the first exchange does not bring the document")
		}
		if exchange() {
			t.Error("the second exchange brings the document while the gateway may fetch it")
		}
		time.Sleep(slowSpread + time.Millisecond)
		if !exchange() {
			t.Error("an exchange does not bring the document to a gateway that has not fetched it")
		}
		r.DocumentVersion = 7
		if exchange() {
			t.Error("an exchange brings the document that the gateway has")
		}
		r.Gateway = &wire.Gateway{Id: "a", Incarnation: "2"}
		if !exchange() {
			t.Error("the first exchange of another incarnation does not bring the document")
		}
	})
}
