package state

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/wire"
)

func put(version uint64, text string) *wire.Command {
	return &wire.Command{Body: &wire.Command_PutDocument{PutDocument: &wire.PutDocument{
		Document: &wire.Document{Version: version, Text: []byte(text)},
	}}}
}

// TestPutDocument checks that the document with the highest version is stored. It
// applies random fleet documents, some with a lower version than the stored one or
// with the same version and another text, and restores the state from a snapshot at
// random points.
func TestPutDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		var highest uint64
		var text string
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			version := uint64(rapid.IntRange(0, 12).Draw(t, "version"))
			sent := rapid.StringN(1, 4, 8).Draw(t, "text")
			r := m.Apply(uint64(i+1), put(version, sent))
			if r.Applied != (version > 0) {
				t.Fatalf("document of version %d: applied = %v, want true only for a version above 0", version, r.Applied)
			}
			if version > highest {
				highest, text = version, sent
			}
			if rapid.Bool().Draw(t, "restore") {
				data, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if m, err = Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			if got := m.Document(); got.GetVersion() != highest || string(got.GetText()) != text {
				t.Fatalf("stored document is version %d with text %q, want version %d with text %q", got.GetVersion(), got.GetText(), highest, text)
			}
		}
	})
}

// TestOrderIntentsSnapshot checks that the newest intent of each engine is stored
// and is part of the snapshot.
func TestOrderIntentsSnapshot(t *testing.T) {
	record := func(holder string, endpoints ...string) *wire.Command {
		return &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: &wire.NoteOrders{Holder: holder, Endpoints: endpoints}}}
	}
	m := New()
	m.Apply(1, record("a", "e1", "e2"))
	m.Apply(2, record("b", "e2"))
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	want := []*wire.OrderNote{{Endpoint: "e1", Holder: "a", Index: 1}, {Endpoint: "e2", Holder: "b", Index: 2}}
	got := restored.OrderIntents()
	if len(got) != len(want) {
		t.Fatalf("restored order intents = %v, want those of e1 and e2", got)
	}
	for i := range want {
		if !proto.Equal(got[i], want[i]) {
			t.Errorf("order intent = %v, want %v", got[i], want[i])
		}
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Errorf("snapshot of the restored state differs from the original, or error: %v", err)
	}
}

// TestSettleOrderIntent checks that only the holder of an intent settles it.
func TestSettleOrderIntent(t *testing.T) {
	m := New()
	apply := func(i uint64, n *wire.NoteOrders) {
		m.Apply(i, &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: n}})
	}
	apply(1, &wire.NoteOrders{Holder: "a", Endpoints: []string{"e1", "e2"}})
	apply(2, &wire.NoteOrders{Holder: "b", Endpoints: []string{"e2"}})
	apply(3, &wire.NoteOrders{Holder: "a", Endpoints: []string{"e3"}, Settled: []string{"e1", "e2"}})
	var left []string
	for _, n := range m.OrderIntents() {
		left = append(left, n.Endpoint+n.Holder)
	}
	if len(left) != 2 || left[0] != "e2b" || left[1] != "e3a" {
		t.Errorf("order intents = %v, want e2b and e3a", left)
	}
}

func TestOrderIntentsAreBounded(t *testing.T) {
	m := New()
	for i := range maxOrderIntents + 10 {
		id := string(rune('a'+i%26)) + string(rune('0'+i/26))
		m.Apply(uint64(i+1), &wire.Command{Body: &wire.Command_NoteOrders{NoteOrders: &wire.NoteOrders{Holder: "h", Endpoints: []string{id}}}})
	}
	intents := m.OrderIntents()
	if len(intents) != maxOrderIntents {
		t.Fatalf("stored %d order intents, want maxOrderIntents", len(intents))
	}
	for _, n := range intents {
		if n.Index <= 10 {
			t.Errorf("order intent %v should be dropped as one of the oldest", n)
		}
	}
}
