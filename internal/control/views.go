package control

import (
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// maxDeltas bounds the deltas kept. An entry that lags further behind is sent
// the whole view.
const maxDeltas = 64

// viewHistory holds the newest view and the deltas that lead to it, so that an
// entry is sent only the changes that it lacks. Its views are immutable. It is
// accessed only on the goroutine of replica.Node.Run.
type viewHistory struct {
	newest *wire.View
	deltas []*wire.ViewDelta
}

// update adds the machine's view if its revision differs from the newest one. An
// older revision restarts the history.
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

// fill adds to the response what leads from the revision to the newest view:
// nothing, deltas, or the whole view if it is smaller or the deltas are no longer
// kept.
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
