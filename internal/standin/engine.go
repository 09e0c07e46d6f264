package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"parsleyramp/internal/endpoint"
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	ID           string
	MemoryBytes  uint64
	Slots        int
	Accelerators int
	// TokenInterval is the time between two tokens of one request.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time of one prompt token that is not cached.
	PrefillPerToken time.Duration
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// ChecksFencing makes the engine reject orders with an older fencing token.
	ChecksFencing bool
	// LoadTime and AdapterLoadTime are the durations of loads after the weight
	// store has responded.
	LoadTime        time.Duration
	AdapterLoadTime time.Duration
	// ReportLag is the delay of load reports and cache events.
	ReportLag time.Duration
	// Store is the ip:port of the weight store; if empty, loads use none.
	Store string
}

// EngineCounts holds the counters of a stand-in engine, which tests read.
type EngineCounts struct {
	// Overcommits counts loads that exceeded the memory of the engine.
	Overcommits int `json:"overcommits"`
	Loads       int `json:"loads"`
	Unloads     int `json:"unloads"`
	Requests    int `json:"requests"`
	Crashes     int `json:"crashes"`
	StaleOrders int `json:"stale_orders"`
	// UnloadedBusy counts unloads of a resident with running requests.
	UnloadedBusy int `json:"unloaded_busy"`
}

// Engine is a stand-in model engine.
type Engine struct {
	cfg    EngineConfig
	faults faultInjector
	mux    *http.ServeMux
	client *http.Client

	mu              sync.Mutex
	current         *engineIncarnation
	lastIncarnation int64
	counts          EngineCounts
}

// NewEngine returns a stand-in engine with nothing loaded.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, mux: http.NewServeMux(), client: &http.Client{}}
	e.restart()
	e.mux.HandleFunc("GET "+endpoint.PathState, e.serveState)
	e.mux.HandleFunc("POST "+endpoint.PathOrders, e.serveOrder)
	e.mux.HandleFunc("GET "+endpoint.PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+endpoint.PathEvents, e.serveEvents)
	e.mux.HandleFunc("POST "+endpoint.PathCancel, e.serveCancel)
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /standin/counts", e.serveCounts)
	e.mux.HandleFunc("POST "+PathCrash, e.serveCrash)
	e.mux.Handle(PathFaults, &e.faults)
	return e
}

// ServeHTTP serves the engine protocol and the stand-in's own paths.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathFaults && r.URL.Path != PathCrash {
		e.faults.waitWhileFrozen(r)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) { e.faults.set(f) }

// Counts returns the counters, summed over all incarnations.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Crash aborts all requests and loads, unloads everything and starts a new
// incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.counts.Crashes++
	e.mu.Unlock()
	e.restart()
}

// restart starts a new incarnation with nothing loaded. Requests and loads of the
// previous incarnation keep their reference to it and end on it.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		e.current.crash()
	}
	e.lastIncarnation = max(e.lastIncarnation+1, time.Now().UnixNano())
	e.current = newEngineIncarnation(e.cfg.ID, e.lastIncarnation, e.cfg.CacheTokens)
}

func (e *Engine) serveCrash(w http.ResponseWriter, _ *http.Request) {
	e.Crash()
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := endpoint.EngineState{
		Incarnation: e.current.id, MemoryBytes: e.cfg.MemoryBytes, UsedBytes: e.current.usedBytes(),
		Slots: e.cfg.Slots, Accelerators: e.cfg.Accelerators, FenceTerm: e.current.fenceTerm, FenceSequence: e.current.fenceSequence,
		Residents: []endpoint.ResidentState{},
	}
	for _, r := range e.current.residents {
		s.Residents = append(s.Residents, r.state)
	}
	e.mu.Unlock()
	slices.SortFunc(s.Residents, func(a, b endpoint.ResidentState) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
	})
	writeJSON(w, s)
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) }

// serveLoad responds with a load report that is ReportLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e.mu.Lock()
	inc := e.current
	current := endpoint.LoadReport{Running: inc.running, Waiting: len(inc.waiting), CacheTokens: inc.cache.usedTokens, CacheCapacity: e.cfg.CacheTokens, ReportedUnix: now.UnixMilli()}
	report := inc.reportAsOf(now, e.cfg.ReportLag, current)
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.current.cache.eventsAfter(after, time.Now().Add(-e.cfg.ReportLag))
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	cancel := e.current.cancels[r.URL.Query().Get("id")]
	e.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.faults.consume(func(f *Faults) *int { return &f.LoseOrders }) {
		panic(http.ErrAbortHandler)
	}
	if e.faults.consume(func(f *Faults) *int { return &f.DelayOrders }) {
		time.Sleep(time.Duration(e.faults.get().OrderDelayMS) * time.Millisecond)
	}
	result := e.execute(o)
	if e.faults.consume(func(f *Faults) *int { return &f.RepeatOrders }) {
		e.execute(o)
	}
	if e.faults.consume(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, result)
}

// execute applies an order. A resent order whose effect is already present is
// reported as done.
func (e *Engine) execute(o endpoint.Order) endpoint.OrderResult {
	e.mu.Lock()
	inc := e.current
	if o.Incarnation != inc.id {
		e.mu.Unlock()
		return endpoint.OrderResult{Reason: "incarnation"}
	}
	if e.cfg.ChecksFencing {
		stale := o.FenceTerm < inc.fenceTerm || (o.FenceTerm == inc.fenceTerm && o.FenceSequence < inc.fenceSequence)
		if stale {
			e.counts.StaleOrders++
			e.mu.Unlock()
			return endpoint.OrderResult{Reason: "stale_fence"}
		}
		inc.fenceTerm, inc.fenceSequence = o.FenceTerm, o.FenceSequence
	}
	name := endpoint.ServedName(o.Model, o.Version, o.Adapter)
	switch o.Kind {
	case endpoint.OrderLoad:
		return e.load(inc, name, o)
	case endpoint.OrderUnload:
		defer e.mu.Unlock()
		if r := inc.residents[name]; r != nil {
			if r.state.Running > 0 {
				e.counts.UnloadedBusy++
			}
			delete(inc.residents, name)
			e.counts.Unloads++
		}
		return endpoint.OrderResult{Done: true}
	case endpoint.OrderRole:
		defer e.mu.Unlock()
		return endpoint.OrderResult{Done: true}
	}
	e.mu.Unlock()
	return endpoint.OrderResult{Reason: "unknown order"}
}

// load reserves the memory at once, and completes when the weights have been
// fetched. It is called with the lock held and releases it.
func (e *Engine) load(inc *engineIncarnation, name string, o endpoint.Order) endpoint.OrderResult {
	if r := inc.residents[name]; r != nil {
		done := !r.state.Loading
		e.mu.Unlock()
		if !done {
			return endpoint.OrderResult{Reason: "loading"}
		}
		return endpoint.OrderResult{Done: true}
	}
	r := &engineResident{state: endpoint.ResidentState{Model: o.Model, Version: o.Version, Adapter: o.Adapter, MemoryBytes: o.MemoryBytes, Loading: true}}
	inc.residents[name] = r
	if inc.usedBytes() > e.cfg.MemoryBytes {
		e.counts.Overcommits++
	}
	e.counts.Loads++
	e.mu.Unlock()

	if !e.fetchWeights(inc.crashed, o) {
		return endpoint.OrderResult{Reason: "crashed"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc.residents[name] != r {
		return endpoint.OrderResult{Reason: "unloaded"}
	}
	r.state.Loading = false
	return endpoint.OrderResult{Done: true}
}

// fetchWeights waits for the weight store and for the copy into memory. It
// returns false if the incarnation crashes first.
func (e *Engine) fetchWeights(crashed context.Context, o endpoint.Order) bool {
	copyTime := e.cfg.LoadTime
	if o.Adapter != "" {
		copyTime = e.cfg.AdapterLoadTime
	}
	if e.cfg.Store != "" {
		kind := "model"
		if o.Adapter != "" {
			kind = "adapter"
		}
		url := fmt.Sprintf("http://%s%s?kind=%s", e.cfg.Store, PathFetch, kind)
		if req, err := http.NewRequestWithContext(crashed, http.MethodPost, url, nil); err == nil {
			if resp, err := e.client.Do(req); err == nil {
				resp.Body.Close()
			}
		}
	}
	select {
	case <-time.After(copyTime):
		return true
	case <-crashed.Done():
		return false
	}
}
