// Package controlclient is the client of entries, gateways and parsleyctl for the
// leader of the control replicas. It finds the leader even if some of their VMs are
// down.
package controlclient

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// attemptTimeout bounds one call, so that an unresponsive control VM is
	// skipped.
	attemptTimeout = 1500 * time.Millisecond
	retryDelay     = 100 * time.Millisecond
)

// Conn holds the service clients for one control VM.
type Conn struct {
	Address  string
	Control  wireconnect.ControlServiceClient
	Operator wireconnect.OperatorServiceClient
	Fleet    wireconnect.FleetServiceClient
}

// Client calls the leader among the control VMs. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	conns []Conn
	// preferred is the index in conns of the control VM to call next.
	preferred int
	http      *http.Client
	// attemptTimeout bounds one call, and retryDelay is the wait before the next.
	attemptTimeout time.Duration
	retryDelay     time.Duration
}

// New returns a client for the control VMs at the addresses.
func New(h *http.Client, addresses []string) *Client {
	c := &Client{http: h, attemptTimeout: attemptTimeout, retryDelay: retryDelay}
	for _, a := range addresses {
		c.conns = append(c.conns, c.newConn(a))
	}
	return c
}

// SetTimeouts sets the bound on one call and the wait before the next, for callers
// that must find a new leader quickly. It must be called before the first Do.
func (c *Client) SetTimeouts(attempt, delay time.Duration) {
	c.attemptTimeout, c.retryDelay = attempt, delay
}

func (c *Client) newConn(address string) Conn {
	url := "http://" + address
	traced := connect.WithInterceptors(telemetry.Interceptor())
	return Conn{
		Address:  address,
		Control:  wireconnect.NewControlServiceClient(c.http, url, traced),
		Operator: wireconnect.NewOperatorServiceClient(c.http, url, traced),
		Fleet:    wireconnect.NewFleetServiceClient(c.http, url, traced),
	}
}

func (c *Client) currentConn() Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[c.preferred%len(c.conns)]
}

// selectNext selects the leader that a response named, or the next control VM. It
// does nothing if another call has already moved on from the same control VM.
func (c *Client) selectNext(from Conn, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[c.preferred%len(c.conns)].Address != from.Address {
		return
	}
	if leader == "" || leader == from.Address {
		c.preferred = (c.preferred + 1) % len(c.conns)
		return
	}
	index := slices.IndexFunc(c.conns, func(x Conn) bool { return x.Address == leader })
	if index < 0 {
		c.conns = append(c.conns, c.newConn(leader))
		index = len(c.conns) - 1
	}
	c.preferred = index
}

// Do calls f with the clients of the leader until f succeeds, fails with an error
// other than NotLeader or Unavailable, or ctx ends. f must be idempotent. The
// returned error says that f had no effect only if that is known of every call of
// f.
func (c *Client) Do(ctx context.Context, f func(context.Context, Conn) error) error {
	ran := fail.RanNo
	for {
		conn, started := c.currentConn(), time.Now()
		attempt, cancel := context.WithTimeout(ctx, c.attemptTimeout)
		err := f(attempt, conn)
		cancel()
		if err == nil {
			return nil
		}
		failure, leader := rpcerror.FromConnect(err)
		if failure.Ran != fail.RanNo {
			ran = fail.RanUnknown
		}
		if failure.Code != fail.NotLeader && failure.Code != fail.Unavailable {
			return failure.WithRan(ran)
		}
		if ctx.Err() == nil || leader != "" || time.Since(started) >= c.minAttempt() {
			c.selectNext(conn, leader)
		}
		select {
		case <-ctx.Done():
			return fail.Wrap(failure, fail.Unavailable, "no control leader responded before the deadline").WithRan(ran)
		case <-time.After(c.retryDelay):
		}
	}
}

// minAttempt returns the duration from which an attempt that ends with the caller's
// context counts as one without a response. After a shorter one the next call of Do
// begins at the same control VM, which may be the leader.
func (c *Client) minAttempt() time.Duration { return c.attemptTimeout / 2 }

// Addresses returns the addresses of all known control VMs.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, len(c.conns))
	for i, x := range c.conns {
		out[i] = x.Address
	}
	return out
}

// AddAddresses adds the control VMs that are not known yet.
func (c *Client) AddAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range addresses {
		if !slices.ContainsFunc(c.conns, func(x Conn) bool { return x.Address == a }) {
			c.conns = append(c.conns, c.newConn(a))
		}
	}
}
