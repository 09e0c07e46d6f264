package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"parsleyramp/internal/fail"
)

// acknowledgmentInterval is the time between two looks at what of a request is not acknowledged.
const acknowledgmentInterval = 5 * time.Millisecond

// errRequestEnded is the failure of a request that ends before the endpoint has all of it.
var errRequestEnded = fail.New(fail.Canceled, "the request ended before it was delivered")

// Delivery is the writing of one request, beside which its response is read.
type Delivery struct {
	// done is closed once the request is written or the write has failed with err.
	done chan struct{}
	err  error
}

// NewDelivery returns the delivery of a request that is about to be written.
func NewDelivery() *Delivery { return &Delivery{done: make(chan struct{})} }

// Finish records the result of the write. It must be called once.
func (d *Delivery) Finish(err error) {
	d.err = err
	close(d.done)
}

// Written reports whether the whole request has been written.
func (d *Delivery) Written() bool {
	select {
	case <-d.done:
		return d.err == nil
	default:
		return false
	}
}

// Confirm waits until the peer has acknowledged the whole request, written to c. It fails if the
// connection has failed, or once ended is closed. The kernel reports the failure of a connection
// once: if a write gets it, the reads after it see an orderly end.
func (d *Delivery) Confirm(c net.Conn, ended <-chan struct{}) error {
	if err := d.wait(ended); err != nil {
		return err
	}
	return awaitAcknowledgment(c, ended)
}

// wait waits for the end of the write, or until ended is closed.
func (d *Delivery) wait(ended <-chan struct{}) error {
	select {
	case <-d.done:
		return d.err
	default:
	}
	select {
	case <-d.done:
		return d.err
	case <-ended:
		return errRequestEnded
	}
}

// awaitAcknowledgment waits until the peer has acknowledged all that was written to the connection.
func awaitAcknowledgment(c net.Conn, ended <-chan struct{}) error {
	for {
		bytes, err := unacknowledged(c)
		if err != nil || bytes == 0 {
			return err
		}
		select {
		case <-ended:
			return errRequestEnded
		case <-time.After(acknowledgmentInterval):
		}
	}
}

// unacknowledged returns how many bytes that were written to the connection the peer has not
// acknowledged, zero if the system does not tell, or the error of the connection.
func unacknowledged(c net.Conn) (bytes int, err error) {
	if counting, ok := c.(*countingConn); ok {
		c = counting.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		var unknown error
		if bytes, unknown = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); unknown != nil {
			bytes = 0
		}
		if bytes > 0 {
			failure = socketError(int(fd))
		}
	})
	if err != nil {
		return 0, err
	}
	return bytes, failure
}

// socketError returns the pending error of a socket.
func socketError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil {
		return err
	}
	if code != 0 {
		return syscall.Errno(code)
	}
	return nil
}
