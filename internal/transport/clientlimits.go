package transport

import (
	"container/list"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
)

const (
	// connectionBytes is what an open connection takes: its goroutine and its buffers, those in the
	// kernel included.
	connectionBytes = 32 << 10
	// receiveBufferBytes bounds what the kernel holds of what a client has sent and the process has not read. A body
	// arrives at this much in each round trip.
	receiveBufferBytes = 16 << 10
	// http2ConnectionBytes is what an HTTP/2 connection takes in addition: its tables, and a header
	// block that has not ended.
	http2ConnectionBytes = 64 << 10
	// headByteCost and headLineCost are what a byte and a line of a head take once it is parsed.
	headByteCost = 4
	headLineCost = 200
	// bodyByteCost is what a byte of a body takes for which the handler has reserved nothing: buffers that grow take
	// several times what they hold.
	bodyByteCost = 5
	// stallTime is how long a body that makes no progress may hold memory that others lack, and
	// progressBytes is what counts as progress.
	stallTime     = 2 * time.Second
	progressBytes = 16 << 10
	// keptAdvantage is how many times as long as others a connection may wait for its client that has been served before.
	keptAdvantage = 8
	// blockTime is how long a write waits for its client before its connection may be closed in favor of others.
	blockTime = time.Second
	// closeReportInterval is the least time between two log lines on closed connections.
	closeReportInterval = time.Second
)

// ClientLimitsConfig bounds what the remote ends of all connections that a process has accepted may
// take together.
type ClientLimitsConfig struct {
	// Connections is the number of connections.
	Connections int
	// ConnectionBytes is the memory of connections and of the heads of their requests, and
	// BodyBytes that of the bodies.
	ConnectionBytes, BodyBytes int64
}

// ErrBodiesFull is the error of reading a body that does not fit beside those of the other
// requests in flight.
var ErrBodiesFull = fail.New(fail.Unavailable, "the bodies of the requests in flight take all the memory that is meant for them")

// resource is what connections share.
type resource string

const (
	resourceConnections resource = "connections"
	resourceHeads       resource = "heads"
	resourceBodies      resource = "bodies"
)

// ClientLimits enforces a ClientLimitsConfig on the connections of its listeners. Where a resource is short, it
// closes the connection that has waited longest for its client, at the address whose
// connections take the most of it: a client that behaves sends a request as soon as it has
// connected, so that the process rarely waits for it. Connections on which the process works
// are not closed. A new connection is refused only if none can be closed.
// It is safe for concurrent use.
type ClientLimits struct {
	cfg ClientLimitsConfig
	log *logrus.Entry

	mu sync.Mutex
	// total is the sum over all addresses.
	total     taken
	addresses []*addressLimits
	// refusing counts the connections whose clients have the time to read why their heads were refused.
	refusing int
	// closed counts the connections closed or refused since reportedAt.
	closed     int
	reportedAt time.Time
}

// taken is what connections take of each resource.
type taken struct {
	connections   int
	heads, bodies int64
}

// of returns what is taken of the resource.
func (t *taken) of(r resource) int64 {
	switch r {
	case resourceConnections:
		return int64(t.connections)
	case resourceHeads:
		return t.heads
	}
	return t.bodies
}

// addressLimits holds the connections of one address. The mutex of its limits guards it.
type addressLimits struct {
	limits *ClientLimits
	name   string
	taken  taken
	conns  map[*limitedConn]bool
	// fresh and kept hold the connections that wait for their clients, as *limitedConn, those first
	// that have waited longest: those without and with an earlier request.
	fresh, kept list.List
	// headLimit is the largest size of a head in bytes.
	headLimit atomic.Int64

	open             *metrics.Gauge
	closed, refusals map[resource]*metrics.Counter
	headsTooLarge    *metrics.Counter
}

// NewClientLimits returns limits for one process.
func NewClientLimits(cfg ClientLimitsConfig, log *logrus.Entry) *ClientLimits {
	return &ClientLimits{cfg: cfg, log: log}
}

// Taken returns the number of open connections, and what they, the heads and the bodies of requests take in bytes.
func (l *ClientLimits) Taken() (connections int, headBytes, bodyBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total.connections, l.total.heads, l.total.bodies
}

// Listen listens on a numeric IPv4 address, under a name for metrics and logs.
func (l *ClientLimits) Listen(address, name string, kind PeerKind) (net.Listener, error) {
	inner, err := listen(address, kind, receiveBufferBytes)
	if err != nil {
		return nil, err
	}
	return l.limit(inner, name), nil
}

// limit returns the listener with the limits on its connections.
func (l *ClientLimits) limit(inner net.Listener, name string) net.Listener {
	a := &addressLimits{
		limits: l, name: name, conns: map[*limitedConn]bool{},
		open:          metrics.GetOrCreateGauge(`parsleyramp_open_connections{address="`+name+`"}`, nil),
		headsTooLarge: metrics.GetOrCreateCounter(`parsleyramp_heads_too_large_total{address="` + name + `"}`),
		closed:        map[resource]*metrics.Counter{}, refusals: map[resource]*metrics.Counter{},
	}
	for _, r := range []resource{resourceConnections, resourceHeads, resourceBodies} {
		labels := `{address="` + name + `",short_of="` + string(r) + `"}`
		a.closed[r] = metrics.GetOrCreateCounter("parsleyramp_waiting_connections_closed_total" + labels)
		a.refusals[r] = metrics.GetOrCreateCounter("parsleyramp_client_limit_refusals_total" + labels)
	}
	a.headLimit.Store(defaultHeadBytes)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = append(l.addresses, a)
	return &limitedListener{Listener: inner, address: a}
}

// limitedListener is a listener whose connections are limited.
type limitedListener struct {
	net.Listener
	address *addressLimits
}

// limitedListenerOf returns the limited listener that a server's listener wraps, or nil.
func limitedListenerOf(l net.Listener) *limitedListener {
	if t, ok := l.(*trackingListener); ok {
		l = t.Listener
	}
	limited, _ := l.(*limitedListener)
	return limited
}

// errorLog writes what net/http logs to the log of the process, whose size is bounded.
type errorLog struct{ log *logrus.Entry }

// Write logs one line.
func (e errorLog) Write(line []byte) (int, error) {
	e.log.WithField("error", strings.TrimSpace(string(line))).Warn("HTTP server")
	return len(line), nil
}

// SetDeadline sets the time at which Accept fails.
func (l *limitedListener) SetDeadline(t time.Time) error { return setAcceptDeadline(l.Listener, t) }

// Accept waits for the next connection that the limits admit, and closes those that they don't.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.address.admit(inner); c != nil {
			return c, nil
		}
		// The client may connect again.
		_ = inner.Close()
	}
}

// admit returns the connection with the limits on it, or nil if there is no room for it.
func (a *addressLimits) admit(inner net.Conn) *limitedConn {
	c := &limitedConn{Conn: inner, address: a}
	more := taken{connections: 1, heads: connectionBytes}
	l := a.limits
	l.mu.Lock()
	victims, short := l.makeRoomLocked(more)
	if short == "" {
		a.conns[c] = true
		a.open.Inc()
		c.takeLocked(more)
		c.updateLocked()
	} else {
		a.refuseLocked(short)
	}
	l.mu.Unlock()
	closeAll(victims)
	if short != "" {
		return nil
	}
	return c
}

// takeOrCloseLocked takes for the connection, or releases it if there is no room. It returns the
// released connections for the caller to close, and false if this one is closed.
func (l *ClientLimits) takeOrCloseLocked(c *limitedConn, t taken) (victims []*limitedConn, ok bool) {
	victims, short := l.makeRoomLocked(t)
	if short != "" && !c.released {
		c.address.refuseLocked(short)
		c.releaseLocked()
		victims = append(victims, c)
	}
	if c.released {
		return victims, false
	}
	c.takeLocked(t)
	return victims, true
}

// refuseLocked records that something found no room.
func (a *addressLimits) refuseLocked(short resource) {
	a.refusals[short].Inc()
	a.limits.reportLocked(a, short, "refused")
}

// closeAll closes connections that have been released.
func closeAll(conns []*limitedConn) {
	for _, c := range conns {
		// An error means that the connection is closed.
		_ = c.Conn.Close()
	}
}

// makeRoomLocked releases connections until there is room for more, and returns them for the caller to
// close, and the resource that is short if that does not suffice.
func (l *ClientLimits) makeRoomLocked(more taken) (victims []*limitedConn, short resource) {
	for _, r := range []struct {
		resource resource
		limit    int64
	}{{resourceConnections, int64(l.cfg.Connections)}, {resourceHeads, l.cfg.ConnectionBytes}, {resourceBodies, l.cfg.BodyBytes}} {
		for more.of(r.resource) > 0 && l.total.of(r.resource)+more.of(r.resource) > r.limit {
			c := l.victimLocked(r.resource)
			if c == nil {
				return victims, r.resource
			}
			c.address.closed[r.resource].Inc()
			l.reportLocked(c.address, r.resource, "closed")
			c.releaseLocked()
			victims = append(victims, c)
		}
	}
	return victims, ""
}

// victimLocked returns the connection to close where the resource is short, or nil.
func (l *ClientLimits) victimLocked(r resource) *limitedConn {
	now := time.Now()
	var found *limitedConn
	var most int64
	for _, a := range l.addresses {
		if n := a.taken.of(r); n > most {
			if c := a.victimLocked(r, now); c != nil {
				found, most = c, n
			}
		}
	}
	return found
}

func (a *addressLimits) victimLocked(r resource, now time.Time) *limitedConn {
	if r == resourceBodies {
		return a.stalledLocked(now)
	}
	fresh, kept := first(&a.fresh), first(&a.kept)
	switch {
	case fresh == nil && kept == nil:
	case fresh == nil || kept != nil && now.Sub(kept.waitsSince) > keptAdvantage*now.Sub(fresh.waitsSince):
		return kept
	default:
		return fresh
	}
	for c := range a.conns {
		if c.blocked(now) {
			return c
		}
	}
	return nil
}

// first returns the first connection of a list, or nil.
func first(l *list.List) *limitedConn {
	if e := l.Front(); e != nil {
		return e.Value.(*limitedConn)
	}
	return nil
}

// stalledLocked returns the connection with a body that has made no progress for longest, or nil.
func (a *addressLimits) stalledLocked(now time.Time) *limitedConn {
	var found *limitedConn
	for c := range a.conns {
		if c.bodies > 0 && c.working == 0 && c.stalled(now) && (found == nil || c.progressAt.Load() < found.progressAt.Load()) {
			found = c
		}
	}
	return found
}

// reportLocked logs that connections of the address were closed or refused, at most once in closeReportInterval.
func (l *ClientLimits) reportLocked(a *addressLimits, short resource, what string) {
	l.closed++
	if now := time.Now(); now.Sub(l.reportedAt) >= closeReportInterval {
		l.log.WithFields(logrus.Fields{
			"address": a.name, "short_of": short, "last": what, "count": l.closed, "connections": l.total.connections,
			"head_bytes": l.total.heads, "body_bytes": l.total.bodies,
		}).Warn("clients take more than the limits: connections are closed")
		l.closed, l.reportedAt = 0, now
	}
}
