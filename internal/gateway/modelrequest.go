package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/wire"
)

// wantTimeout bounds one question to control for a model or adapter.
const modelRequestTimeout = 800 * time.Millisecond

// wants joins equal questions to control that are under way.
type modelRequests struct {
	mu       sync.Mutex
	inFlight map[modelRequestKey]*modelRequestCall
	// answered are the last answers; they hold for answerKeeps.
	cached map[modelRequestKey]modelAvailability
}

// answerKeeps is how long the answer to a question is given again without asking
// control: as long as a request waits before it asks again.
const availabilityTTL = modelRequestInterval / 2

// maxAnswers bounds the answers kept; callers choose the names.
const maxCachedAvailability = 4096

type modelRequestCall struct {
	done   chan struct{}
	result modelAvailability
}

// wantAnswer is what control says: the engine that holds what was asked for, or
// when one is expected to.
type modelAvailability struct {
	endpoint string
	readyIn  time.Duration
	// at is when it was given.
	at time.Duration
}

func (m *modelRequests) do(ctx context.Context, g *Gateway, k modelRequestKey, service string) modelAvailability {
	m.mu.Lock()
	if a, ok := m.cached[k]; ok && g.clock()-a.at < availabilityTTL {
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
	err := g.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Fleet.Want(ctx, connect.NewRequest(&wire.WantRequest{Service: service, Model: k.model, Adapter: k.adapter, More: k.more}))
		if err == nil {
			c.result = modelAvailability{endpoint: r.Msg.Endpoint, readyIn: time.Duration(r.Msg.ReadyInMs) * time.Millisecond}
		}
		return err
	})
	if err != nil {
		g.log.WithError(err).WithField("model", k.model).WithField("adapter", k.adapter).Warn("control did not answer a request for a model")
	}
	c.result.at = g.clock()
	m.mu.Lock()
	if m.cached == nil || len(m.cached) >= maxCachedAvailability {
		m.cached = map[modelRequestKey]modelAvailability{}
	}
	m.cached[k] = c.result
	delete(m.inFlight, k)
	m.mu.Unlock()
	close(c.done)
}
