package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"parsleyramp/internal/fail"
)

// acknowledgmentInterval is the time between two looks at what of a request is not acknowledged.
const acknowledgmentInterval = 5 * time.Millisecond

// delivery is the writing of one request.
type delivery struct {
	// done is closed once the request is written or the write has failed with err.
	done chan struct{}
	err  error
}

func newDelivery() *delivery { return &delivery{done: make(chan struct{})} }

// finish records the result of the write, once.
func (d *delivery) finish(err error) {
	d.err = err
	close(d.done)
}

// written reports whether the whole request has been written.
func (d *delivery) written() bool {
	select {
	case <-d.done:
		return d.err == nil
	default:
		return false
	}
}

// wait waits for the end of the write, or until ended is closed.
func (d *delivery) wait(ended <-chan struct{}) error {
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

var errRequestEnded = fail.New(fail.Canceled, "the request ended before it was delivered")

// confirmDelivery waits until the endpoint has acknowledged the whole request. It fails if the
// connection has failed, or once ended is closed. The kernel reports the failure of a connection
// once: if a write gets it, the reads after it see an orderly end.
func (c *conn) confirmDelivery(d *delivery, ended <-chan struct{}) error {
	if err := d.wait(ended); err != nil {
		return err
	}
	for {
		unacknowledged, err := c.unacknowledged()
		if err != nil || unacknowledged == 0 {
			return err
		}
		select {
		case <-ended:
			return errRequestEnded
		case <-time.After(acknowledgmentInterval):
		}
	}
}

// unacknowledged returns how many bytes that were written the endpoint has not acknowledged, zero if
// the system does not tell, or the error of the connection.
func (c *conn) unacknowledged() (bytes int, err error) {
	sc, ok := c.Conn.(syscall.Conn)
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
