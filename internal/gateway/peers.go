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
}

// client returns the client of the gateway at the address.
func (p *peerClients) client(address string) wireconnect.PeerServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.http == nil {
		p.http = transport.NewPeerClientHTTP1()
	}
	if p.clients == nil {
		p.clients = map[string]wireconnect.PeerServiceClient{}
	}
	c := p.clients[address]
	if c == nil {
		c = wireconnect.NewPeerServiceClient(p.http, "http://"+address, connect.WithInterceptors(telemetry.Interceptor()))
		p.clients[address] = c
	}
	return c
}

// peerHandler returns the handler of what the other gateways ask of this one: calls, and
// requests of clients that they relay, which may have any path.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewPeerServiceHandler(&peerService{g}, transport.PeerHandlerOptions()...))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isRelayed(r.Header) {
			g.serveRelayed(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}
