package state

import (
	"cmp"

	"parsleyramp/internal/wire"
)

// maxOrderNotes bounds the notes; the oldest go first. Engines come and go, and
// a note matters only for seconds.
const maxOrderNotes = 4096

// noteOrders records who gives orders to which engines from here on, and drops
// the notes of the same holder that it takes back.
func (m *Machine) noteOrders(n *wire.NoteOrders) *wire.CommandResult {
	for _, id := range n.Settled {
		if m.orderNotes[id].GetHolder() == n.Holder {
			delete(m.orderNotes, id)
		}
	}
	for _, id := range n.Endpoints {
		m.orderNotes[id] = &wire.OrderNote{Endpoint: id, Holder: n.Holder, Index: m.applied}
	}
	for len(m.orderNotes) > maxOrderNotes {
		m.dropOldestNote()
	}
	return applied()
}

func (m *Machine) dropOldestNote() {
	var oldest *wire.OrderNote
	for _, n := range m.orderNotes {
		if oldest == nil || cmp.Or(cmp.Compare(n.Index, oldest.Index), cmp.Compare(n.Endpoint, oldest.Endpoint)) < 0 {
			oldest = n
		}
	}
	delete(m.orderNotes, oldest.Endpoint)
}

// OrderIntents returns the newest note for each engine.
func (m *Machine) OrderIntents() []*wire.OrderNote {
	return sorted(m.orderNotes, func(a, b *wire.OrderNote) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}
