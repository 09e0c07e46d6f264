package transport

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// finalAcceptTime is how long a listener that stops accepts the connections that wait in the
// kernel's queue, which resets them when the listener is closed.
const finalAcceptTime = 50 * time.Millisecond

// trackingListener accepts the connections of a ClientFacingServer.
type trackingListener struct {
	net.Listener
	server   *ClientFacingServer
	stopOnce sync.Once
	// final is set once the last connections are being accepted. Only Accept uses it.
	final bool
}

// deadlineListener is a listener whose Accept can be ended without closing it.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// setAcceptDeadline sets the time at which Accept of the listener fails.
func setAcceptDeadline(l net.Listener, t time.Time) error {
	if d, ok := l.(deadlineListener); ok {
		return d.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// stop makes Accept return the connections that wait, and then close the listener.
func (l *trackingListener) stop() {
	l.stopOnce.Do(func() {
		if d, ok := l.Listener.(deadlineListener); ok && d.SetDeadline(expired) == nil {
			return
		}
		// An error means that the listener is closed.
		_ = l.Close()
	})
}

// Accept waits for the next connection; one goroutine may call it. It returns net.ErrClosed once the listener is closed.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.beginFinalAccepts() {
		c, err = l.Listener.Accept()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Nothing is accepted any more, also if this fails.
		_ = l.Close()
		err = net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, minTimes: &l.server.minTimes}
	l.server.add(tracked)
	return tracked, nil
}

// beginFinalAccepts permits Accept to return connections for finalAcceptTime. It returns false if
// it has done so before.
func (l *trackingListener) beginFinalAccepts() bool {
	if l.final {
		return false
	}
	l.final = true
	d, ok := l.Listener.(deadlineListener)
	return ok && d.SetDeadline(time.Now().Add(finalAcceptTime)) == nil
}
