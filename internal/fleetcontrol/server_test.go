package fleetcontrol

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/testnet"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// decodeVersion decodes a document that consists of its version only.
func decodeVersion(text []byte) (*document.Document, error) {
	v, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return nil, fail.Wrap(err, fail.BadDocument, "not a number")
	}
	return &document.Document{Version: v}, nil
}

// singleSettings returns the settings of the only replica of a group, for its first
// start.
func singleSettings(t *testing.T) Settings {
	t.Helper()
	cfg := DefaultSettings()
	cfg.ID, cfg.Domain, cfg.DataFolder, cfg.LiveList = "c", "d", t.TempDir(), "127.0.0.1:1"
	cfg.Address, cfg.OperatorAddress = testnet.Address(t), testnet.Address(t)
	cfg.Seeds, cfg.FirstStart = []string{cfg.OperatorAddress}, true
	return cfg
}

// startSingle starts a group of one replica with the settings.
func startSingle(t *testing.T, cfg Settings) (s *Server, stop func()) {
	t.Helper()
	deps := Dependencies{
		Platform: &fakeEngine{}, Decode: decodeVersion,
		OperatorHandler: func(DocumentStore) http.Handler { return http.NewServeMux() },
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := Start(ctx, cfg, deps, testLog())
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	return s, func() {
		if err := s.Shutdown(context.Background(), cancel); err != nil {
			t.Error(err)
		}
	}
}

// eventually calls f until it succeeds.
func eventually(t *testing.T, f func(context.Context) error) {
	t.Helper()
	var err error
	for range 200 {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		err = f(ctx)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal(err)
}

func TestDocumentSurvivesRestartAndReachesGateways(t *testing.T) {
	cfg := singleSettings(t)
	s, stop := startSingle(t, cfg)
	if _, err := s.Newest(t.Context()); err == nil {
		t.Error("Newest succeeded on a replica that does not lead yet")
	}
	eventually(t, func(ctx context.Context) error { return s.Put(ctx, []byte("7")) })
	if err := s.Put(t.Context(), []byte("5")); err != nil {
		t.Errorf("Put of an older version: %v, want it accepted without effect", err)
	}
	if err := s.Put(t.Context(), []byte("no number")); !fail.Is(err, fail.BadDocument) {
		t.Errorf("Put of an invalid document: %v, want code bad_document", err)
	}
	stop()

	cfg.FirstStart = false
	s, stop = startSingle(t, cfg)
	defer stop()
	eventually(t, func(ctx context.Context) error {
		text, err := s.Newest(ctx)
		if err == nil && string(text) != "7" {
			t.Fatalf("document after restart = %q, want 7", text)
		}
		return err
	})
	client := wireconnect.NewFleetServiceClient(transport.NewPeerClient(), "http://"+cfg.Address)
	eventually(t, func(ctx context.Context) error {
		resp, err := client.Sync(ctx, connect.NewRequest(&wire.SyncRequest{Gateway: &wire.Gateway{Id: "g"}}))
		if err == nil && resp.Msg.Document.GetVersion() != 7 {
			t.Fatalf("gateway received document version %d, want 7", resp.Msg.Document.GetVersion())
		}
		return err
	})
}

func TestPeerLoadsExcludeOwn(t *testing.T) {
	l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
	l.startedAt = -initialReportWait
	l.applyList([]ListedEndpoint{{ID: "d"}, {ID: "e"}, {ID: "f"}})
	report := func(id string, running uint32) *wire.SyncResponse {
		return l.sync(&wire.SyncRequest{
			Gateway: &wire.Gateway{Id: id}, Loads: []*wire.InProgress{{Endpoint: "e", Running: running, Tokens: 10 * uint64(running)}},
		})
	}
	report("a", 3)
	if got := report("b", 4); !slices.Equal(got.OthersRunning, []uint32{0, 3, 0}) || !slices.Equal(got.OthersTokenUnits, []uint32{0, 1, 0}) {
		t.Errorf("b received running %v and token units %v, want [0 3 0] and [0 1 0]", got.OthersRunning, got.OthersTokenUnits)
	}
	if got := report("a", 1); !slices.Equal(got.OthersRunning, []uint32{0, 4, 0}) {
		t.Errorf("a received running %v, want [0 4 0]", got.OthersRunning)
	}
	if got := report("b", 4); !slices.Equal(got.OthersRunning, []uint32{0, 1, 0}) {
		t.Errorf("b received running %v after two requests of a ended, want [0 1 0]", got.OthersRunning)
	}
	l.dropLostGateways(l.s.clock() + 2*gatewayTimeout)
	if len(l.loads) != 0 || len(l.gateways) != 0 {
		t.Errorf("loads of dropped gateways still count: %v", l.loads)
	}
}

func TestCountsAreSentWithTheMeanAgeOfTheReports(t *testing.T) {
	l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
	l.startedAt = -initialReportWait
	now := time.Second
	l.s.clock = func() time.Duration { return now }
	l.applyList([]ListedEndpoint{{ID: "e"}})
	report := func(id string) uint32 {
		return l.sync(&wire.SyncRequest{Gateway: &wire.Gateway{Id: id}}).OthersAgeMs
	}
	if got := report("a"); got != 0 {
		t.Errorf("counts of no other gateway are %d ms old, want 0", got)
	}
	now += 100 * time.Millisecond
	report("b")
	now += 100 * time.Millisecond
	if got := report("c"); got != 150 {
		t.Errorf("reports of 200 and 100 ms ago: %d ms, want 150", got)
	}
}

func TestSlownessIsSentToGatewaysAsSeldomAsReadingTimes(t *testing.T) {
	l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
	l.startedAt = -initialReportWait
	now := time.Second
	l.s.clock = func() time.Duration { return now }
	l.applyList([]ListedEndpoint{{ID: "fast", Service: "s"}, {ID: "idle", Service: "s"}, {ID: "slow", Service: "s"}})
	var resp *wire.SyncResponse
	for range 50 {
		now += 100 * time.Millisecond
		resp = l.sync(&wire.SyncRequest{Gateway: &wire.Gateway{Id: "g"}, Loads: []*wire.InProgress{
			{Endpoint: "fast", Served: 1, TookMs: 500, ExpectedMs: 1000}, {Endpoint: "slow", Served: 1, TookMs: 1500, ExpectedMs: 1000},
		}})
		if (len(resp.SlownessPercent) > 0) != (len(resp.UnitReadUs) > 0) {
			t.Fatalf("slowness %v, reading times %v, want both or neither", resp.SlownessPercent, resp.UnitReadUs)
		}
	}
	now += ratesInterval
	got := l.sync(&wire.SyncRequest{Gateway: &wire.Gateway{Id: "g"}}).SlownessPercent
	if len(got) != 3 || got[0] > 70 || got[1] != 0 || got[2] < 130 {
		t.Errorf("slowness %v, want less than 70 percent, unknown and more than 130", got)
	}
}

// TestSyncReturnsOnlyChanges syncs with a leader while one engine starts to
// drain, another one is removed from the list and a second gateway connects.
func TestSyncReturnsOnlyChanges(t *testing.T) {
	l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
	l.startedAt = -initialReportWait
	exchange := func(id string, v *fleet.View) *wire.FleetView {
		r := &wire.SyncRequest{Gateway: &wire.Gateway{Id: id}}
		if v != nil {
			r.ViewTerm, r.ViewRevision = v.Term, v.Revision
		}
		return l.sync(r).View
	}
	l.applyList([]ListedEndpoint{{ID: "d"}, {ID: "e"}, {ID: "f"}})
	v, ok := (*fleet.View)(nil).Update(exchange("a", nil))
	if !ok || len(v.Endpoints) != 3 || len(v.Gateways) != 1 {
		t.Fatalf("first view = %+v, want 3 endpoints and 1 gateway", v)
	}
	if again := exchange("a", v); again != nil {
		t.Errorf("received %v although nothing has changed", again)
	}
	l.applyList([]ListedEndpoint{{ID: "e"}, {ID: "f", Leaving: true}})
	exchange("b", nil)
	changes := exchange("a", v)
	if len(changes.Endpoints) != 1 || len(changes.RemovedEndpoints) != 1 || len(changes.Gateways) != 1 || changes.Since != v.Revision {
		t.Errorf("changes = %v, want 1 endpoint, 1 removed endpoint and 1 gateway", changes)
	}
	next, ok := v.Update(changes)
	if !ok || len(next.Endpoints) != 2 || !next.Endpoints[1].Leaving || len(next.Gateways) != 2 {
		t.Errorf("view after the changes = %+v, want 2 endpoints, the second one leaving, and 2 gateways", next)
	}
}

// TestModelIsUnloadedAfterAllGatewaysKnow checks that a gateway exchanges with the leader
// between the publication that a model is about to be unloaded and the unload.
func TestModelIsUnloadedAfterAllGatewaysKnow(t *testing.T) {
	for _, gateways := range []int{1, 9, 86, 195, 340, 1000} {
		pause := time.Duration(syncPauseMS(gateways)) * time.Millisecond
		if got := modelDrainTime(gateways); got < pause+exchangeMargin {
			t.Errorf("%d gateways: unloaded after %v, want %v after the pause of %v between exchanges", gateways, got, exchangeMargin, pause)
		}
	}
}

func TestSyncRateIsBounded(t *testing.T) {
	for gateways, want := range map[int]uint32{1: 1, 7: 8, 86: 107, 340: 425} {
		if got := syncPauseMS(gateways); got != want {
			t.Errorf("pause with %d gateways = %d ms, want %d ms", gateways, got, want)
		}
	}
}

func TestEntryOfAnotherWriterDoesNotDisplaceAnEngine(t *testing.T) {
	l, _ := newTestLeader(t, &fakeEngine{held: map[string]map[string]bool{}})
	service := l.doc.Services[0].Name
	for _, list := range [][]ListedEndpoint{
		{{ID: "e", Service: service, Address: "a"}, {ID: "e", Service: "unknown", Address: "b"}},
		{{ID: "e", Service: "unknown", Address: "b"}, {ID: "e", Service: service, Address: "a"}},
	} {
		if l.applyList(list); l.engines["e"].listed.Address != "a" {
			t.Errorf("the engine is at %s, want a", l.engines["e"].listed.Address)
		}
	}
}
