package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// PathFaults is the path at which a stand-in's injected faults are read and set.
const PathFaults = "/standin/faults"

// PathCrash is the path that crashes a stand-in engine at once.
const PathCrash = "/standin/crash"

// Faults are the faults that a stand-in injects.
type Faults struct {
	// LoseOrders is the number of orders still to be dropped before they take
	// effect.
	LoseOrders int `json:"lose_orders"`
	// LoseAnswers is the number of requests still to be executed without a
	// response: orders of an engine, calls of a service.
	LoseAnswers int `json:"lose_answers"`
	// RepeatOrders is the number of orders still to be executed twice.
	RepeatOrders int `json:"repeat_orders"`
	// DelayOrders is the number of orders still to be delayed by OrderDelayMS.
	DelayOrders  int   `json:"delay_orders"`
	OrderDelayMS int64 `json:"order_delay_ms"`
	// CrashMark is a text that crashes the engine if a request's body contains it.
	CrashMark string `json:"crash_mark"`
	// Frozen blocks all requests, except those to PathFaults and PathCrash, until
	// it is false again.
	Frozen bool `json:"frozen"`
	// TruncateAnswers is the number of streams still to be truncated half way.
	TruncateAnswers int `json:"truncate_answers"`
	// DropEvents is the number of prompts whose cache events are still to be
	// dropped.
	DropEvents int `json:"drop_events"`
}

const frozenPollInterval = 10 * time.Millisecond

// faultInjector holds the faults to inject.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// consume reports whether a counted fault is to be injected, and decrements its
// counter.
func (i *faultInjector) consume(counter func(*Faults) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := counter(&i.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// waitWhileFrozen blocks until the stand-in is no longer frozen or the request
// ends.
func (i *faultInjector) waitWhileFrozen(r *http.Request) {
	for i.get().Frozen && r.Context().Err() == nil {
		time.Sleep(frozenPollInterval)
	}
}

// ServeHTTP replaces the faults with the body of a POST, and responds with the
// current faults.
func (i *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.set(f)
	}
	writeJSON(w, i.get())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
