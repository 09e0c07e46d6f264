package entry

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/routing"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// fewerChecks lowers the number of cases that rapid generates in tests with large
// cases.
func fewerChecks(t *testing.T, checks string) {
	before := flag.Lookup("rapid.checks").Value.String()
	_ = flag.Set("rapid.checks", checks)
	t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
}

const (
	testModel     = "team/model"
	testHeartbeat = 500 * time.Millisecond
	testLease     = 2 * time.Second
	testTokens    = 5
	testInterval  = 20 * time.Millisecond
	crashMark     = "crash-mark"
	reloadTime    = time.Second
)

// fault is a fault that is injected into one attempt.
type fault int

const (
	noFault fault = iota
	failDial
	breakBeforeHead
	breakInStream
	breakInEvent
	breakPeerStream
	respondBusy
	delaySend
	faultCount
)

// fleet consists of fake engines behind real owners and dispatchers, which get the
// suspects of a real state machine in their views. It implements the interfaces of
// the engines, the crash reporter and the forwarder.
type fleet struct {
	mu      sync.Mutex
	view    *wire.View
	machine *state.Machine
	index   uint64
	engines map[string]*fakeEngine
	entries []*fakeEntry
	faults  []fault
	// firstFault is the fault of the first attempt of every call.
	firstFault fault
	// runs counts the attempts that reached an engine, by prompt.
	runs map[string]int
	// responded holds the prompts of the calls that got a response.
	responded map[string]bool
	// sentAt is when an attempt last reached each endpoint, by address.
	sentAt  map[string]time.Duration
	crashes int
	// crashedAt is when the last crash was recorded.
	crashedAt time.Duration
	start     time.Time
	sendDelay time.Duration
}

type fakeEngine struct {
	id          string
	incarnation int
	crashed     chan struct{}
	inFlight    int
	service     bool
	// limit is what its responses state, and arrivals are the times of its requests.
	limit    ratelimit.Limit
	arrivals []time.Duration
}

type fakeEntry struct {
	session           *session
	owner             *owner
	dispatcher        *dispatcher
	heartbeatsStopped bool
	onResponse        func(*job)
}

func newFleet(engines, entries int) *fleet {
	f := &fleet{
		machine: state.New(), engines: map[string]*fakeEngine{}, runs: map[string]int{}, responded: map[string]bool{},
		sentAt: map[string]time.Duration{}, start: time.Now(), sendDelay: 3 * testLease,
	}
	text := `{"team":"team","models":[{"name":"model","version":"v1","memory_mb":1,"headroom_mb":1,"replicas":1,"adapters":[]}],` +
		`"services":[{"name":"ledger","path":"/ledger/","non_idempotent":[]}],"classes":[{"name":"desk","first_token_ms":60000,"between_tokens_ms":100,"priority":1}],"checks_fencing":[]}`
	f.view = &wire.View{Revision: 1, Sections: []*wire.Section{{Team: "team", Text: []byte(text)}}}
	for i := range entries {
		id := fmt.Sprint("entry-", i)
		f.view.Entries = append(f.view.Entries, &wire.EntryVM{Id: id, PeerAddress: id, Live: true})
	}
	for i := range engines {
		id := fmt.Sprint("engine-", i)
		f.engines[id] = &fakeEngine{id: id, crashed: make(chan struct{})}
		f.view.Endpoints = append(f.view.Endpoints, &wire.Endpoint{
			Id: id, Address: id, Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Domain: fmt.Sprint("d", i%3), Slots: 4,
			Owner: fmt.Sprint("entry-", i%entries), OwnerEpoch: 1, Incarnation: "0", Reachable: true,
		})
		f.view.Residents = append(f.view.Residents, &wire.Resident{Endpoint: id, Model: testModel, Version: "v1", State: wire.ResidentState_RESIDENT_STATE_READY})
	}
	f.engines["ledger-0"] = &fakeEngine{id: "ledger-0", crashed: make(chan struct{}), service: true}
	f.engines["ledger-1"] = &fakeEngine{id: "ledger-1", crashed: make(chan struct{}), service: true}
	for i, id := range []string{"ledger-0", "ledger-1"} {
		f.view.Endpoints = append(f.view.Endpoints, &wire.Endpoint{
			Id: id, Address: id, Kind: wire.EndpointKind_ENDPOINT_KIND_SERVICE, Service: "ledger", Domain: fmt.Sprint("d", i), Owner: fmt.Sprint("entry-", i%entries),
		})
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(fmt.Sprint("entry-", i), uint64(i)))
	}
	return f
}

func (f *fleet) newEntry(id string, seed uint64) *fakeEntry {
	cfg := DefaultSettings()
	cfg.ID, cfg.Heartbeat, cfg.RoutingPolicy = id, settings.Duration(testHeartbeat), string(routing.Owner)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &session{cfg: cfg, log: logrus.NewEntry(log), clock: func() time.Duration { return time.Since(f.start) }}
	e := &fakeEntry{session: s}
	e.onResponse = func(j *job) {
		var body struct {
			Prompt string `json:"prompt"`
		}
		_ = json.Unmarshal(j.body(target{}), &body)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.responded[body.Prompt] = true
	}
	e.owner = newOwner(s, f, f, 4)
	e.dispatcher = newDispatcher(s, e.owner, f, f, seed)
	f.heartbeat(e)
	return e
}

// heartbeat applies the newest view and a new lease at an entry.
func (f *fleet) heartbeat(e *fakeEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.heartbeatsStopped {
		return
	}
	if leased := e.session.leased.Load(); leased == nil || leased.catalog.view.Revision != f.view.Revision {
		e.session.leased.Store(&leasedCatalog{catalog: newCatalog(f.view), until: e.session.clock() + testLease})
		return
	}
	e.session.leased.Store(&leasedCatalog{catalog: e.session.leased.Load().catalog, until: e.session.clock() + testLease})
}

// run sends the heartbeats of all entries, at different phases, until stop is
// closed.
func (f *fleet) run(stop chan struct{}) {
	for i, e := range f.entries {
		go func() {
			time.Sleep(time.Duration(i) * testHeartbeat / time.Duration(len(f.entries)))
			for {
				f.heartbeat(e)
				select {
				case <-stop:
					return
				case <-time.After(testHeartbeat):
				}
			}
		}()
	}
}

// change replaces the view by a changed copy.
func (f *fleet) change(edit func(*wire.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changeLocked(edit)
}

func (f *fleet) changeLocked(edit func(*wire.View)) {
	next := cloneView(f.view)
	edit(next)
	next.Revision++
	next.Suspects = f.machine.View().Suspects
	f.view = next
}

func cloneView(v *wire.View) *wire.View {
	out := &wire.View{Revision: v.Revision, Sections: v.Sections, Entries: v.Entries, Suspects: v.Suspects}
	for _, e := range v.Endpoints {
		out.Endpoints = append(out.Endpoints, &wire.Endpoint{
			Id: e.Id, Address: e.Address, Kind: e.Kind, Domain: e.Domain, Slots: e.Slots, Service: e.Service, Owner: e.Owner,
			OwnerEpoch: e.OwnerEpoch, Incarnation: e.Incarnation, Reachable: e.Reachable, Leaving: e.Leaving,
		})
	}
	for _, r := range v.Residents {
		out.Residents = append(out.Residents, &wire.Resident{Endpoint: r.Endpoint, Model: r.Model, Version: r.Version, State: r.State})
	}
	return out
}

func (f *fleet) apply(c *wire.Command) {
	f.index++
	f.machine.Apply(f.index, c)
	f.changeLocked(func(*wire.View) {})
}

// ReportCrash records a crash in the shared state.
func (f *fleet) ReportCrash(_ context.Context, r *wire.ReportCrash) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(&wire.Command{Body: &wire.Command_ReportCrash{ReportCrash: r}})
	f.crashedAt = time.Since(f.start)
	return nil
}

// CheckSuspect responds with the shared state, and with whether the current view
// of every entry that holds a lease contains the suspect.
func (f *fleet) CheckSuspect(_ context.Context, fingerprint uint64) (*wire.CheckSuspectResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &wire.CheckSuspectResponse{KnownEverywhere: true}
	suspect := f.machine.Suspect(fingerprint)
	if suspect == nil {
		return r, nil
	}
	r.State = suspect.State
	for _, e := range f.entries {
		leased := e.session.leased.Load()
		if e.session.clock() < leased.until && leased.catalog.suspects[fingerprint] == wire.SuspectState_SUSPECT_STATE_UNSPECIFIED {
			r.KnownEverywhere = false
		}
	}
	return r, nil
}

// ClearSuspect removes a suspect from the shared state.
func (f *fleet) ClearSuspect(_ context.Context, fingerprint uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.apply(&wire.Command{Body: &wire.Command_ClearSuspect{ClearSuspect: &wire.ClearSuspect{Fingerprint: fingerprint}}})
	return nil
}

// State returns the engine's incarnation.
func (f *fleet) State(_ context.Context, address string) (*endpoint.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &endpoint.EngineState{Incarnation: fmt.Sprint(f.engines[address].incarnation)}, nil
}

// Cancel does nothing: a fake response ends when its context does.
func (f *fleet) Cancel(context.Context, string, string) error { return nil }

func (f *fleet) setFirstFault(x fault) { f.firstFault = x }

// faultOf returns the fault of an attempt, which depends on the attempt's ID only.
func (f *fleet) faultOf(attempt string) fault {
	if f.firstFault != noFault && strings.HasSuffix(attempt, "-0") {
		return f.firstFault
	}
	if len(f.faults) == 0 {
		return noFault
	}
	return f.faults[xxhash.Sum64String(attempt)%uint64(len(f.faults))]
}

// crash restarts an engine and aborts its requests in flight. The view contains the
// new incarnation after reloadTime.
func (f *fleet) crash(engine *fakeEngine) {
	f.crashes++
	engine.incarnation++
	close(engine.crashed)
	engine.crashed = make(chan struct{})
	incarnation := fmt.Sprint(engine.incarnation)
	go func() {
		time.Sleep(reloadTime)
		f.change(func(v *wire.View) {
			for _, vm := range v.Endpoints {
				if vm.Id == engine.id {
					vm.Incarnation = incarnation
				}
			}
		})
	}()
}

var errBroken = fail.New(fail.EndpointFailed, "connection reset").WithRan(fail.RanUnknown)

// Run runs one attempt on an endpoint, with the attempt's fault.
func (f *fleet) Run(ctx context.Context, address string, r endpoint.Request) (*endpoint.Response, error) {
	injected := f.faultOf(r.ID)
	if injected == failDial {
		return nil, fail.New(fail.EndpointFailed, "connection refused")
	}
	if injected == delaySend {
		time.Sleep(f.sendDelay)
	}
	if err := r.BeforeSend(); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, fail.Wrap(ctx.Err(), fail.Canceled, "canceled")
	}
	var body struct {
		Prompt     string `json:"prompt"`
		Stream     bool   `json:"stream"`
		ResumeFrom int    `json:"resume_from"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, err
	}
	f.mu.Lock()
	e := f.engines[address]
	if !e.service && r.Incarnation != fmt.Sprint(e.incarnation) {
		f.mu.Unlock()
		return &endpoint.Response{Status: http.StatusNotFound, HasRequestID: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	f.runs[body.Prompt]++
	f.sentAt[address] = time.Since(f.start)
	e.inFlight++
	e.arrivals = append(e.arrivals, time.Since(f.start))
	crashed, limit := e.crashed, e.limit
	f.mu.Unlock()
	a := &fakeResponse{fleet: f, engine: e, ctx: ctx, crashed: crashed, prompt: body.Prompt, from: body.ResumeFrom, stream: body.Stream}
	if strings.Contains(body.Prompt, crashMark) {
		time.Sleep(testInterval)
		f.mu.Lock()
		f.crash(e)
		f.mu.Unlock()
	}
	switch injected {
	case breakBeforeHead:
		a.Close()
		return nil, errBroken
	case respondBusy:
		if e.service {
			break
		}
		a.Close()
		return &endpoint.Response{Status: http.StatusServiceUnavailable, Body: io.NopCloser(strings.NewReader(""))}, nil
	case breakInStream, breakInEvent:
		a.breakAt = int(xxhash.Sum64String(r.ID)%testTokens) + 1
		a.partialEvent = injected == breakInEvent
	}
	kind := "application/json"
	if body.Stream {
		kind = "text/event-stream"
	}
	return &endpoint.Response{Status: http.StatusOK, ContentType: kind, HasRequestID: true, Limit: limit, Body: a}, nil
}

func token(prompt string, i int) string { return fmt.Sprintf("data: %s.%d\n\n", prompt, i) }

func completeText(prompt string, stream bool) string {
	var b strings.Builder
	for i := range testTokens {
		b.WriteString(token(prompt, i))
	}
	if stream {
		b.WriteString("data: [DONE]\n\n")
	}
	return b.String()
}

// fakeResponse returns one token per interval.
type fakeResponse struct {
	fleet   *fleet
	engine  *fakeEngine
	ctx     context.Context
	crashed chan struct{}
	prompt  string
	from    int
	stream  bool
	// breakAt is the index of the token before which the response breaks; zero for
	// none.
	breakAt int
	// partialEvent is set if a part of that token is sent first.
	partialEvent bool
	ended        bool
	closed       bool
}

func (a *fakeResponse) Read(p []byte) (int, error) {
	if a.ended {
		return 0, io.EOF
	}
	select {
	case <-a.crashed:
		return 0, errBroken
	case <-a.ctx.Done():
		return 0, a.ctx.Err()
	case <-time.After(testInterval):
	}
	if a.breakAt > 0 && a.from >= a.breakAt {
		if a.partialEvent && a.from < testTokens {
			text := token(a.prompt, a.from)
			return copy(p, text[:len(text)/2]), errBroken
		}
		return 0, errBroken
	}
	if a.from < testTokens {
		a.from++
		return copy(p, token(a.prompt, a.from-1)), nil
	}
	a.ended = true
	if a.stream {
		return copy(p, "data: [DONE]\n\n"), nil
	}
	return 0, io.EOF
}

// Close ends the attempt at the engine.
func (a *fakeResponse) Close() error {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.engine.inFlight--
	}
	return nil
}

// forward calls the owner as another entry would. With breakPeerStream, the stream
// breaks after two events.
func (f *fleet) forward(ctx context.Context, address string, r *wire.ForwardRequest, out eventSink) error {
	breaks := f.faultOf(r.RequestId) == breakPeerStream
	for _, e := range f.entries {
		if e.session.cfg.ID != address {
			continue
		}
		chunks := 0
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		err := e.owner.run(ctx, r, func(ev *wire.ForwardEvent) error {
			if chunks++; breaks && chunks > 2 {
				return errors.New("peer gone")
			}
			return out(ev)
		})
		if breaks {
			return streamError(errors.New("peer gone"))
		}
		if err != nil {
			return fromRejection(toRejection(err))
		}
		return nil
	}
	return fail.New(fail.Unavailable, "no such peer")
}

// newTestJob returns a completion job or, if service is set, a call to a plain
// service.
func newTestJob(prompt string, stream, service, idempotent bool) *job {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "stream": stream})
	if service {
		return &job{
			id: prompt, template: &wire.ForwardRequest{Method: http.MethodPost, Path: "/ledger/x", Team: "team", Idempotent: idempotent, Fingerprint: xxhash.Sum64(body)},
			targets: func(c *catalog) []target { return c.serviceFor("/ledger/x").targets },
			body:    func(target) []byte { return body },
		}
	}
	j, err := newCompletionJob("/v1/completions", testModel, &model{team: "team", name: testModel}, body)
	if err != nil {
		panic(err)
	}
	j.id, j.stream = prompt, stream
	return j
}

// call runs a job and returns the body that the client received.
func (e *fakeEntry) call(ctx context.Context, j *job) (string, error) {
	var got strings.Builder
	err := e.dispatcher.run(ctx, j, func(ev *wire.ForwardEvent) error {
		if ev.GetHead() != nil && !j.stream {
			got.Reset()
		}
		got.Write(ev.GetChunk())
		return nil
	})
	if err == nil {
		e.onResponse(j)
	}
	return got.String(), err
}

// drawFaults generates the faults of attempts.
func drawFaults(t *rapid.T, n int) []fault {
	out := make([]fault, n)
	for i := range out {
		if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
			out[i] = fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
		}
	}
	return out
}
