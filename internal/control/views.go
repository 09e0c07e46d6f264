package control

import (
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// maxDeltas bounds the steps that an entry may lag behind before it is sent
// the whole view.
const maxDeltas = 64

// viewHistory holds the newest view and the deltas that led to it, so that
// entries are sent what they lack. Its views are immutable. Only the control
// goroutine touches it.
type viewHistory struct {
	newest *wire.View
	deltas []*wire.ViewDelta
}

// update takes the machine's view where it is newer than the newest one here.
func (h *viewHistory) update(m *state.Machine) {
	if h.newest != nil && h.newest.Revision == m.ViewRevision() {
		return
	}
	next := m.View()
	if h.newest == nil || next.Revision < h.newest.Revision {
		*h = viewHistory{newest: next}
		return
	}
	h.deltas = append(h.deltas, state.DiffView(h.newest, next))
	if len(h.deltas) > maxDeltas {
		h.deltas = append([]*wire.ViewDelta(nil), h.deltas[len(h.deltas)-maxDeltas:]...)
	}
	h.newest = next
}

// fill puts into the response what leads from the revision to the newest view:
// nothing, deltas, or the whole view where that is smaller or the deltas are gone.
func (h *viewHistory) fill(revision uint64, resp *wire.HeartbeatResponse) {
	if revision == h.newest.Revision {
		return
	}
	bytes := 0
	for i := len(h.deltas) - 1; i >= 0; i-- {
		bytes += proto.Size(h.deltas[i])
		if h.deltas[i].FromRevision != revision {
			continue
		}
		if bytes < proto.Size(h.newest) {
			resp.Deltas = h.deltas[i:len(h.deltas):len(h.deltas)]
			return
		}
		break
	}
	resp.View = h.newest
}
