package control

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/wire"
)

// A resident counts as ready only after every live entry has acknowledged the
// view that contains it.
func TestStatusCountsResidentOnceEveryEntryKnowsIt(t *testing.T) {
	section := &wire.Section{Team: "t", Text: []byte(`{"team": "t", "models": [{"name": "m", "version": "1", "memory_mb": 8}]}`)}
	view := &wire.View{
		Endpoints: []*wire.Endpoint{{Id: "a", Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Owner: "e", Reachable: true}},
		Residents: []*wire.Resident{{Endpoint: "a", Model: "t/m", Version: "1", State: wire.ResidentState_RESIDENT_STATE_READY, StateRevision: 9}},
	}
	leases := leaseTable{}
	leases.enterTerm(1, 0)
	entries := []*wire.EntryVM{{Id: "x", Live: true}, {Id: "y", Live: true}, {Id: "dead"}}
	none := func(string, string, string) string { return "" }
	for i, want := range []string{"not every entry knows yet", "not every entry knows yet", ""} {
		got := strings.Join(unmetReasons(section, view, nil, leases.acknowledged(entries, time.Second, 0), none), "")
		if (got == "") != (want == "") || !strings.Contains(got, want) {
			t.Errorf("after %d acknowledgements: got reasons %q", i, got)
		}
		leases.recordHeartbeat(&wire.HeartbeatRequest{Entry: entries[min(i, 1)], ViewRevision: 9}, 0)
	}
}

// Each case has one reason why the section is not met.
func TestStatusReportsUnmetReasons(t *testing.T) {
	section := &wire.Section{Team: "t", Text: []byte(`{"team": "t",
		"models": [{"name": "m", "version": "1", "memory_mb": 8, "replicas": 2}],
		"services": [{"name": "ledger", "path": "/ledger/"}]}`)}
	engine := func(id string) *wire.Endpoint {
		return &wire.Endpoint{Id: id, Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, MemoryBytes: 10 * mebibyte, Owner: "e", Reachable: true}
	}
	resident := func(id string) *wire.Resident {
		return &wire.Resident{Endpoint: id, Model: "t/m", Version: "1", State: wire.ResidentState_RESIDENT_STATE_READY, MemoryBytes: 8 * mebibyte}
	}
	met := &wire.View{
		Endpoints: []*wire.Endpoint{engine("a"), engine("b"), {Id: "s", Kind: wire.EndpointKind_ENDPOINT_KIND_SERVICE, Service: "ledger", Owner: "e", Reachable: true}},
		Residents: []*wire.Resident{resident("a"), resident("b")},
	}
	tests := []struct {
		name   string
		change func(*wire.View)
		orders []*wire.Order
		want   string
	}{
		{"met", func(*wire.View) {}, nil, ""},
		{"older version", func(v *wire.View) { v.Residents[1].Version = "0" }, nil, "1 of 2 engines: it needs 8 MiB, and the most free memory is 2 MiB on a"},
		{"loading", func(v *wire.View) { v.Residents[1].State = wire.ResidentState_RESIDENT_STATE_LOADING }, []*wire.Order{{
			FenceTerm: 3, FenceSequence: 7, Kind: wire.OrderKind_ORDER_KIND_LOAD, Endpoint: "b", Model: "t/m", Version: "1",
		}}, "load order 3.7 to b has no proved outcome yet"},
		{"leaving", func(v *wire.View) { v.Endpoints[1].Leaving = true }, nil, "b holds it but is leaving"},
		{"unreachable", func(v *wire.View) { v.Endpoints[1].Reachable = false }, nil, "b holds it but cannot be reached"},
		{"without owner", func(v *wire.View) { v.Endpoints[1].Owner = "" }, nil, "b holds it but has no owner yet"},
		{"no engine", func(v *wire.View) { v.Endpoints, v.Residents = v.Endpoints[2:], nil }, nil, "0 of 2 engines: no engine can be used"},
		{"waiting", func(v *wire.View) { v.Residents = v.Residents[:1] }, nil, "it waits for its turn"},
		{"no service", func(v *wire.View) { v.Endpoints = v.Endpoints[:2] }, nil, "service ledger: no endpoint of this name"},
		{"service leaving", func(v *wire.View) { v.Endpoints[2].Leaving = true }, nil, "service ledger: s is leaving"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := proto.Clone(met).(*wire.View)
			tt.change(view)
			got := strings.Join(unmet(section, view, tt.orders), "\n")
			if (got == "") != (tt.want == "") || !strings.Contains(got, tt.want) {
				t.Fatalf("got %q, want %q", got, tt.want)
			}
		})
	}
}
