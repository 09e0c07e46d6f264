package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"parsleyramp/internal/endpoint"
)

// engineIncarnation holds the state that an engine loses in a restart. The
// engine's mutex guards it.
type engineIncarnation struct {
	id string
	// crashed is canceled when the incarnation ends.
	crashed       context.Context
	crash         context.CancelFunc
	residents     map[string]*engineResident
	fenceTerm     uint64
	fenceSequence uint64
	running       int
	waiting       []*waiter
	cancels       map[string]context.CancelFunc
	cache         *prefixCache
	reports       []timedReport
}

type engineResident struct {
	// state.Loading is true until the weights are loaded; the memory is counted
	// as used from the start of the load.
	state endpoint.ResidentState
}

type waiter struct {
	priority int
	admitted chan struct{}
}

type timedReport struct {
	at     time.Time
	report endpoint.LoadReport
}

func newEngineIncarnation(id string, number int64, cacheTokens int) *engineIncarnation {
	inc := &engineIncarnation{
		id: id + "-" + strconv.FormatInt(number, 36), residents: map[string]*engineResident{},
		cancels: map[string]context.CancelFunc{}, cache: newPrefixCache(cacheTokens),
	}
	inc.crashed, inc.crash = context.WithCancel(context.Background())
	return inc
}

func (inc *engineIncarnation) usedBytes() uint64 {
	var sum uint64
	for _, r := range inc.residents {
		sum += r.state.MemoryBytes
	}
	return sum
}

// admit waits for a slot. Lower priority numbers are admitted first. It returns
// false if ctx ends first.
func (inc *engineIncarnation) admit(ctx context.Context, mu *sync.Mutex, slots, priority int) bool {
	mu.Lock()
	if inc.running < slots {
		inc.running++
		mu.Unlock()
		return true
	}
	own := &waiter{priority: priority, admitted: make(chan struct{})}
	pos := len(inc.waiting)
	for pos > 0 && inc.waiting[pos-1].priority > priority {
		pos--
	}
	inc.waiting = append(inc.waiting[:pos], append([]*waiter{own}, inc.waiting[pos:]...)...)
	mu.Unlock()
	select {
	case <-own.admitted:
		return true
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	for i, w := range inc.waiting {
		if w == own {
			inc.waiting = append(inc.waiting[:i], inc.waiting[i+1:]...)
			return false
		}
	}
	// The waiter is no longer queued: it was admitted at the same time, so its slot
	// is released.
	inc.releaseLocked()
	return false
}

func (inc *engineIncarnation) release(mu *sync.Mutex) {
	mu.Lock()
	defer mu.Unlock()
	inc.releaseLocked()
}

// releaseLocked passes a slot to the first waiter, or frees it if none waits.
func (inc *engineIncarnation) releaseLocked() {
	if len(inc.waiting) == 0 {
		inc.running--
		return
	}
	close(inc.waiting[0].admitted)
	inc.waiting = inc.waiting[1:]
}

// reportAsOf records the current load and returns the newest report that is at
// least lag old, or the oldest report if none is.
func (inc *engineIncarnation) reportAsOf(now time.Time, lag time.Duration, current endpoint.LoadReport) endpoint.LoadReport {
	inc.reports = append(inc.reports, timedReport{at: now, report: current})
	for len(inc.reports) > 1 && now.Sub(inc.reports[1].at) >= lag {
		inc.reports = inc.reports[1:]
	}
	return inc.reports[0].report
}
