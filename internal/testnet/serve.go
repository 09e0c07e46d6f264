package testnet

import (
	"net"
	"testing"
)

// Serve accepts connections on a free loopback address until the test ends, and calls handle for each in a
// goroutine of its own, which closes it afterwards. It returns the address.
func Serve(t testing.TB, handle func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}
