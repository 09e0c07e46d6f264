package testnet

import (
	"net"
	"time"
)

// WriteFirst is a connection from which nothing is read after the first bytes until a write has
// failed. The write then gets the error of the connection, which the kernel reports once.
type WriteFirst struct {
	*net.TCPConn
	failed chan struct{}
	began  bool
}

// NewWriteFirst returns such a connection over c, with a send buffer that a long body does not fit in.
func NewWriteFirst(c net.Conn) (*WriteFirst, error) {
	tcp := c.(*net.TCPConn)
	return &WriteFirst{TCPConn: tcp, failed: make(chan struct{})}, tcp.SetWriteBuffer(sendBufferBytes)
}

const (
	// sendBufferBytes is the size of the send buffer of a WriteFirst.
	sendBufferBytes = 64 << 10
	// returnDelay is how long a write that has failed takes to return, so that a read that waits
	// for it returns first.
	returnDelay = 20 * time.Millisecond
)

// Write writes to the connection. No other write may follow one that has failed.
func (c *WriteFirst) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
		time.Sleep(returnDelay)
	}
	return n, err
}

// Read reads from the connection.
func (c *WriteFirst) Read(p []byte) (int, error) {
	if c.began {
		<-c.failed
	}
	c.began = true
	return c.TCPConn.Read(p)
}
