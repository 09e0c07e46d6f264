package gateway

import (
	"testing"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/wire"
)

func TestEndpointThatStatesThatItLeavesGetsNoMoreRequests(t *testing.T) {
	a, b := startEngine(t, response(200, "Signed: 1\r\nLeaving: 1\r\n", "fine")), startEngine(t, response(200, "Signed: 1\r\n", "fine"), response(200, "Signed: 1\r\n", "fine"))
	g := newTestGateway(t, nonIdempotent, document.Service{}, versioned(a, "v1"), versioned(b, "v1"))
	address := serveGateway(t, g)
	for range 3 {
		if resp, _, err := call(t, t.Context(), address); err != nil || resp.StatusCode != 200 {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if n := len(a.requests()); n != 1 {
		t.Errorf("the endpoint got %d requests, want 1: it said then that it leaves", n)
	}
	if told := g.loads.LeavingUnknownTo(g.view.Load(), g.clock()); len(told) != 1 || told[0] != "e0" {
		t.Errorf("%v are reported as leaving, want e0", told)
	}
}

func TestEndpointThatNamesATimeGetsNoRequestsUntilThen(t *testing.T) {
	const rest = 300 * time.Millisecond
	a := startEngine(t, response(503, "Not-Run: 1\r\nRest: 300ms\r\n", ""), response(200, "Signed: 1\r\n", "fine"))
	g := newTestGateway(t, nonIdempotent, document.Service{}, &wire.FleetEndpoint{Address: a.address})
	address := serveGateway(t, g)
	started := time.Now()
	for {
		resp, _, err := call(t, t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == 200 {
			break
		}
	}
	if took := time.Since(started); took < rest || len(a.requests()) != 2 {
		t.Errorf("the endpoint got %d requests, the second one after %v, want two %v apart", len(a.requests()), took, rest)
	}
}
