package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/internal/wire"
)

// shareKey names a workspace at a service.
type shareKey struct{ workspace, service string }

// workspaceUse measures for how long requests of workspaces occupy slots. Its zero value is
// empty. It is safe for concurrent use.
type workspaceUse struct {
	mu   sync.Mutex
	sums map[shareKey]*slotUse
}

// slotUse is the slot time of the requests of one workspace at a service.
type slotUse struct {
	running int
	// summedTo is the time up to which slotTime counts the requests that are running.
	summedTo, slotTime time.Duration
}

func (u *slotUse) advance(now time.Duration) {
	u.slotTime += time.Duration(u.running) * max(now-u.summedTo, 0)
	u.summedTo = max(u.summedTo, now)
}

// begin counts a request that occupies a slot from now on.
func (w *workspaceUse) begin(k shareKey, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.sums[k]
	if u == nil {
		u = &slotUse{summedTo: now}
		if w.sums == nil {
			w.sums = map[shareKey]*slotUse{}
		}
		w.sums[k] = u
	}
	u.advance(now)
	u.running++
}

// end counts the end of a request.
func (w *workspaceUse) end(k shareKey, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u := w.sums[k]; u != nil {
		u.advance(now)
		u.running--
	}
}

// flush returns the slot time since the last report. What a failed exchange loses is not
// repeated: the leader counts the last seconds alone.
func (w *workspaceUse) flush(now time.Duration) []*wire.WorkspaceUse {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*wire.WorkspaceUse
	for k, u := range w.sums {
		u.advance(now)
		if ms := u.slotTime.Milliseconds(); ms > 0 {
			out = append(out, &wire.WorkspaceUse{Workspace: k.workspace, Service: k.service, SlotMs: uint64(ms)})
			u.slotTime -= time.Duration(ms) * time.Millisecond
		}
		if u.running <= 0 {
			delete(w.sums, k)
		}
	}
	return out
}

// workspaceExcess holds which workspaces use more than their fair share, as the leader has
// stated last. Its zero value is empty. It is safe for concurrent use.
type workspaceExcess struct {
	stated atomic.Pointer[map[shareKey]float64]
}

// set replaces what is known; nil if no leader answers.
func (w *workspaceExcess) set(stated []*wire.WorkspaceExcess) {
	if len(stated) == 0 {
		w.stated.Store(nil)
		return
	}
	m := make(map[shareKey]float64, len(stated))
	for _, x := range stated {
		m[shareKey{x.Workspace, x.Service}] = float64(x.UsePermille) / 1000
	}
	w.stated.Store(&m)
}

// of returns the use of the workspace divided by its share; zero if it is not above it.
func (w *workspaceExcess) of(k shareKey) float64 {
	m := w.stated.Load()
	if m == nil || k.workspace == "" {
		return 0
	}
	return (*m)[k]
}

// shareKey returns the workspace and service of the request; the workspace is empty for none.
func (q *request) shareKey() shareKey {
	k := shareKey{service: q.requirements.Service}
	if q.workspace != nil {
		k.workspace = q.workspace.Name
	}
	return k
}

// countUse counts that the request occupies a slot until the returned function is called, if
// the document declares workspaces.
func (q *request) countUse() (end func()) {
	g := q.g
	if t := g.table.Load(); t == nil || !t.NeedsKeys() {
		return func() {}
	}
	k := q.shareKey()
	g.use.begin(k, g.clock())
	return func() { g.use.end(k, g.clock()) }
}
