// Package transport opens the sockets of the programs: TCP over IPv4 by
// number, with HTTP/1.1 towards callers and unencrypted HTTP/2 between the
// system's own processes.
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"parsleyramp/internal/fail"
)

const (
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	// peerPingInterval and peerPingTimeout notice a silent connection between
	// the system's own processes.
	peerPingInterval = time.Second
	peerPingTimeout  = time.Second
)

// Listen opens a TCP socket on an IPv4 address by number for the system's own
// processes.
func Listen(address string) (net.Listener, error) { return listen(address, PeerKindSystem) }

// ListenClients is Listen for a socket that callers connect to.
func ListenClients(address string) (net.Listener, error) { return listen(address, PeerKindClient) }

func listen(address string, kind PeerKind) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fail.Wrap(err, fail.BadSettings, "listen on "+address)
	}
	return &countingListener{Listener: l, bytes: newByteCounters(kind, "accepted")}, nil
}

func dial(ctx context.Context, _, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp4", address)
}

// NewPeerClient returns a client for the system's own processes: one HTTP/2
// connection for each address.
func NewPeerClient() *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: countingDial(PeerKindSystem), Protocols: &p, IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: peerPingInterval, PingTimeout: peerPingTimeout},
	}}
}

// NewEndpointClient returns a client for engines, services and the platform.
// It follows no redirect and never sends a request twice by itself.
func NewEndpointClient(maxConnsPerHost int) *http.Client {
	var p http.Protocols
	p.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: writeCountingDial(countingDial(PeerKindEndpoint)), Protocols: &p, IdleConnTimeout: idleTimeout,
			MaxIdleConnsPerHost: maxConnsPerHost, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Server is an HTTP server that stops without cutting off a request.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan error
}

// Serve starts to serve the handler on the listener, by HTTP/1.1 and by
// unencrypted HTTP/2.
func Serve(l net.Listener, h http.Handler) *Server {
	s := newServer(l, h)
	s.start()
	return s
}

func newServer(l net.Listener, h http.Handler) *Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &Server{
		http: &http.Server{
			Handler: h, Protocols: &p, ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
		listener: l,
		done:     make(chan error, 1),
	}
}

func (s *Server) start() { go func() { s.done <- s.http.Serve(s.listener) }() }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops accepting and waits for the requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fail.Wrap(err, fail.Internal, "shutdown")
	}
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return fail.Wrap(err, fail.Internal, "serve")
	}
	return nil
}

// Close cuts off every connection.
func (s *Server) Close() error { return s.http.Close() }

// WithPortOf returns the address with the port of another one.
func WithPortOf(address, other string) string {
	host, _, err := net.SplitHostPort(address)
	_, port, otherErr := net.SplitHostPort(other)
	if err != nil || otherErr != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}
