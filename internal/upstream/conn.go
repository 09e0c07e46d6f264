package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"parsleyramp/internal/fail"
)

const (
	// dialTimeout bounds the wait for a new connection.
	dialTimeout = 800 * time.Millisecond
	// userTimeout is the time after which the kernel closes a connection whose sent bytes,
	// or keep-alive probes whatever their count, are not acknowledged. Sound endpoints fall
	// silent for a second and more.
	userTimeout = 2200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive probes that detect an unresponsive peer.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdleTimeout applies if the endpoint announces no idle timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleTimeoutRatio of the endpoint's idle timeout is used, so that a request
	// is not sent while the endpoint closes the connection.
	idleTimeoutRatio = 0.7
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18

	readBufferBytes = 8 << 10
)

// conn is one connection to an endpoint.
type conn struct {
	net.Conn
	address string
	// reader reads through limit, which bounds what may be read before a response.
	reader *bufio.Reader
	limit  *readLimit
	// idleTimeout is how long the connection may stay idle, and idleSince when
	// it became idle.
	idleTimeout time.Duration
	idleSince   time.Time
	used        bool
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialFrom(nil)(ctx, address)
}

// dialFrom returns a function that opens connections from the local address; nil for any.
func dialFrom(local net.Addr) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, local, address) }
}

func dial(ctx context.Context, local net.Addr, address string) (net.Conn, error) {
	d := net.Dialer{
		LocalAddr:       local,
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	return d.DialContext(ctx, "tcp4", address)
}

func newConn(c net.Conn, address string) *conn {
	limit := &readLimit{r: c}
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, idleTimeout: defaultIdleTimeout}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failure
}

// FinalReadTime is how long what has arrived of a response can be read after a drain has ended
// its request.
const FinalReadTime = 50 * time.Millisecond

// endReads ends the reading of a response for the cause.
func (c *conn) endReads(cause error) {
	if fail.Is(cause, fail.Draining) && c.SetReadDeadline(time.Now().Add(FinalReadTime)) == nil {
		return
	}
	c.Close()
}

// clean reports whether an idle connection is open and has no unread bytes.
// Such bytes belong to no request, and EOF means that the endpoint closed the
// connection.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}

// applyKeepAlive sets the idle timeout from the Keep-Alive header of a response.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			c.idleTimeout = time.Duration(seconds * idleTimeoutRatio * float64(time.Second))
		}
	}
}
