package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/orders"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/state"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// orderTimeout bounds one send of an order, including the load or unload that
	// the engine performs before it responds.
	orderTimeout        = 60 * time.Second
	stoppedQueryTimeout = 500 * time.Millisecond
)

// orderSender sends the recorded orders while this replica is the leader, and
// commits the outcomes that are proved.
type orderSender struct {
	s    *Server
	gate *orders.Gate
	// peers is the client for requests to former leaders.
	peers *http.Client
	// resultReady triggers a pass of the leader.
	resultReady chan struct{}
	mu          sync.Mutex
	// mu guards the fields below. termCtx ends with the term, and stop ends it.
	tracker *orders.Tracker
	term    uint64
	termCtx context.Context
	stop    context.CancelFunc
}

func newOrderSender(s *Server) *orderSender {
	cfg := orders.DefaultConfig()
	cfg.CopyLifetime = s.cfg.OrderCopyLifetime.D()
	return &orderSender{s: s, gate: orders.NewGate(), peers: transport.NewPeerClient(), resultReady: make(chan struct{}, 1), tracker: orders.NewTracker(cfg)}
}

// enterTerm cancels the sends of every other term. Term zero cancels all.
func (o *orderSender) enterTerm(ctx context.Context, term uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == term {
		return
	}
	if o.stop != nil {
		o.stop()
		o.stop = nil
	}
	o.term = term
	if term != 0 {
		o.termCtx, o.stop = context.WithCancel(ctx)
	}
}

func (o *orderSender) recordState(term uint64, id string, readStart time.Duration, st *endpoint.EngineState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.RecordState(term, id, readStart, st)
}

// execute carries out the effects that the tracker derives from the snapshot.
func (o *orderSender) execute(ctx context.Context, snap *snapshot) {
	o.mu.Lock()
	effects := o.tracker.Step(o.s.clock(), snap.ordersSnapshot())
	termCtx := o.termCtx
	o.mu.Unlock()
	addresses := map[string]string{}
	for _, e := range snap.view.Endpoints {
		addresses[e.Id] = e.Address
	}
	for _, order := range effects.Send {
		go o.send(termCtx, snap.term, addresses[order.Endpoint], order)
	}
	for _, r := range effects.Resolve {
		if o.s.proposeInTermAndLog(ctx, snap.term, &wire.Command{Body: &wire.Command_ResolveOrder{ResolveOrder: r.Command}}, "resolve order") {
			orderLog(o.s.log, r.Order).WithFields(logrus.Fields{"outcome": r.Command.Outcome.String(), "evidence": r.Evidence}).Info("order resolved")
			if r.Command.Outcome == wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN {
				o.s.health.RecordFailedOrder(r.Order.Endpoint, o.s.clock())
			}
		}
	}
	for _, c := range effects.Clear {
		o.s.proposeInTermAndLog(ctx, snap.term, &wire.Command{Body: &wire.Command_ClearCopies{ClearCopies: c}}, "clear copies of orders")
	}
	for _, missing := range effects.DrainMissing {
		if o.s.proposeInTermAndLog(ctx, snap.term, &wire.Command{Body: &wire.Command_SetResident{SetResident: missing}}, "resident lost") {
			o.s.log.WithFields(logrus.Fields{"engine": missing.Endpoint, "model": missing.Model, "version": missing.Version, "adapter": missing.Adapter}).Warn("engine no longer holds a resident")
		}
	}
	o.queryStopped(ctx, snap, effects.QueryReplicas)
}

func orderLog(log *logrus.Entry, o *wire.Order) *logrus.Entry {
	return log.WithFields(logrus.Fields{
		"engine": o.Endpoint, "kind": o.Kind.String(), "model": o.Model, "version": o.Version, "adapter": o.Adapter,
		"fence_term": o.FenceTerm, "fence_sequence": o.FenceSequence,
	})
}

// send sends the order to the engine once. The send is registered with the gate
// before the leader lease is checked, and it ends with the term.
func (o *orderSender) send(ctx context.Context, term uint64, address string, order *wire.Order) {
	var result *endpoint.OrderResult
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.tracker.RecordResult(o.s.clock(), term, order, result)
		select {
		case o.resultReady <- struct{}{}:
		default:
		}
	}()
	if !o.gate.Begin(term) {
		return
	}
	defer o.gate.End(term)
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	leads := false
	err := o.s.node.Read(ctx, func(l replica.Leadership, _ *state.Machine) { leads = l.Term == term })
	if err != nil || !leads {
		return
	}
	r, err := o.s.engines.Order(ctx, address, engineOrder(order))
	log := orderLog(o.s.log, order)
	switch {
	case err != nil:
		log.WithError(err).Warn("no response to the order; it stays open")
	case !r.Done:
		log.WithField("reason", r.Reason).Warn("engine rejected the order; it stays open")
		result = r
	default:
		result = r
	}
}

func engineOrder(o *wire.Order) endpoint.Order {
	kind := endpoint.OrderLoad
	if o.Kind == wire.OrderKind_ORDER_KIND_UNLOAD {
		kind = endpoint.OrderUnload
	}
	return endpoint.Order{
		FenceTerm: o.FenceTerm, FenceSequence: o.FenceSequence, Kind: kind, Model: o.Model, Version: o.Version,
		Adapter: o.Adapter, MemoryBytes: o.MemoryBytes, Incarnation: o.Incarnation,
	}
}

// queryStopped asks former leaders whether they have stopped sending orders.
func (o *orderSender) queryStopped(ctx context.Context, snap *snapshot, replicas []uint64) {
	for _, id := range replicas {
		if id == o.s.node.Identity().ID {
			if o.gate.Fence(snap.term) == 0 {
				o.recordStopped(snap.term, id)
			}
			continue
		}
		for _, r := range snap.members {
			if r.Id == id {
				go o.queryReplica(ctx, snap.term, r)
			}
		}
	}
}

func (o *orderSender) queryReplica(ctx context.Context, term uint64, r *wire.Replica) {
	ctx, cancel := context.WithTimeout(ctx, stoppedQueryTimeout)
	defer cancel()
	client := wireconnect.NewSenderServiceClient(o.peers, "http://"+r.Address)
	resp, err := client.Quiet(ctx, connect.NewRequest(&wire.QuietRequest{Group: o.s.group.Name(), Term: term}))
	if err == nil && resp.Msg.Replica == r.Id && resp.Msg.Sending == 0 {
		o.recordStopped(term, r.Id)
	}
}

func (o *orderSender) recordStopped(term, replica uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.RecordStopped(o.s.clock(), term, replica)
}

// senderService reports the orders of earlier terms that this replica is still
// sending.
type senderService struct{ s *Server }

// Quiet blocks new sends of earlier terms and returns the number of their sends
// in flight.
func (q *senderService) Quiet(_ context.Context, req *connect.Request[wire.QuietRequest]) (*connect.Response[wire.QuietResponse], error) {
	if group := q.s.group.Name(); group == "" || req.Msg.Group != group {
		return nil, rpcerror.ToConnect(fail.New(fail.ForeignFolder, "the replica belongs to another group"), "")
	}
	return connect.NewResponse(&wire.QuietResponse{
		Replica: q.s.node.Identity().ID, Sending: uint32(q.s.orders.gate.Fence(req.Msg.Term)),
	}), nil
}

// startTerm reports whether the state records that this replica sends orders in
// the term, and proposes that record otherwise. No order is sent before.
func (s *Server) startTerm(ctx context.Context, snap *snapshot) bool {
	if n := len(snap.sendTerms); n > 0 && snap.sendTerms[n-1].Term == snap.term {
		return true
	}
	s.proposeInTermAndLog(ctx, snap.term, &wire.Command{Body: &wire.Command_StartTerm{StartTerm: &wire.StartTerm{
		Term: &wire.SendTerm{Term: snap.term, Replica: s.node.Identity().ID},
	}}}, "start term")
	return false
}

// ordersSnapshot returns the part of the snapshot that the tracker depends on.
func (s *snapshot) ordersSnapshot() orders.Snapshot {
	out := orders.Snapshot{
		Term: s.term, Endpoints: s.view.Endpoints, Residents: s.view.Residents,
		Orders: s.orders, Copies: s.copies, SendTerms: s.sendTerms,
	}
	for _, r := range s.members {
		out.Members = append(out.Members, r.Id)
	}
	return out
}
