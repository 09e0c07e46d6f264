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
	mu sync.Mutex
	// seeds are the addresses from the settings, and members those of the replicas of
	// the control group.
	seeds, members []string
	// conns holds the clients of seeds and members, and of a leader that is neither.
	conns []Conn
	// preferred is the address of the control VM to call next. confirmed is set while it
	// is known to lead, until a call to it fails.
	preferred string
	confirmed bool
	// attempts holds the calls in flight.
	attempts map[*attempt]struct{}
	http     *http.Client
	// attemptTimeout bounds one call, except those to a confirmed leader, and retryDelay
	// is the wait before the next.
	attemptTimeout time.Duration
	retryDelay     time.Duration
}

// attempt is one call in flight.
type attempt struct {
	address string
	cancel  context.CancelFunc
}

// New returns a client for the control VMs at the addresses.
func New(h *http.Client, addresses []string) *Client {
	c := &Client{http: h, attemptTimeout: attemptTimeout, retryDelay: retryDelay, attempts: map[*attempt]struct{}{}}
	c.SetSeeds(addresses)
	return c
}

// SetTimeouts sets the bound on one call and the wait before the next, for callers
// that must find a new leader quickly. It must be called before the first Do.
func (c *Client) SetTimeouts(attempt, delay time.Duration) {
	c.attemptTimeout, c.retryDelay = attempt, delay
}

// SetSeeds replaces the addresses from the settings.
func (c *Client) SetSeeds(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(addresses)
	c.updateConns()
}

// SetMembers replaces the addresses of the replicas of the control group. VMs that have
// left the group are not called any more.
func (c *Client) SetMembers(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = slices.Clone(addresses)
	c.updateConns()
}

// updateConns makes conns those of seeds and members, and keeps the preferred one. c.mu
// must be held.
func (c *Client) updateConns() {
	var next []Conn
	for _, address := range slices.Concat(c.seeds, c.members, []string{c.preferred}) {
		if address == "" || slices.ContainsFunc(next, func(x Conn) bool { return x.Address == address }) {
			continue
		}
		if i := c.index(address); i >= 0 {
			next = append(next, c.conns[i])
		} else {
			next = append(next, c.newConn(address))
		}
	}
	c.conns = next
}

// index returns the index of the address in conns, or -1. c.mu must be held.
func (c *Client) index(address string) int {
	return slices.IndexFunc(c.conns, func(x Conn) bool { return x.Address == address })
}

// Prefer makes the next calls go to the VM at the address, which leads now, and ends
// calls in flight to others. A call to it may take the time of its caller.
func (c *Client) Prefer(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred, c.confirmed = address, true
	c.updateConns()
	for a := range c.attempts {
		if a.address != address {
			a.cancel()
		}
	}
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

// begin starts a call to the preferred control VM. end must be called after it.
func (c *Client) begin(ctx context.Context) (attemptCtx context.Context, conn Conn, end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn = c.conns[max(c.index(c.preferred), 0)]
	var cancel context.CancelFunc
	if c.confirmed {
		attemptCtx, cancel = context.WithCancel(ctx)
	} else {
		attemptCtx, cancel = context.WithTimeout(ctx, c.attemptTimeout)
	}
	a := &attempt{address: conn.Address, cancel: cancel}
	c.attempts[a] = struct{}{}
	return attemptCtx, conn, func() {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.attempts, a)
	}
}

// selectNext selects the leader that a response named, or the next control VM. A VM
// that names itself is about to lead, and is called again. selectNext does nothing if
// another VM has been selected since.
func (c *Client) selectNext(from Conn, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := max(c.index(c.preferred), 0)
	if c.conns[current].Address != from.Address {
		return
	}
	c.confirmed = false
	if leader == "" {
		leader = c.conns[(current+1)%len(c.conns)].Address
	}
	c.preferred = leader
	c.updateConns()
}

// Do calls f with the clients of the leader until f succeeds, fails with an error
// other than NotLeader or Unavailable, or ctx ends. f must be idempotent. The
// returned error says that f had no effect only if that is known of every call of
// f.
func (c *Client) Do(ctx context.Context, f func(context.Context, Conn) error) error {
	ran := fail.RanNo
	for {
		started := time.Now()
		attemptCtx, conn, end := c.begin(ctx)
		err := f(attemptCtx, conn)
		end()
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

// Conns returns the clients of all known control VMs.
func (c *Client) Conns() []Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.conns)
}
