package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"parsleyramp/internal/endpoint"
)

// life is one incarnation of an engine: what a restart empties. The engine's
// lock guards it.
type life struct {
	incarnation string
	// crashed ends with the incarnation.
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
	// state.Loading is true until the weights have arrived; the memory counts already.
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

func newLife(id string, number int64, cacheTokens int) *life {
	l := &life{
		incarnation: id + "-" + strconv.FormatInt(number, 36), residents: map[string]*engineResident{},
		cancels: map[string]context.CancelFunc{}, cache: newPrefixCache(cacheTokens),
	}
	l.crashed, l.crash = context.WithCancel(context.Background())
	return l
}

func (l *life) usedBytes() uint64 {
	var sum uint64
	for _, r := range l.residents {
		sum += r.state.MemoryBytes
	}
	return sum
}

// admit waits for a slot; a lower priority number goes first.
func (l *life) admit(ctx context.Context, mu *sync.Mutex, slots, priority int) bool {
	mu.Lock()
	if l.running < slots {
		l.running++
		mu.Unlock()
		return true
	}
	me := &waiter{priority: priority, admitted: make(chan struct{})}
	at := len(l.waiting)
	for at > 0 && l.waiting[at-1].priority > priority {
		at--
	}
	l.waiting = append(l.waiting[:at], append([]*waiter{me}, l.waiting[at:]...)...)
	mu.Unlock()
	select {
	case <-me.admitted:
		return true
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	for i, w := range l.waiting {
		if w == me {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return false
		}
	}
	l.handOver()
	return false
}

func (l *life) release(mu *sync.Mutex) {
	mu.Lock()
	defer mu.Unlock()
	l.handOver()
}

// handOver gives a slot to the first waiter, or frees it.
func (l *life) handOver() {
	if len(l.waiting) == 0 {
		l.running--
		return
	}
	close(l.waiting[0].admitted)
	l.waiting = l.waiting[1:]
}

// lagging notes the current load and returns the newest report that is at
// least lag old, or the oldest where none is.
func (l *life) lagging(now time.Time, lag time.Duration, current endpoint.LoadReport) endpoint.LoadReport {
	l.reports = append(l.reports, timedReport{at: now, report: current})
	for len(l.reports) > 1 && now.Sub(l.reports[1].at) >= lag {
		l.reports = l.reports[1:]
	}
	return l.reports[0].report
}
