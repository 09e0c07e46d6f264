package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/standin"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
)

const deferredSection = `{
  "team": "desk",
  "models": [{"name": "summary", "version": "1", "memory_mb": 16}],
  "classes": [{"name": "overnight", "finish_by": "%s"}]
}`

type deferredResponse struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

func submitDeferred(t *testing.T, address, key, prompt string) (int, deferredResponse) {
	body := `{"model": "desk/summary", "messages": [{"role": "user", "content": "` + prompt + `"}], "max_tokens": 4}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", key)
	return doDeferred(t, req)
}

func fetchDeferred(t *testing.T, address, id string) (int, deferredResponse) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/overnight/"+id, nil)
	if err != nil {
		t.Fatal(err)
	}
	return doDeferred(t, req)
}

func doDeferred(t *testing.T, req *http.Request) (int, deferredResponse) {
	httpResponse, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		t.Fatal(err)
	}
	var response deferredResponse
	_ = json.Unmarshal(data, &response)
	return httpResponse.StatusCode, response
}

// TestDeferredRequestSurvivesEntryAndLeaderLoss submits a deferred request while the
// engine hangs, stops the entry that runs it and the control leader, and fetches
// the response from the other entry.
func TestDeferredRequestSurvivesEntryAndLeaderLoss(t *testing.T) {
	f := newFleet(t)
	address := map[string]string{"entry-1": f.startEntry("entry-1", f.controls), "entry-2": f.startEntry("entry-2", f.controls)}
	finishBy := time.Now().Add(-time.Hour).Format("15:04")
	file := f.sectionFile("s.jsonc", strings.Replace(deferredSection, "%s", finishBy, 1))
	if code, out := f.run("apply", file); code != 0 {
		t.Fatalf("apply: %d %s", code, out)
	}
	if code, out := f.run("status", "-watch", "desk"); code != 0 {
		t.Fatalf("status: %d %s", code, out)
	}
	f.engine.SetFaults(standin.Faults{Frozen: true})
	status, first := submitDeferred(t, address["entry-1"], "key-1", "rehearsal")
	if status != http.StatusAccepted {
		t.Fatalf("submission got status %d, want 202", status)
	}
	if status, again := submitDeferred(t, address["entry-2"], "key-1", "rehearsal"); status != http.StatusAccepted || again.ID != first.ID {
		t.Fatalf("resent submission got status %d %v, want 202 and the first %v", status, again, first)
	}
	if status, _ := submitDeferred(t, address["entry-2"], "key-1", "other"); status != http.StatusUnprocessableEntity {
		t.Fatalf("other request with the same idempotency key got status %d, want 422", status)
	}
	f.waitFor("the request to run", func() bool { _, r := fetchDeferred(t, address["entry-2"], first.ID); return r.State == "running" })

	runner, other := f.runnerOf(t, first.ID), "entry-1"
	if runner == other {
		other = "entry-2"
	}
	f.stops[runner]()
	f.stops[f.leader()]()
	f.engine.SetFaults(standin.Faults{})
	f.waitFor("the response", func() bool { status, _ := fetchDeferred(t, address[other], first.ID); return status == http.StatusOK })
}

// runnerOf returns the entry that the control plane has assigned a deferred request to.
func (f *fleet) runnerOf(t *testing.T, id string) string {
	var runner string
	err := controlclient.New(transport.NewPeerClient(), f.controls).Do(t.Context(), func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Control.FetchDeferred(ctx, connect.NewRequest(&wire.FetchDeferredRequest{Id: id}))
		if err == nil {
			runner = r.Msg.Request.GetRunnerEntry()
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return runner
}
