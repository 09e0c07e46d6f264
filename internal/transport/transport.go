// Package transport provides the listeners, HTTP servers and HTTP clients of the
// programs: TCP over numeric IPv4 addresses, with HTTP/1.1 to clients and
// endpoints and unencrypted HTTP/2 between the system's own processes.
package transport

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"syscall"
	"time"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
)

const (
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxIdlePerPeer    = 2
	// defaultHeadBytes bounds the head of a request at a listener with limits that has no other limit. It is below
	// maxHeaderBytes, the bound of net/http, which leaves unread for a time what follows a head that it refuses.
	// maxResponseHeaderBytes bounds the head of an endpoint's response.
	defaultHeadBytes       = 24 << 10
	maxHeaderBytes         = 32 << 10
	maxResponseHeaderBytes = 64 << 10
	// peerPingInterval and peerPingTimeout detect an unresponsive connection
	// between the system's own processes.
	peerPingInterval = time.Second
	peerPingTimeout  = time.Second
)

// Listen listens on a numeric IPv4 address for connections of the system's own
// processes.
func Listen(address string) (net.Listener, error) { return listen(address, PeerKindSystem, 0) }

// ListenClients listens on a numeric IPv4 address for connections of clients.
func ListenClients(address string) (net.Listener, error) { return listen(address, PeerKindClient, 0) }

func listen(address string, kind PeerKind, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: setReceiveBuffer(receiveBuffer)}
	l, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, fail.Wrap(err, fail.BadSettings, "listen on "+address)
	}
	return &countingListener{Listener: l, bytes: newByteCounters(kind, "accepted")}, nil
}

// setReceiveBuffer returns a function that sets the receive buffer, in bytes, of the connections that a listener accepts; zero
// leaves that to the system.
func setReceiveBuffer(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		if bytes == 0 {
			return nil
		}
		// Without it the system bounds the buffer, at more.
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
	}
}

func dial(ctx context.Context, _, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp4", address)
}

// NewPeerClient returns an HTTP client for the system's own processes. It opens
// one HTTP/2 connection to each address.
func NewPeerClient() *http.Client {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: countingDial(PeerKindSystem), Protocols: &p, IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{SendPingTimeout: peerPingInterval, PingTimeout: peerPingTimeout},
	}}
}

// NewPeerClientHTTP1 returns an HTTP/1.1 client for servers of the system's own processes
// that serve requests of clients too.
func NewPeerClientHTTP1() *http.Client {
	var p http.Protocols
	p.SetHTTP1(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: countingDial(PeerKindSystem), Protocols: &p, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdlePerPeer,
	}}
}

// WithoutKeepAlives returns a copy of the client, as the constructors here return it, that opens a
// connection for each request and closes it after the response.
func WithoutKeepAlives(c *http.Client) *http.Client {
	out := *c
	if t, ok := c.Transport.(*http.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		out.Transport = t
	}
	return &out
}

// NewEndpointClient returns an HTTP client for engines, services and the
// platform. It does not follow redirects and never resends a request on its own.
func NewEndpointClient(maxConnsPerHost int) *http.Client {
	return newEndpointClient(countingDial(PeerKindEndpoint), maxConnsPerHost)
}

func newEndpointClient(dial dialFunc, maxConnsPerHost int) *http.Client {
	var p http.Protocols
	p.SetHTTP1(true)
	return &http.Client{
		Transport: &endpointTransport{&http.Transport{
			DialContext: writeCountingDial(dial), Protocols: &p, IdleConnTimeout: idleTimeout,
			MaxIdleConnsPerHost: maxConnsPerHost, DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// endpointTransport sends requests to endpoints.
type endpointTransport struct{ *http.Transport }

// RoundTrip sends the request. A response that ends with its connection ends in order only once
// the whole request is delivered. A response whose head is malformed is an error.
func (t *endpointTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r.WithContext(traceDelivery(r.Context())))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// errInvalidStatus is the failure of a response with a status that HTTP does not define for final
// responses.
var errInvalidStatus = fail.New(fail.ForeignAnswer, "the status of the response is invalid").WithRan(fail.RanUnknown)

func checkHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK {
		return errInvalidStatus
	}
	return answer.CheckFields(resp.Header)
}

// Server is an HTTP server with a graceful shutdown.
type Server struct {
	http     *http.Server
	listener net.Listener
	// done holds the error of Serve once that has returned.
	done chan error
}

// Serve starts to serve the handler on the listener, over HTTP/1.1 and
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
	s := &Server{
		http: &http.Server{
			Handler: limitRequests(h), Protocols: &p, ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: recordIdle,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		},
		listener: l,
		done:     make(chan error, 1),
	}
	if limited := limitedListenerOf(l); limited != nil {
		s.http.ErrorLog = log.New(errorLog{limited.address.limits.log}, "", 0)
	}
	return s
}

// recordIdle records for the limits that no request is in flight on a connection.
func recordIdle(conn net.Conn, state http.ConnState) {
	if c := limitedConnOf(conn); c != nil && state == http.StateIdle {
		c.becomeIdle()
	}
}

func (s *Server) start() { go func() { s.done <- s.http.Serve(s.listener) }() }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops accepting connections and waits for the requests in flight
// until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fail.Wrap(err, fail.Internal, "shut down HTTP server")
	}
	return s.serveError(http.ErrServerClosed)
}

// serveError waits for Serve to return. It returns no error if Serve has returned
// one of the expected errors. It may be called more than once.
func (s *Server) serveError(expected ...error) error {
	err := <-s.done
	s.done <- err
	for _, e := range expected {
		if errors.Is(err, e) {
			return nil
		}
	}
	return fail.Wrap(err, fail.Internal, "serve HTTP")
}

// Close closes all connections at once, aborting the requests on them.
func (s *Server) Close() error { return s.http.Close() }

// WithPortOf returns the address with its port replaced by that of other. It
// returns the address unchanged if either has no port.
func WithPortOf(address, other string) string {
	host, _, err := net.SplitHostPort(address)
	_, port, otherErr := net.SplitHostPort(other)
	if err != nil || otherErr != nil {
		return address
	}
	return net.JoinHostPort(host, port)
}
