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
const wantTimeout = 800 * time.Millisecond

// wants joins equal questions to control that are under way.
type wants struct {
	mu    sync.Mutex
	calls map[wantKey]*wantCall
	// answered are the last answers; they hold for answerKeeps.
	answered map[wantKey]wantAnswer
}

// answerKeeps is how long the answer to a question is given again without asking
// control: as long as a request waits before it asks again.
const answerKeeps = askInterval / 2

// maxAnswers bounds the answers kept; callers choose the names.
const maxAnswers = 4096

type wantCall struct {
	done   chan struct{}
	answer wantAnswer
}

// wantAnswer is what control says: the engine that holds what was asked for, or
// when one is expected to.
type wantAnswer struct {
	endpoint string
	readyIn  time.Duration
	// at is when it was given.
	at time.Duration
}

func (w *wants) ask(ctx context.Context, g *Gateway, k wantKey, service string) wantAnswer {
	w.mu.Lock()
	if a, ok := w.answered[k]; ok && g.clock()-a.at < answerKeeps {
		w.mu.Unlock()
		return a
	}
	c := w.calls[k]
	if c == nil {
		c = &wantCall{done: make(chan struct{})}
		if w.calls == nil {
			w.calls = map[wantKey]*wantCall{}
		}
		w.calls[k] = c
		go w.carryOut(g, k, service, c)
	}
	w.mu.Unlock()
	select {
	case <-c.done:
		return c.answer
	case <-ctx.Done():
		return wantAnswer{}
	}
}

func (w *wants) carryOut(g *Gateway, k wantKey, service string, c *wantCall) {
	ctx, cancel := context.WithTimeout(context.Background(), wantTimeout)
	defer cancel()
	err := g.control.Do(ctx, func(ctx context.Context, conn controlclient.Conn) error {
		r, err := conn.Fleet.Want(ctx, connect.NewRequest(&wire.WantRequest{Service: service, Model: k.model, Adapter: k.adapter, More: k.more}))
		if err == nil {
			c.answer = wantAnswer{endpoint: r.Msg.Endpoint, readyIn: time.Duration(r.Msg.ReadyInMs) * time.Millisecond}
		}
		return err
	})
	if err != nil {
		g.log.WithError(err).WithField("model", k.model).WithField("adapter", k.adapter).Warn("control did not answer a request for a model")
	}
	c.answer.at = g.clock()
	w.mu.Lock()
	if w.answered == nil || len(w.answered) >= maxAnswers {
		w.answered = map[wantKey]wantAnswer{}
	}
	w.answered[k] = c.answer
	delete(w.calls, k)
	w.mu.Unlock()
	close(c.done)
}
