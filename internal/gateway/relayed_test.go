package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wire"
)

// cutLinks are the links of a gateway to endpoints; new connections over them fail while cut
// is set.
type cutLinks struct {
	cut   atomic.Bool
	dials atomic.Int64
}

// dialTime is how long a connection over a cut link takes to fail.
const dialTime = 30 * time.Millisecond

func (c *cutLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	c.dials.Add(1)
	if c.cut.Load() {
		select {
		case <-time.After(dialTime):
		case <-ctx.Done():
		}
		return nil, os.ErrDeadlineExceeded
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", address)
}

// cutPair is a gateway whose links to endpoints are cut and one whose links are sound.
type cutPair struct {
	cut, sound *Gateway
	links      *cutLinks
	address    string
}

func startCutPair(t *testing.T, route document.Route, endpoints ...*wire.FleetEndpoint) *cutPair {
	t.Helper()
	p := &cutPair{links: &cutLinks{}}
	p.cut, p.sound = newTestGateway(t, route, document.Service{}, endpoints...), newTestGateway(t, route, document.Service{}, endpoints...)
	p.cut.pool = upstream.NewPoolWithDial(p.links.dial)
	p.links.cut.Store(true)
	p.sound.cfg.ID = "sound"
	relay := serveRelay(t, p.sound)
	known := []*wire.Gateway{{Id: "sound", Accepting: true, RelayAddress: relay}}
	p.cut.view.Store(fleet.NewView(&wire.FleetView{Endpoints: endpoints, Gateways: known}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.cut.watchReach(ctx)
	p.address = serveGateway(t, p.cut)
	return p
}

// serveRelay starts the server of the gateway for requests that others relay.
func serveRelay(t *testing.T, g *Gateway) string {
	t.Helper()
	l, err := transport.ListenClients("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := transport.ServeClients(l, g)
	t.Cleanup(func() { s.Close() })
	return s.Address()
}

// detectionTime bounds the time from a cut until requests go by way of other gateways.
const detectionTime = 2 * time.Second

func TestCallersOfAGatewayCutOffFromAllEndpointsAreServedByWayOfAnother(t *testing.T) {
	const requests = 20
	var answers []string
	for range requests + 200 {
		answers = append(answers, response(200, "Signed: 1\r\n", "fine"))
	}
	a, b := startEngine(t, answers...), startEngine(t, answers...)
	p := startCutPair(t, idempotent, versioned(a, "v1"), versioned(b, "v1"))
	for end := time.Now().Add(detectionTime); time.Now().Before(end) && !p.served(t, "first"); {
	}
	served := 0
	for i := range requests {
		if p.served(t, fmt.Sprintf("attempt-%d", i)) {
			served++
		}
	}
	if served < requests*9/10 {
		t.Errorf("%d of %d requests were served at the gateway that is cut off, want 0.9 of them", served, requests)
	}
}

// served reports whether a request to the gateway that is cut off is served at the first
// attempt.
func (p *cutPair) served(t *testing.T, id string) bool {
	resp, body, err := call(t, t.Context(), p.address, "Id", id)
	return err == nil && resp.StatusCode == 200 && body == "fine"
}
