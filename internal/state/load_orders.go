package state

import (
	"cmp"

	"parsleyramp/internal/wire"
)

// maxLoadOrders bounds the stored orders to load; the oldest are dropped first. A leader
// settles each within seconds.
const maxLoadOrders = 8192

// loadOrderKey identifies an order to load.
type loadOrderKey struct{ leadership, number uint64 }

func keyOfLoadOrder(o *wire.LoadOrder) loadOrderKey { return loadOrderKey{o.Leadership, o.Number} }

// recordLoadOrders drops the settled orders to load, and records the announced ones.
func (m *Machine) recordLoadOrders(n *wire.NoteOrders) {
	for _, o := range n.SettledLoads {
		delete(m.loadOrders, keyOfLoadOrder(o))
	}
	for _, o := range n.Loads {
		recorded := clone(o)
		recorded.Index = m.applied
		m.loadOrders[keyOfLoadOrder(o)] = recorded
	}
	for len(m.loadOrders) > maxLoadOrders {
		m.dropOldestLoadOrder()
	}
}

func (m *Machine) dropOldestLoadOrder() {
	var oldest *wire.LoadOrder
	for _, o := range m.loadOrders {
		if oldest == nil || cmp.Or(cmp.Compare(o.Index, oldest.Index), compareLoadOrders(o, oldest)) < 0 {
			oldest = o
		}
	}
	delete(m.loadOrders, keyOfLoadOrder(oldest))
}

// LoadOrders returns the announced orders to load that are not settled.
func (m *Machine) LoadOrders() []*wire.LoadOrder { return sorted(m.loadOrders, compareLoadOrders) }

func compareLoadOrders(a, b *wire.LoadOrder) int {
	return cmp.Or(cmp.Compare(a.Leadership, b.Leadership), cmp.Compare(a.Number, b.Number))
}
