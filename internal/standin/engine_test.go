package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/livelist"
)

const (
	loadTime      = 100 * time.Millisecond
	tokenInterval = 10 * time.Millisecond
	reportLag     = 500 * time.Millisecond
	model         = "desk/note"
)

func newTestEngine(change func(*EngineConfig)) *Engine {
	cfg := EngineConfig{
		ID: "engine-1", MemoryBytes: 1000, Slots: 2, TokenInterval: tokenInterval, CacheTokens: 64,
		LoadTime: loadTime, AdapterLoadTime: time.Millisecond, ReportLag: reportLag,
	}
	if change != nil {
		change(&cfg)
	}
	return NewEngine(cfg)
}

// call serves one request. It returns false if the handler aborted the
// connection.
func call(h http.Handler, method, path string, in any) (w *httptest.ResponseRecorder, complete bool) {
	body, _ := json.Marshal(in)
	w = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			complete = false
		}
	}()
	h.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return w, true
}

func engineState(t *testing.T, e *Engine) endpoint.EngineState {
	t.Helper()
	var s endpoint.EngineState
	w, _ := call(e, http.MethodGet, endpoint.PathState, nil)
	if err := json.Unmarshal(w.Body.Bytes(), &s); err != nil {
		t.Error(err)
	}
	return s
}

// sendOrder sends an order to the current incarnation.
func sendOrder(t *testing.T, e *Engine, kind endpoint.OrderKind, sequence uint64, bytes uint64) (endpoint.OrderResult, bool) {
	t.Helper()
	var r endpoint.OrderResult
	w, complete := call(e, http.MethodPost, endpoint.PathOrders, endpoint.Order{
		FenceTerm: 1, FenceSequence: sequence, Kind: kind, Model: model, Version: "1", MemoryBytes: bytes, Incarnation: engineState(t, e).Incarnation,
	})
	if complete {
		if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
			t.Error(err)
		}
	}
	return r, complete
}

func streamCompletion(e *Engine, prompt string, tokens int) (string, bool) {
	w, received := call(e, http.MethodPost, "/v1/completions", map[string]any{
		"model": endpoint.ServedName(model, "1", ""), "prompt": prompt, "max_tokens": tokens, "stream": true,
	})
	return w.Body.String(), received && strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n")
}

func TestRequestEndLeavesTheNewIncarnationUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		sendOrder(t, e, endpoint.OrderLoad, 1, 100)
		oldCompleted := make(chan bool, 1)
		go func() {
			_, complete := streamCompletion(e, "old", 100)
			oldCompleted <- complete
		}()
		synctest.Wait()
		// The crash aborts the old request, but its handler may end late: here
		// only after a new request has begun on the new incarnation.
		old := e.current
		late := &runningRequest{id: "late", incarnation: old, resident: old.residents[endpoint.ServedName(model, "1", "")]}
		e.Crash()
		if <-oldCompleted {
			t.Fatal("a request completed despite the crash of its engine")
		}
		sendOrder(t, e, endpoint.OrderLoad, 2, 100)
		go streamCompletion(e, "new", 100)
		synctest.Wait()
		e.end(late)
		if got := engineState(t, e).Residents[0].Running; got != 1 {
			t.Fatalf("%d requests running on the new incarnation, want 1", got)
		}
		time.Sleep(time.Minute)
	})
}

func TestStateMarksLoadingResidents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		go sendOrder(t, e, endpoint.OrderLoad, 1, 100)
		synctest.Wait()
		s := engineState(t, e)
		if len(s.Residents) != 1 || !s.Residents[0].Loading || s.UsedBytes != 100 {
			t.Fatalf("while loading: %+v, want one loading resident and 100 used bytes", s)
		}
		if r, _ := sendOrder(t, e, endpoint.OrderLoad, 1, 100); r.Done {
			t.Fatal("a resent load order is done before the weights are loaded")
		}
		if _, complete := streamCompletion(e, "early", 1); complete {
			t.Fatal("a model served a request while it was loading")
		}
		time.Sleep(2 * loadTime)
		if s := engineState(t, e); s.Residents[0].Loading {
			t.Fatalf("after loading: %+v, want the resident loaded", s)
		}
		if r, _ := sendOrder(t, e, endpoint.OrderLoad, 1, 100); !r.Done {
			t.Fatal("a resent load order of a resident model is not done")
		}
	})
}

func TestOrderFaults(t *testing.T) {
	for _, c := range []struct {
		name         string
		faults       Faults
		complete     bool
		loads        int
		atLeast      time.Duration
		thenResident bool
	}{
		{"none", Faults{}, true, 1, loadTime, true},
		{"lost", Faults{LoseOrders: 1}, false, 0, 0, false},
		{"response lost", Faults{LoseAnswers: 1}, false, 1, loadTime, true},
		{"executed twice", Faults{RepeatOrders: 1}, true, 1, loadTime, true},
		{"delayed", Faults{DelayOrders: 1, OrderDelayMS: 3000}, true, 1, 3*time.Second + loadTime, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEngine(nil)
				e.SetFaults(c.faults)
				start := time.Now()
				_, complete := sendOrder(t, e, endpoint.OrderLoad, 1, 100)
				if complete != c.complete || e.Counts().Loads != c.loads || time.Since(start) < c.atLeast {
					t.Fatalf("responded %t, %d loads, after %s", complete, e.Counts().Loads, time.Since(start))
				}
				if resident := len(engineState(t, e).Residents) == 1; resident != c.thenResident {
					t.Fatalf("resident %t after the order", resident)
				}
				if _, complete := sendOrder(t, e, endpoint.OrderLoad, 1, 100); !complete {
					t.Fatal("the fault was injected more often than requested")
				}
			})
		})
	}
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEngine(func(c *EngineConfig) { c.ChecksFencing = checks })
				sendOrder(t, e, endpoint.OrderLoad, 5, 100)
				r, _ := sendOrder(t, e, endpoint.OrderUnload, 4, 0)
				if r.Done == checks || (checks && r.Reason != "stale_fence") {
					t.Fatalf("older order: %+v", r)
				}
				w, _ := call(e, http.MethodPost, endpoint.PathOrders, endpoint.Order{FenceTerm: 9, Kind: endpoint.OrderLoad, Model: model, Version: "1", Incarnation: "another"})
				if !strings.Contains(w.Body.String(), `"reason":"incarnation"`) {
					t.Fatalf("order for another incarnation: %s, want reason incarnation", w.Body)
				}
			})
		})
	}
}

func TestCrashMarkAbortsEveryRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		sendOrder(t, e, endpoint.OrderLoad, 1, 100)
		before := engineState(t, e).Incarnation
		e.SetFaults(Faults{CrashMark: "poison"})
		completed := make(chan bool, 1)
		go func() {
			_, complete := streamCompletion(e, "innocent", 100)
			completed <- complete
		}()
		synctest.Wait()
		if _, complete := streamCompletion(e, "a poison text", 1); complete || <-completed {
			t.Fatal("a request completed despite the crash")
		}
		s := engineState(t, e)
		if s.Incarnation == before || len(s.Residents) != 0 || e.Counts().Crashes != 1 {
			t.Fatalf("after the crash: %+v, %+v, want a new incarnation without residents and 1 crash", s, e.Counts())
		}
	})
}

func TestFrozenEngineRespondsOnceUnfrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		call(e, http.MethodPost, PathFaults, Faults{Frozen: true})
		responded := make(chan time.Time, 1)
		start := time.Now()
		go func() {
			engineState(t, e)
			responded <- time.Now()
		}()
		time.Sleep(time.Second)
		call(e, http.MethodPost, PathFaults, Faults{})
		if d := (<-responded).Sub(start); d < time.Second {
			t.Fatalf("responded after %s, want at least 1s", d)
		}
	})
}

func TestTruncatedStreamHasNoDoneEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		sendOrder(t, e, endpoint.OrderLoad, 1, 100)
		e.SetFaults(Faults{TruncateAnswers: 1})
		if text, complete := streamCompletion(e, "a", 8); complete || !strings.Contains(text, CompletionToken("a", 3)) {
			t.Fatalf("complete %t: %s, want a truncated stream that contains token 3", complete, text)
		}
		if _, complete := streamCompletion(e, "a", 8); !complete {
			t.Fatal("the fault was injected more often than requested")
		}
	})
}

func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		sendOrder(t, e, endpoint.OrderLoad, 1, 100)
		streamCompletion(e, "first prompt", 1)
		e.SetFaults(Faults{DropEvents: 1})
		streamCompletion(e, "second prompt", 1)
		streamCompletion(e, "third prompt", 1)
		var events []endpoint.CacheEvent
		read := func() {
			w, _ := call(e, http.MethodGet, endpoint.PathEvents+"?after=0", nil)
			if err := json.Unmarshal(w.Body.Bytes(), &events); err != nil {
				t.Fatal(err)
			}
		}
		if read(); len(events) != 0 {
			t.Fatalf("events visible before the lag: %+v", events)
		}
		time.Sleep(2 * reportLag)
		read()
		if len(events) != 2 || events[0].Sequence != 1 || events[1].Sequence != 3 {
			t.Fatalf("events: %+v, want sequences 1 and 3", events)
		}
		if want := PrefixDigest(endpoint.ServedName(model, "1", ""), "third prompt"); events[1].Prefix != want {
			t.Fatalf("prefix %x, want %x", events[1].Prefix, want)
		}
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		sendOrder(t, e, endpoint.OrderLoad, 1, 100)
		report := func() (r endpoint.LoadReport) {
			w, _ := call(e, http.MethodGet, endpoint.PathLoad, nil)
			_ = json.Unmarshal(w.Body.Bytes(), &r)
			return r
		}
		report()
		go streamCompletion(e, "a", 1000)
		synctest.Wait()
		if r := report(); r.Running != 0 {
			t.Fatalf("load visible before the lag: %+v", r)
		}
		time.Sleep(2 * reportLag)
		if r := report(); r.Running != 1 {
			t.Fatalf("load not visible after the lag: %+v", r)
		}
		time.Sleep(time.Minute)
	})
}

func TestOvercommitsAndBusyUnloadsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(nil)
		sendOrder(t, e, endpoint.OrderLoad, 1, 2000)
		go streamCompletion(e, "a", 10)
		synctest.Wait()
		sendOrder(t, e, endpoint.OrderUnload, 2, 0)
		if c := e.Counts(); c.Overcommits != 1 || c.UnloadedBusy != 1 {
			t.Fatalf("counts %+v, want 1 overcommit and 1 busy unload", c)
		}
		time.Sleep(time.Minute)
	})
}

func TestLiveListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLiveList([]livelist.VM{{ID: "engine-1", State: livelist.Live}}, time.Second)
		call(l, http.MethodPost, livelist.PathVMs+"?leaving=engine-1", nil)
		read := func() string {
			w, _ := call(l, http.MethodGet, livelist.PathVMs, nil)
			return w.Body.String()
		}
		if !strings.Contains(read(), `"live"`) {
			t.Fatalf("change visible before the lag: %s", read())
		}
		time.Sleep(2 * time.Second)
		if !strings.Contains(read(), `"leaving"`) {
			t.Fatalf("change not visible after the lag: %s", read())
		}
	})
}
