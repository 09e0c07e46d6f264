package transport

import (
	"context"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// PeerKind is the kind of remote end of a connection; it is the value of the
// label peer in the byte metrics.
type PeerKind string

// Kinds of peers.
const (
	// PeerKindSystem is another process of the system, or parsleyctl.
	PeerKindSystem PeerKind = "system"
	// PeerKindClient is a client of the service.
	PeerKindClient PeerKind = "caller"
	// PeerKindEndpoint is an engine, a plain service or the platform.
	PeerKindEndpoint PeerKind = "endpoint"
)

// byteCounters count the payload bytes of the connections of one kind, without
// TCP and IP headers.
type byteCounters struct {
	sent     *metrics.Counter
	received *metrics.Counter
}

func newByteCounters(kind PeerKind, side string) byteCounters {
	labels := `{peer="` + string(kind) + `",side="` + side + `"}`
	return byteCounters{
		sent:     metrics.GetOrCreateCounter("parsleyramp_sent_bytes_total" + labels),
		received: metrics.GetOrCreateCounter("parsleyramp_received_bytes_total" + labels),
	}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes byteCounters
}

// Read reads from the connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.received.Add(n)
	return n, err
}

// Write writes to the connection.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.sent.Add(n)
	return n, err
}

// SetLinger sets what becomes of unsent bytes when the connection is closed.
func (c *countingConn) SetLinger(seconds int) error { return setLinger(c.Conn, seconds) }

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	bytes byteCounters
}

// SetDeadline sets the time at which Accept fails.
func (l *countingListener) SetDeadline(t time.Time) error { return setAcceptDeadline(l.Listener, t) }

// Accept waits for the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

// countingDial returns a dial function whose connections are counted.
func countingDial(kind PeerKind) func(ctx context.Context, network, address string) (net.Conn, error) {
	bytes := newByteCounters(kind, "dialed")
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, bytes: bytes}, nil
	}
}
