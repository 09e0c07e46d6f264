// Command trace sends requests through the real programs with tracing enabled and
// prints the spans of each request as a tree.
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"parsleyramp/scripts/internal/testbed"
)

const (
	team  = "closing-desk"
	token = "trace-token"
)

// request is one request of a client, with the trace id that the client assigns.
type request struct {
	title, path, body, key, traceID string
}

func requests() []request {
	return []request{
		{
			title: "A streamed completion", path: "/v1/chat/completions", traceID: newTraceID(),
			body: `{"model": "closing-desk/purity-note:kandy", "stream": true, "max_tokens": 8, "messages": [{"role": "user", "content": "draft a purity note"}]}`,
		},
		{title: "A payout, which must run at most once", path: "/ledger/payouts", traceID: newTraceID(), body: `{"pledge": 4711}`, key: uuid.Must(uuid.NewV7()).String()},
	}
}

func newTraceID() string { return strings.ReplaceAll(uuid.NewString(), "-", "") }

// clientSpanID is the span id that the client sends as the parent of the first
// span.
const clientSpanID = "00000000000000ca"

func main() {
	bin := flag.String("bin", "bin", "folder with the built programs")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	if err := run(ctx, *bin); err != nil {
		fmt.Printf("FAILED: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "parsleyramp-trace-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bed, err := testbed.New(dir, bin, testbed.Options{
		Size: testbed.Size{Domains: 3, Controls: 3, Entries: 3, Engines: 4, Services: 1}, ProcessPerEngine: true, Trace: true,
		EntrySettings: map[string]any{"keep_addresses": "1s"}, TeamTokens: map[string]string{team: token},
	})
	if err != nil {
		return err
	}
	defer bed.KillAll()
	if err := bed.StartAll(ctx); err != nil {
		return err
	}
	for _, args := range [][]string{{"apply", "examples/demo/closing-desk.jsonc"}, {"status", "-watch", team}} {
		if _, err := bed.Ctl(ctx, token, args...); err != nil {
			return err
		}
	}
	list := requests()
	for _, r := range list {
		if err := send(ctx, bed, r); err != nil {
			return err
		}
	}
	if _, err := bed.StopAll(); err != nil {
		return err
	}
	spans, err := bed.Spans()
	if err != nil {
		return err
	}
	for _, r := range list {
		fmt.Printf("%s, trace %s\n\n%s\n", r.title, r.traceID, formatTree(spans, r.traceID))
	}
	return nil
}

// send sends the request to the first entry. An entry that does not own the
// selected endpoint forwards the request to the owner.
func send(ctx context.Context, bed *testbed.Bed, r request) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+bed.Entries[0].Address+r.path, strings.NewReader(r.body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("traceparent", "00-"+r.traceID+"-"+clientSpanID+"-01")
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("request to %s: status %d, body %s: %w", r.path, resp.StatusCode, text, err)
	}
	return nil
}

// formatTree formats the spans of a trace as a tree, each with its start relative
// to the first span and its duration.
func formatTree(spans []testbed.Span, traceID string) string {
	children := map[string][]testbed.Span{}
	var first time.Time
	for _, s := range spans {
		if s.SpanContext.TraceID != traceID {
			continue
		}
		children[s.Parent.SpanID] = append(children[s.Parent.SpanID], s)
		if first.IsZero() || s.StartTime.Before(first) {
			first = s.StartTime
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "    %-20s %-16s %9s %9s  %s\n", "program", "id", "start ms", "took ms", "span")
	var write func(parent string, depth int)
	write = func(parent string, depth int) {
		list := children[parent]
		slices.SortFunc(list, func(a, b testbed.Span) int {
			return cmp.Or(a.StartTime.Compare(b.StartTime), cmp.Compare(a.SpanContext.SpanID, b.SpanContext.SpanID))
		})
		for _, s := range list {
			fmt.Fprintf(&b, "    %-20s %-16s %9.2f %9.2f  %s%s%s\n", resourceAttribute(s, "service.name"), resourceAttribute(s, "service.instance.id"),
				milliseconds(s.StartTime.Sub(first)), milliseconds(s.EndTime.Sub(s.StartTime)), strings.Repeat("  ", depth), s.Name, formatAttributes(s))
			write(s.SpanContext.SpanID, depth+1)
		}
	}
	write(clientSpanID, 0)
	return b.String()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func resourceAttribute(s testbed.Span, key string) string {
	for _, a := range s.Resource {
		if a.Key == key {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

func formatAttributes(s testbed.Span) string {
	var out string
	for _, a := range s.Attributes {
		out += fmt.Sprintf(" %s=%v", a.Key, a.Value.Value)
	}
	return out
}
