package gateway

import (
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire/wireconnect"
)

// peerClients holds the clients of the other gateways, by their addresses. It is safe for
// concurrent use.
type peerClients struct {
	mu      sync.Mutex
	http    *http.Client
	clients map[string]wireconnect.PeerServiceClient
	// fresh opens a connection for each call; nil until it is needed.
	fresh *http.Client
}

// initLocked creates the HTTP client that keeps connections open. p.mu must be held.
func (p *peerClients) initLocked() {
	if p.http == nil {
		p.http = transport.NewPeerClientHTTP1()
	}
}

// freshClient returns a client of the gateway at the address that opens a connection for each
// call: an open one may have gone silent.
func (p *peerClients) freshClient(address string) wireconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initLocked()
	if p.fresh == nil {
		p.fresh = transport.WithoutKeepAlives(p.http)
	}
	return newPeerServiceClient(p.fresh, address)
}

func newPeerServiceClient(c *http.Client, address string) wireconnect.PeerServiceClient {
	return wireconnect.NewPeerServiceClient(c, "http://"+address, connect.WithInterceptors(telemetry.Interceptor()))
}

// client returns the client of the gateway at the address.
func (p *peerClients) client(address string) wireconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.initLocked()
	if p.clients == nil {
		p.clients = map[string]wireconnect.PeerServiceClient{}
	}
	c := p.clients[address]
	if c == nil {
		c = newPeerServiceClient(p.http, address)
		p.clients[address] = c
	}
	return c
}

// peerHandler returns the handler of what the other gateways ask of this one: calls, and
// requests of clients that they relay, which may have any path.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerServiceHandler(&peerService{g}, transport.PeerHandlerOptions()...))
	calls := transport.RefuseCompressed(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isRelayed(r.Header) {
			g.serveRelayed(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}
