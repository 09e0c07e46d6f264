// Package lease implements the entry's side of its lease on the view: which view
// the entry may serve with, and until when. It does no I/O and reads no clock.
package lease

import (
	"time"

	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// Outcome is the effect of a heartbeat response.
type Outcome int

// The outcomes of Apply.
const (
	// Rejected: the response changed nothing.
	Rejected Outcome = iota
	// Renewed: the response extended the lease on the same view.
	Renewed
	// Changed: the response contained the first view or a newer one.
	Changed
)

// Holder holds a view and the time until which the entry may serve with it. The
// zero Holder holds no view and no lease. The revision never decreases.
type Holder struct {
	view  *wire.View
	until time.Duration
}

// Apply applies the response to a heartbeat sent at the given time of the entry's
// clock. The lease starts at that time, so that it ends at the entry no later than
// the leader assumes.
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

// next returns the view that the response confirms, or nil if the response has an
// older view than the current one, or deltas that do not start at the current one.
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

// Release ends the lease: Valid returns false until the next Apply.
func (h *Holder) Release() { h.until = 0 }

// Revision returns the revision of the current view, or zero.
func (h *Holder) Revision() uint64 { return h.view.GetRevision() }

// View returns the current view, or nil.
func (h *Holder) View() *wire.View { return h.view }

// Until returns the expiry of the lease on the entry's clock.
func (h *Holder) Until() time.Duration { return h.until }

// Valid reports whether the entry holds a view and an unexpired lease.
func (h *Holder) Valid(now time.Duration) bool { return h.view != nil && now < h.until }
