package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/wire"
)

// modelRequestTimeout bounds one call that requests a model or adapter from the
// control plane.
const modelRequestTimeout = 800 * time.Millisecond

// modelRequests sends model requests to the control plane. Concurrent calls for
// the same key share one request.
type modelRequests struct {
	mu       sync.Mutex
	inFlight map[modelRequestKey]*modelRequestCall
	// cached holds the last responses, each valid for availabilityTTL.
	cached map[modelRequestKey]modelAvailability
}

// availabilityTTL is how long a response of the control plane is reused. It is
// half of the time that a request waits before it requests a model again.
const availabilityTTL = modelRequestInterval / 2

// maxCachedAvailability bounds the cached responses, because clients choose the
// names of models.
const maxCachedAvailability = 4096

type modelRequestCall struct {
	done   chan struct{}
	result modelAvailability
}

// modelAvailability is the response to a model request: the engine that holds the
// model and adapter, or the time until one is expected to.
type modelAvailability struct {
	endpoint string
	readyIn  time.Duration
	// receivedAt is when it was received.
	receivedAt time.Duration
}

// do requests the model and adapter from the control plane, or returns a recent
// response. The result is empty if the call fails or ctx ends first.
func (m *modelRequests) do(ctx context.Context, g *Gateway, k modelRequestKey, service string) modelAvailability {
	m.mu.Lock()
	if a, ok := m.cached[k]; ok && g.clock()-a.receivedAt < availabilityTTL {
		m.mu.Unlock()
		return a
	}
	c := m.inFlight[k]
	if c == nil {
		c = &modelRequestCall{done: make(chan struct{})}
		if m.inFlight == nil {
			m.inFlight = map[modelRequestKey]*modelRequestCall{}
		}
		m.inFlight[k] = c
		go m.send(g, k, service, c)
	}
	m.mu.Unlock()
	select {
	case <-c.done:
		return c.result
	case <-ctx.Done():
		return modelAvailability{}
	}
}

func (m *modelRequests) send(g *Gateway, k modelRequestKey, service string, c *modelRequestCall) {
	ctx, cancel := context.WithTimeout(context.Background(), modelRequestTimeout)
	defer cancel()
	want := &wire.WantRequest{
		Service: service, Model: k.model, Adapter: k.adapter, More: k.more, Version: k.version,
		TargetMs: uint32(g.demand.target(k.model).Milliseconds()),
	}
	err := g.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Fleet.Want(ctx, connect.NewRequest(want))
		if err == nil {
			c.result = modelAvailability{endpoint: r.Msg.Endpoint, readyIn: time.Duration(r.Msg.ReadyInMs) * time.Millisecond}
		}
		return err
	})
	if err != nil {
		g.log.WithError(err).WithField("model", k.model).WithField("adapter", k.adapter).Warn("model request to the control plane failed")
	}
	c.result.receivedAt = g.clock()
	m.mu.Lock()
	if m.cached == nil || len(m.cached) >= maxCachedAvailability {
		m.cached = map[modelRequestKey]modelAvailability{}
	}
	m.cached[k] = c.result
	delete(m.inFlight, k)
	m.mu.Unlock()
	close(c.done)
}
