package state

import (
	"testing"

	"parsleyramp/internal/wire"
)

func TestLoadOrdersAreKeptUntilSettled(t *testing.T) {
	m := New()
	apply := func(index uint64, n *wire.NoteOrders) {
		m.Apply(index, &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: n}})
	}
	apply(1, &wire.NoteOrders{Loads: []*wire.LoadOrder{{Leadership: 9, Number: 1, Endpoint: "e", Model: "m"}, {Leadership: 9, Number: 2, Endpoint: "e"}}})
	apply(2, &wire.NoteOrders{SettledLoads: []*wire.LoadOrder{{Leadership: 9, Number: 2}, {Leadership: 8, Number: 1}}})
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	loads := restored.LoadOrders()
	if len(loads) != 1 || loads[0].Number != 1 || loads[0].Model != "m" || loads[0].Index != 1 {
		t.Errorf("orders to load = %v, want the first one, as of index 1", loads)
	}
}

func TestLoadOrdersAreBounded(t *testing.T) {
	m := New()
	for i := range uint64(maxLoadOrders + 10) {
		m.Apply(i+1, &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: &wire.NoteOrders{Loads: []*wire.LoadOrder{{Number: i}}}}})
	}
	if loads := m.LoadOrders(); len(loads) != maxLoadOrders || loads[0].Number != 10 {
		t.Errorf("stored %d orders to load, from number %d; want maxLoadOrders, from 10", len(loads), loads[0].Number)
	}
}
