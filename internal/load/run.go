package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/standin"
	"parsleyramp/internal/wait"
)

// Options configures a run.
type Options struct {
	Demand Demand
	// Entries are the seed addresses of entries, as ip:port; clients fetch the
	// list of entries from them.
	Entries []string
	// Retries is the maximum number of retries of a request. A rejection is
	// retried only if it states a delay.
	Retries int
	// RequestTimeout bounds one request including its retries.
	RequestTimeout time.Duration
	// DeferredWait is how long to wait for deferred responses after the run.
	DeferredWait time.Duration
	// Progress receives one line per ProgressInterval; nil disables it.
	Progress         io.Writer
	ProgressInterval time.Duration
	// Policy and Marks are copied into the report.
	Policy string
	Marks  []Mark
	// Direct treats Entries as addresses of engines and sends to them without the
	// serving system; each of them must have every model loaded. It gives the
	// baseline for the latency that the system adds.
	Direct bool
}

// outcome is the result of one arrival.
type outcome struct {
	arrival  Arrival
	response response
	// sentAt is when the request was first sent, counted from the start of the run.
	sentAt  time.Duration
	retries int
	// failures are the attempts that were rejected or broke.
	failures []response
}

type runner struct {
	options    Options
	client     *http.Client
	entryLists []*entryList
	start      time.Time
	results    *results
	sent       atomic.Int64
	inFlight   atomic.Int64
	deferred   sync.Map
}

// Run sends every arrival of the plan at its scheduled time, waits for the
// responses and returns the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Entries) == 0 {
		return nil, fail.New(fail.BadRequest, "no addresses of entries are given")
	}
	plan := Plan(o.Demand)
	start := time.Now()
	r := &runner{options: o, client: newHTTPClient(), results: newResults(o, start), start: start}
	for i := range o.Demand.Clients {
		list := newEntryList(r.client, o.Entries, o.Demand.Seed+uint64(i))
		if o.Direct {
			list.pin(o.Demand.Duration + o.RequestTimeout)
		}
		r.entryLists = append(r.entryLists, list)
	}
	if o.Direct {
		for i := range plan {
			plan[i].Model = endpoint.ServedName(plan[i].Model, sectionVersion, "")
		}
	}
	stopProgress := r.progress(len(plan))
	var requests sync.WaitGroup
	for _, a := range plan {
		if !wait.Until(ctx, r.start.Add(a.At)) {
			break
		}
		requests.Go(func() { r.results.add(r.request(ctx, a)) })
	}
	requests.Wait()
	stopProgress()
	r.fetchDeferred(ctx)
	return r.results.report(), ctx.Err()
}

// request sends one arrival as a client does. It retries a rejection after the delay
// that it states, and a broken connection or a truncated response after
// minRetryDelay, each time at another entry if there is one.
func (r *runner) request(ctx context.Context, a Arrival) outcome {
	r.sent.Add(1)
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
	defer cancel()
	out := outcome{arrival: a, sentAt: time.Since(r.start)}
	list := r.entryLists[a.Client]
	entry := ""
	for {
		entry = list.pick(ctx, entry)
		out.response = send(ctx, r.client, entry, a)
		if out.response.complete {
			if out.response.location != "" {
				r.deferred.Store(out.response.location, a)
			}
			return out
		}
		out.failures = append(out.failures, out.response)
		if out.response.code == codeConnection || out.response.code == fail.Draining {
			list.invalidate()
		}
		if !out.response.retryable || out.retries >= r.options.Retries {
			return out
		}
		out.retries++
		if !wait.Until(ctx, time.Now().Add(max(out.response.retryAfter, minRetryDelay))) {
			return out
		}
	}
}

// progress prints a line at every interval until the returned function is
// called.
func (r *runner) progress(planned int) func() {
	if r.options.Progress == nil {
		return func() {}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(r.options.ProgressInterval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				complete, attained, failed := r.results.totals()
				fmt.Fprintf(r.options.Progress, "%6s  sent %d of %d  in flight %d  whole %d  attained %d  failed %d\n",
					time.Since(r.start).Round(time.Second), r.sent.Load(), planned, r.inFlight.Load(), complete, attained, failed)
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

const deferredPollInterval = 100 * time.Millisecond

// fetchDeferred polls for the responses of the accepted deferred requests until
// all have arrived or DeferredWait is over.
func (r *runner) fetchDeferred(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.options.DeferredWait)
	defer cancel()
	for pending := true; pending && ctx.Err() == nil; {
		pending = false
		r.deferred.Range(func(location, a any) bool {
			switch r.fetchOne(ctx, location.(string), a.(Arrival)) {
			case http.StatusOK:
				r.deferred.Delete(location)
			default:
				pending = true
			}
			return ctx.Err() == nil
		})
		if pending {
			wait.Until(ctx, time.Now().Add(deferredPollInterval))
		}
	}
}

func (r *runner) fetchOne(ctx context.Context, location string, a Arrival) int {
	address := r.entryLists[a.Client].pick(ctx, "")
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+location, nil)
	if err != nil {
		return 0
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode
	}
	var c standin.Completion
	matches := json.NewDecoder(resp.Body).Decode(&c) == nil && len(c.Choices) == 1 && c.Choices[0].Text == expectedText(a)
	r.results.addDeferred(matches)
	return resp.StatusCode
}

// expectedText returns the complete response expected for the arrival.
func expectedText(a Arrival) string {
	var text strings.Builder
	for i := range a.MaxTokens {
		text.WriteString(standin.CompletionToken(a.Prompt, i))
	}
	return text.String()
}
