package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkState is how a proxy disturbs its connections.
type linkState struct {
	// delay delays every chunk in both directions.
	delay time.Duration
	// dropIn and dropOut drop the bytes to the target and from it. The connections
	// stay open.
	dropIn, dropOut bool
}

// proxy forwards TCP connections to one process and can disturb them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
	// refused are the IPs of clients whose new connections are reset.
	refused map[string]bool
}

// startProxy listens on the address and forwards connections to the target.
func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the state of the link, also for open connections.
func (p *proxy) set(s linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

func (p *proxy) get() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// refuse makes new connections of the clients with the IPs be reset.
func (p *proxy) refuse(ips map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = ips
}

// refuses reports whether the client's new connection is reset.
func (p *proxy) refuses(client net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[clientIP(client)]
}

// clientIP returns the IP of a connection's client.
func clientIP(c net.Conn) string {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	return a.IP.String()
}

// resetFrom resets the open connections of the clients with the IPs.
func (p *proxy) resetFrom(ips map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok && ips[clientIP(c)] {
			_ = tcp.SetLinger(0)
			c.Close()
		}
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(client net.Conn) {
	if p.refuses(client) {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	target, err := dialAs(client, p.target)
	if err != nil {
		// The client sees a refused connection to the target as a reset.
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	p.track(client, target, true)
	defer p.track(client, target, false)
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, client, func(s linkState) bool { return s.dropIn }) })
	both.Go(func() { p.copy(client, target, func(s linkState) bool { return s.dropOut }) })
	both.Wait()
}

// dialAs connects to the target from the client's IP, so that the target can tell clients
// apart.
func dialAs(client net.Conn, target string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(clientIP(client))}}
	return d.Dial("tcp4", target)
}

func (p *proxy) track(a, b net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{a, b} {
		if open {
			p.conns[c] = true
			continue
		}
		delete(p.conns, c)
		c.Close()
	}
}

const copyBufferBytes = 16 << 10

// copy forwards bytes until one side closes. After bytes of a direction were
// dropped it forwards no later ones, because a TCP stream cannot have gaps: its end is
// forwarded as a reset, as is a reset.
func (p *proxy) copy(to, from net.Conn, dropped func(linkState) bool) {
	buf := make([]byte, copyBufferBytes)
	lost, inOrder := false, false
	defer func() {
		if tcp, ok := to.(*net.TCPConn); ok && (lost || !inOrder) {
			_ = tcp.SetLinger(0)
		}
		to.Close()
	}()
	for {
		n, err := from.Read(buf)
		s := p.get()
		time.Sleep(s.delay)
		lost = lost || n > 0 && dropped(s)
		if n > 0 && !lost {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			inOrder = err == io.EOF
			return
		}
	}
}
