// Package testnet gives tests loopback addresses that nothing else listens on.
package testnet

import (
	"net"
	"os"
	"sync"
	"testing"
)

// given holds the addresses that Address has returned.
var given = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// Address returns an IPv4 loopback address with a port and without a listener. Its host belongs to
// this process alone, so that no other process takes the port meanwhile, and no two calls return
// the same port; some 3,000 are there.
func Address(t testing.TB) string {
	t.Helper()
	given.Lock()
	defer given.Unlock()
	for {
		a := freeAddress(t)
		if !given.addresses[a] {
			given.addresses[a] = true
			return a
		}
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", net.JoinHostPort(host(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// host derives the loopback address of this process from its id, of which Linux has 22 bits at most.
func host() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(pid>>16)+1, byte(pid>>8), byte(pid)).String()
}
