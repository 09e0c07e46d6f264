package state

import (
	"cmp"

	"parsleyramp/internal/wire"
)

// maxOrderIntents bounds the stored order intents; the oldest are dropped first.
// Engines are replaced over time, and an intent matters only for seconds. Each
// engine has two, by its ID and by its address.
const maxOrderIntents = 8192

// recordOrderIntents records that the holder sends orders to the endpoints from
// now on, and drops the intents for settled endpoints that the same holder has.
func (m *Machine) recordOrderIntents(n *wire.NoteOrders) *wire.CommandResult {
	for _, id := range n.Settled {
		if m.orderIntents[id].GetHolder() == n.Holder {
			delete(m.orderIntents, id)
		}
	}
	for _, id := range n.Endpoints {
		m.orderIntents[id] = &wire.OrderNote{Endpoint: id, Holder: n.Holder, Index: m.applied}
	}
	for len(m.orderIntents) > maxOrderIntents {
		m.dropOldestIntent()
	}
	m.recordLoadOrders(n)
	return applied()
}

func (m *Machine) dropOldestIntent() {
	var oldest *wire.OrderNote
	for _, n := range m.orderIntents {
		if oldest == nil || cmp.Or(cmp.Compare(n.Index, oldest.Index), cmp.Compare(n.Endpoint, oldest.Endpoint)) < 0 {
			oldest = n
		}
	}
	delete(m.orderIntents, oldest.Endpoint)
}

// OrderIntents returns the newest order intent of each engine.
func (m *Machine) OrderIntents() []*wire.OrderNote {
	return sorted(m.orderIntents, func(a, b *wire.OrderNote) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}
