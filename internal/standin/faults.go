package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// PathFaults is where a stand-in takes the faults it is to show.
const PathFaults = "/standin/faults"

// PathCrash is where a stand-in engine is told to crash at once.
const PathCrash = "/standin/crash"

// Faults is what a stand-in does wrong on request.
type Faults struct {
	// LoseOrders, RepeatOrders and DelayOrders count orders still to be lost
	// before they take effect, carried out twice, or delayed by OrderDelayMS.
	LoseOrders   int   `json:"lose_orders"`
	LoseAnswers  int   `json:"lose_answers"`
	RepeatOrders int   `json:"repeat_orders"`
	DelayOrders  int   `json:"delay_orders"`
	OrderDelayMS int64 `json:"order_delay_ms"`
	// CrashMark is a text in a request's body that crashes the engine.
	CrashMark string `json:"crash_mark"`
	// Frozen stops all answers until it is false again.
	Frozen bool `json:"frozen"`
	// TruncateAnswers counts streams still to be cut off half way.
	TruncateAnswers int `json:"truncate_answers"`
	// DropEvents counts cache events still to be left out.
	DropEvents int `json:"drop_events"`
}

const frozenPollInterval = 10 * time.Millisecond

// faultBox holds the current faults.
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

// take reports whether a counted fault is due, and counts it down.
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

// waitUnfrozen blocks while the stand-in is frozen or until the request ends.
func (i *faultInjector) waitWhileFrozen(r *http.Request) {
	for i.get().Frozen && r.Context().Err() == nil {
		time.Sleep(frozenPollInterval)
	}
}

// ServeHTTP replaces the faults by the body of a POST and shows them.
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
