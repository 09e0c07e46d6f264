package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/routing"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// job is one caller's request on its way to an endpoint.
type job struct {
	id string
	// template holds everything but endpoint, owner epoch and version.
	template *wire.ForwardRequest
	// targets returns the endpoints that serve the request by a view.
	targets func(*catalog) []target
	// body returns the body to send to a target.
	body func(target) []byte
}

// dispatcher chooses endpoints and sends attempts to their owners.
type dispatcher struct {
	session *session
	owner   *owner
	peers   *peers
	max     int

	mu    sync.Mutex
	rng   *rand.Rand
	loads map[string]*wire.EndpointLoad
	// sent counts this entry's own attempts in flight to each endpoint.
	sent map[string]int
}

func newDispatcher(s *session, o *owner, p *peers, seed uint64) *dispatcher {
	return &dispatcher{
		session: s, owner: o, peers: p, max: s.cfg.MaxAttempts,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		loads: map[string]*wire.EndpointLoad{}, sent: map[string]int{},
	}
}

// run sends the job to one endpoint after another until one answers. Once the
// sink took an event, or the request may have run and must not run twice,
// there is no other attempt.
func (d *dispatcher) run(ctx context.Context, j *job, out sink) error {
	tried := map[string]bool{}
	last := fail.New(fail.NoReplica, "no endpoint serves the request now").WithRetryAfter(time.Second)
	ran := fail.RanNo
	for attempt := range d.max {
		c, err := d.session.catalog()
		if err != nil {
			return err
		}
		t, ok := d.choose(j.targets(c), tried)
		if !ok {
			break
		}
		tried[t.vm.Id] = true
		var started atomic.Bool
		err = d.attempt(ctx, c, j, t, attempt, func(e *wire.ForwardEvent) error {
			started.Store(true)
			return out(e)
		})
		if err == nil {
			return nil
		}
		last = fail.From(err)
		if last.Ran != fail.RanNo {
			ran = fail.RanUnknown
		}
		if started.Load() || ctx.Err() != nil || (last.Ran != fail.RanNo && !j.template.Idempotent) {
			break
		}
	}
	return last.WithRan(worst(last.Ran, ran))
}

// worst returns the outcome that promises less.
func worst(a, b fail.Ran) fail.Ran {
	if a == fail.RanNo {
		return b
	}
	return a
}

func (d *dispatcher) choose(targets []target, tried map[string]bool) (target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := make([]routing.Candidate, len(targets))
	for i, t := range targets {
		l := d.loads[t.vm.Id]
		candidates[i] = routing.Candidate{
			Endpoint: t.vm.Id, Owner: t.vm.Owner, Domain: t.vm.Domain, Tried: tried[t.vm.Id] || t.vm.Owner == "",
			InFlight: max(int(l.GetInFlight()), d.sent[t.vm.Id]), Queued: int(l.GetQueued()), Slots: max(1, int(t.vm.Slots)),
		}
	}
	i := routing.Choose(candidates, d.rng)
	if i < 0 {
		return target{}, false
	}
	return targets[i], true
}

// attempt sends the job to the owner of the target, which may be this entry.
func (d *dispatcher) attempt(ctx context.Context, c *catalog, j *job, t target, n int, out sink) error {
	ctx, span := telemetry.StartSpan(ctx, "attempt", attribute.String("endpoint", t.vm.Id), attribute.Int("attempt", n))
	defer span.End()
	r := &wire.ForwardRequest{
		RequestId: fmt.Sprintf("%s-%d", j.id, n), Endpoint: t.vm.Id, OwnerEpoch: t.vm.OwnerEpoch,
		Method: j.template.Method, Path: j.template.Path, ContentType: j.template.ContentType, Body: j.body(t),
		Model: j.template.Model, Version: t.version, Adapter: j.template.Adapter, Team: j.template.Team,
		Priority: j.template.Priority, FirstTokenDeadlineMs: j.template.FirstTokenDeadlineMs,
		DeadlineMs: j.template.DeadlineMs, Idempotent: j.template.Idempotent, Fingerprint: j.template.Fingerprint,
		BetweenTokensMs: j.template.BetweenTokensMs,
	}
	d.count(t.vm.Id, 1)
	defer d.count(t.vm.Id, -1)
	noted := func(e *wire.ForwardEvent) error {
		if end := e.GetEnd(); end != nil {
			d.note(t.vm.Id, end.Load)
		}
		return out(e)
	}
	if t.vm.Owner == d.session.cfg.ID {
		return d.owner.run(ctx, r, noted)
	}
	peer := c.entries[t.vm.Owner]
	if peer == nil {
		return fail.New(fail.NotOwner, "the endpoint's owner is not known")
	}
	return d.peers.forward(ctx, peer.PeerAddress, r, noted)
}

func (d *dispatcher) count(endpointID string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent[endpointID] += n
}

func (d *dispatcher) note(endpointID string, l *wire.EndpointLoad) {
	if l == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads[endpointID] = l
}

// peers sends attempts to other entries.
type peers struct {
	client connect.HTTPClient
	mu     sync.Mutex
	conns  map[string]wireconnect.EntryServiceClient
}

func newPeers(client connect.HTTPClient) *peers {
	return &peers{client: client, conns: map[string]wireconnect.EntryServiceClient{}}
}

func (p *peers) conn(address string) wireconnect.EntryServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[address]
	if !ok {
		c = wireconnect.NewEntryServiceClient(p.client, "http://"+address)
		p.conns[address] = c
	}
	return c
}

// forward runs an attempt at its owner. Where the owner cannot be asked at
// all the attempt did not run; after that a break leaves the outcome unknown.
func (p *peers) forward(ctx context.Context, address string, r *wire.ForwardRequest, out sink) error {
	req := connect.NewRequest(r)
	telemetry.Inject(ctx, req.Header())
	stream, err := p.conn(address).Forward(ctx, req)
	if err != nil {
		return brokenStream(err)
	}
	defer stream.Close()
	for stream.Receive() {
		e := stream.Msg()
		if refusal := e.GetRefusal(); refusal != nil {
			return failureOf(refusal)
		}
		if err := out(e); err != nil {
			return err
		}
		if e.GetEnd() != nil {
			return nil
		}
	}
	return brokenStream(stream.Err())
}

// brokenStream returns the failure of a stream that ended without an end
// event. Only a failed dial proves that the owner never saw the attempt.
func brokenStream(err error) error {
	f, _ := rpcerror.FromConnect(err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return f.WithRan(fail.RanNo)
	}
	return f.WithRan(fail.RanUnknown)
}

var ranToWire = map[fail.Ran]wire.Ran{fail.RanNo: wire.Ran_RAN_NO, fail.RanYes: wire.Ran_RAN_YES, fail.RanUnknown: wire.Ran_RAN_UNKNOWN}

func refusalOf(err error) *wire.ForwardRefusal {
	f := fail.From(err)
	return &wire.ForwardRefusal{Code: string(f.Code), Message: f.Error(), Ran: ranToWire[f.Ran], RetryAfterMs: f.RetryAfter.Milliseconds()}
}

func failureOf(r *wire.ForwardRefusal) *fail.Error {
	ran := fail.RanUnknown
	for k, v := range ranToWire {
		if v == r.Ran {
			ran = k
		}
	}
	return fail.New(fail.Code(r.Code), r.Message).WithRan(ran).WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// peerService runs attempts that other entries send to this owner.
type peerService struct{ owner *owner }

// Forward runs one attempt on an endpoint that this entry owns.
func (p *peerService) Forward(ctx context.Context, req *connect.Request[wire.ForwardRequest], stream *connect.ServerStream[wire.ForwardEvent]) error {
	ctx = telemetry.Extract(ctx, req.Header())
	err := p.owner.run(ctx, req.Msg, stream.Send)
	if err != nil {
		return stream.Send(&wire.ForwardEvent{Body: &wire.ForwardEvent_Refusal{Refusal: refusalOf(err)}})
	}
	return nil
}
