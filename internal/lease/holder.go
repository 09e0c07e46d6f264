// Package lease is the entry's side of its lease on the configuration view: by
// which view it may serve, and until when. It does no I/O and reads no clock.
package lease

import (
	"time"

	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// Outcome tells what an answer to a heartbeat led to.
type Outcome int

// Outcomes of Accept.
const (
	// Rejected answers changed nothing.
	Rejected Outcome = iota
	// Renewed answers prolonged the lease on the same view.
	Renewed
	// Changed answers brought a newer view.
	Changed
)

// Holder is a view with the time until which the entry may serve by it. The
// zero Holder may not serve. Its revision never falls.
type Holder struct {
	view  *wire.View
	until time.Duration
}

// Apply takes the answer to a heartbeat that was sent at the given time of the
// entry's own clock. The lease counts from then, so that it ends here no later
// than the leader assumes.
func (h *Holder) Apply(sent time.Duration, r *wire.HeartbeatResponse) Outcome {
	next := h.next(r)
	if next == nil {
		return Rejected
	}
	changed := h.view == nil || next.Revision != h.view.Revision
	h.view, h.until = next, sent+time.Duration(r.LeaseMs)*time.Millisecond
	if changed {
		return Changed
	}
	return Renewed
}

// next returns the view that the answer confirms, or nil where the answer does
// not follow on the view held.
func (h *Holder) next(r *wire.HeartbeatResponse) *wire.View {
	if r.View != nil {
		if r.View.Revision < h.Revision() {
			return nil
		}
		return r.View
	}
	view := h.view
	for _, d := range r.Deltas {
		view = state.PatchView(view, d)
	}
	return view
}

// Release ends the lease: the holder serves no more until the next Accept.
func (h *Holder) Release() { h.until = 0 }

// Revision returns the revision of the view held, or zero.
func (h *Holder) Revision() uint64 { return h.view.GetRevision() }

// View returns the view held, or nil.
func (h *Holder) View() *wire.View { return h.view }

// Until returns the time of the entry's clock at which the lease ends.
func (h *Holder) Until() time.Duration { return h.until }

// Valid reports whether the entry may serve at the time.
func (h *Holder) Valid(now time.Duration) bool { return h.view != nil && now < h.until }
