package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wire"
)

const stateTimeout = 500 * time.Millisecond

// meetEngines reads every engine's state and records new incarnations and
// which engines can be reached.
func (s *Server) meetEngines(ctx context.Context, p *picture) {
	var wg sync.WaitGroup
	for _, e := range p.view.Endpoints {
		if e.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		wg.Go(func() { s.meetEngine(ctx, e) })
	}
	wg.Wait()
}

func (s *Server) meetEngine(ctx context.Context, e *wire.Endpoint) {
	readCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	st, err := s.engines.State(readCtx, e.Address)
	cancel()
	if reachable := err == nil; reachable != e.Reachable {
		changed := proto.Clone(e).(*wire.Endpoint)
		changed.Reachable = reachable
		s.try(ctx, &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: changed}}}, "engine reachability")
	}
	if err != nil || st.Incarnation == e.Incarnation {
		return
	}
	s.log.WithFields(logrus.Fields{"engine": e.Id, "incarnation": st.Incarnation}).Info("engine met")
	s.try(ctx, &wire.Command{Body: &wire.Command_ResetEngine{ResetEngine: &wire.ResetEngine{
		Id: e.Id, Incarnation: st.Incarnation, MemoryBytes: st.MemoryBytes, Slots: uint32(st.Slots),
	}}}, "engine restarted")
}

// orderSender sends recorded orders, one at a time to each engine, until
// their outcome is proved.
type orderSender struct {
	s       *Server
	mu      sync.Mutex
	sending map[string]bool
}

func newOrderSender(s *Server) *orderSender {
	return &orderSender{s: s, sending: map[string]bool{}}
}

// orderTimeout bounds one sending of an order, with the load that it waits for.
const orderTimeout = 60 * time.Second

// resume sends every open order that is not being sent already.
func (o *orderSender) resume(p *picture) {
	addresses := map[string]*wire.Endpoint{}
	for _, e := range p.view.Endpoints {
		addresses[e.Id] = e
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range p.orders {
		e := addresses[order.Endpoint]
		if e == nil || o.sending[e.Id] || order.Incarnation != e.Incarnation {
			continue
		}
		o.sending[e.Id] = true
		go o.send(e, order)
	}
}

// send gives the order once and records what it proves. The order is sent
// again by a later resume where it proves nothing.
func (o *orderSender) send(e *wire.Endpoint, order *wire.Order) {
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.sending, e.Id)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	result, err := o.s.engines.Order(ctx, e.Address, wireOrder(order))
	log := o.s.log.WithFields(logrus.Fields{"engine": e.Id, "fence_term": order.FenceTerm, "fence_sequence": order.FenceSequence})
	if err != nil {
		log.WithError(err).Warn("order not answered; it stays open")
		return
	}
	if !result.Done {
		log.WithField("reason", result.Reason).Warn("order not done; it stays open")
		return
	}
	o.s.try(ctx, &wire.Command{Body: &wire.Command_ResolveOrder{ResolveOrder: &wire.ResolveOrder{
		Endpoint: order.Endpoint, FenceTerm: order.FenceTerm, FenceSequence: order.FenceSequence,
		Outcome: wire.OrderOutcome_ORDER_OUTCOME_DONE,
	}}}, "order done")
}

func wireOrder(o *wire.Order) endpoint.Order {
	kind := endpoint.OrderLoad
	if o.Kind == wire.OrderKind_ORDER_KIND_UNLOAD {
		kind = endpoint.OrderUnload
	}
	return endpoint.Order{
		FenceTerm: o.FenceTerm, FenceSequence: o.FenceSequence, Kind: kind, Model: o.Model, Version: o.Version,
		Adapter: o.Adapter, MemoryBytes: o.MemoryBytes, Incarnation: o.Incarnation,
	}
}
