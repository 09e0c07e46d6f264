package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// outcome is what a client received: an error, or the status and the headers of a
// response.
type outcome struct {
	err    error
	status int
	header http.Header
}

// request sends a request in the background and returns a channel with its outcome.
func request(send func() (*http.Response, error)) chan outcome {
	done := make(chan outcome, 1)
	go func() {
		resp, err := send()
		if err != nil {
			done <- outcome{err: err}
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		done <- outcome{err, resp.StatusCode, resp.Header}
	}()
	return done
}

// newBlockingEngine returns an engine that closes begun when the first request
// arrives and does not respond to it.
func newBlockingEngine(begun chan struct{}) http.HandlerFunc {
	respond := newEngineHandler(1, 0, 0)
	var first sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		blocks := false
		if r.URL.Path == "/v1/completions" {
			first.Do(func() { blocks = true })
		}
		if !blocks {
			respond(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
	}
}

// changeView changes the view, and waits until all entries have received it.
func (d *deployment) changeView(edit func(*wire.View)) {
	d.control.mu.Lock()
	next := cloneView(d.control.view)
	edit(next)
	next.Revision++
	d.control.view = next
	d.control.mu.Unlock()
	for _, s := range d.servers {
		for c, _ := s.session.catalog(); c == nil || c.view.Revision < next.Revision; c, _ = s.session.catalog() {
			time.Sleep(time.Millisecond)
		}
	}
}

// shutDownNow shuts the entry down with a context that has ended, and closes what is
// still open, as the exit of the process does.
func shutDownNow(t *testing.T, s *Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Logf("shutdown: %v", err)
	}
	s.clientServer.Close()
	s.peerServer.Close()
}

// checkOutcome checks that the client received a response with the status and the
// statement whether the request ran.
func checkOutcome(t *testing.T, name string, got outcome, status int, ran fail.Ran) {
	t.Helper()
	if got.err != nil || got.status != status || got.header.Get(HeaderRan) != string(ran) {
		t.Errorf("%s: status %d, ran %q, error %v; want status %d, ran %q", name, got.status, got.header.Get(HeaderRan), got.err, status, ran)
	}
}

func TestRequestsAreAnsweredAtTheEndOfAShutdown(t *testing.T) {
	begun := make(chan struct{}, 1)
	d := deploy(t, 2, nil, newBlockingEngine(begun))
	d.changeView(func(v *wire.View) { v.Endpoints[0].Slots = 1 })
	relaying, stopping := d.servers[0], d.servers[1]
	complete := func(s *Server) chan outcome {
		return request(func() (*http.Response, error) {
			return post(&http.Client{Transport: &http.Transport{}}, s.cfg.CallerAddress, "prompt")
		})
	}
	sent := complete(stopping)
	<-begun
	queued, relayed := complete(stopping), complete(relaying)
	for stopping.owner.load("engine-0").Queued < 2 {
		time.Sleep(time.Millisecond)
	}
	d.changeView(func(v *wire.View) { v.Endpoints[0].Owner = relaying.cfg.ID })
	shutDownNow(t, stopping)
	checkOutcome(t, "sent to the endpoint", <-sent, http.StatusBadGateway, fail.RanUnknown)
	checkOutcome(t, "waiting for a slot", <-queued, http.StatusServiceUnavailable, fail.RanNo)
	checkOutcome(t, "waiting for a slot, relayed by another entry", <-relayed, http.StatusOK, "")
}

func TestRequestThatMayNotEndBeforeTheEntryDoesIsRefusedAtOnce(t *testing.T) {
	begun := make(chan struct{}, 1)
	s := deploy(t, 1, nil, newBlockingEngine(begun)).servers[0]
	complete := func() chan outcome {
		return request(func() (*http.Response, error) {
			return post(&http.Client{Transport: &http.Transport{}}, s.cfg.CallerAddress, "prompt")
		})
	}
	first := complete()
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), stopReserve+s.requestLimit())
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.Shutdown(ctx)
	}()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	checkOutcome(t, "sent when no time is left for it", <-complete(), http.StatusServiceUnavailable, fail.RanNo)
	cancel()
	checkOutcome(t, "sent before", <-first, http.StatusBadGateway, fail.RanUnknown)
	<-stopped
}

func TestStatusRequestWithoutControlLeaderIsAnsweredAtShutdown(t *testing.T) {
	d := deploy(t, 1, nil)
	s := d.servers[0]
	status := request(func() (*http.Response, error) { return http.Get("http://" + s.cfg.CallerAddress + "/v1/overnight/id") })
	for s.inFlight.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	shutDownNow(t, s)
	checkOutcome(t, "status of a deferred request", <-status, http.StatusServiceUnavailable, fail.RanUnknown)
}

func TestRequestBeingReadAtShutdownIsAnswered(t *testing.T) {
	const text = "GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n"
	d := deploy(t, 1, nil)
	s := d.servers[0]
	conn, err := net.Dial("tcp4", s.cfg.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	responses := bufio.NewReader(conn)
	receive := func() error {
		resp, err := http.ReadResponse(responses, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		return err
	}
	io.WriteString(conn, text)
	if err := receive(); err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, text[:len(text)/2])
	stopped := make(chan struct{})
	go func() {
		shutDownNow(t, s)
		close(stopped)
	}()
	// The entry closes its listener just before its idle connections.
	for c, err := net.Dial("tcp4", s.cfg.CallerAddress); err == nil; c, err = net.Dial("tcp4", s.cfg.CallerAddress) {
		c.Close()
		time.Sleep(time.Millisecond)
	}
	io.WriteString(conn, text[len(text)/2:])
	if err := receive(); err != nil {
		t.Errorf("no response to the request that was being read: %v", err)
	}
	<-stopped
}

func TestRequestIsNotSentOnceAShutdownHasBegunToEndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		serving, end := context.WithCancelCause(t.Context())
		ctx := context.WithValue(t.Context(), endingKey{}, serving)
		if _, err := f.entries[0].call(ctx, newTestJob("before", false, false, false)); err != nil {
			t.Fatalf("before the shutdown: %v", err)
		}
		end(errStopping)
		got := fail.From(f.entries[0].dispatcher.run(ctx, newTestJob("after", false, false, false), nil))
		if got.Code != errStopping.Code || got.Ran != fail.RanNo {
			t.Errorf("error %v, ran %q; want the request ended unsent", got, got.Ran)
		}
		r := &wire.ForwardRequest{RequestId: "relayed", Endpoint: "engine-0", Model: testModel, Version: "v1"}
		if got := fail.From(f.entries[0].owner.run(ctx, r, nil)); got.Code != errStopping.Code || got.Ran != fail.RanNo {
			t.Errorf("error %v, ran %q of a request relayed by another entry; want it ended unsent", got, got.Ran)
		}
	})
}
