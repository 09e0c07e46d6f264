package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// peers sends attempts to other entries.
type peers struct {
	httpClient   connect.HTTPClient
	mu           sync.Mutex
	entryClients map[string]wireconnect.EntryServiceClient
}

func newPeers(client connect.HTTPClient) *peers {
	return &peers{httpClient: client, entryClients: map[string]wireconnect.EntryServiceClient{}}
}

func (p *peers) entryClient(address string) wireconnect.EntryServiceClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.entryClients[address]
	if !ok {
		c = wireconnect.NewEntryServiceClient(p.httpClient, "http://"+address)
		p.entryClients[address] = c
	}
	return c
}

// forward runs an attempt at its owner. If the owner cannot be dialed, the attempt
// did not run; any later connection failure leaves the outcome unknown.
func (p *peers) forward(ctx context.Context, address string, r *wire.ForwardRequest, out eventSink) error {
	req := connect.NewRequest(r)
	telemetry.Inject(ctx, req.Header())
	stream, err := p.entryClient(address).Forward(ctx, req)
	if err != nil {
		return streamError(err)
	}
	defer stream.Close()
	for stream.Receive() {
		e := stream.Msg()
		if rejection := e.GetRefusal(); rejection != nil {
			return fromRejection(rejection)
		}
		if err := out(e); err != nil {
			return err
		}
		if e.GetEnd() != nil {
			return nil
		}
	}
	return streamError(stream.Err())
}

// streamError returns the failure of a stream that ended without an end event.
// Only a failed dial proves that the owner never received the attempt.
func streamError(err error) error {
	f, _ := rpcerror.FromConnect(err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return f.WithRan(fail.RanNo)
	}
	// Only a refusal event carries the outcome that the owner determined, whatever
	// outcome a connect error contains.
	return f.WithRan(fail.RanUnknown)
}

var ranToWire = map[fail.Ran]wire.Ran{fail.RanNo: wire.Ran_RAN_NO, fail.RanYes: wire.Ran_RAN_YES, fail.RanUnknown: wire.Ran_RAN_UNKNOWN}

func toRejection(err error) *wire.ForwardRefusal {
	f := fail.From(err)
	return &wire.ForwardRefusal{Code: string(f.Code), Message: f.Error(), Ran: ranToWire[f.Ran], RetryAfterMs: f.RetryAfter.Milliseconds()}
}

func fromRejection(r *wire.ForwardRefusal) *fail.Error {
	ran := fail.RanUnknown
	for k, v := range ranToWire {
		if v == r.Ran {
			ran = k
		}
	}
	return fail.New(fail.Code(r.Code), r.Message).WithRan(ran).WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
}

// peerService runs attempts that other entries forward to this owner.
type peerService struct {
	owner *owner
	// serving ends when this entry must not run attempts any longer.
	serving context.Context
}

// Forward runs one attempt on an endpoint that this entry owns.
func (p *peerService) Forward(ctx context.Context, req *connect.Request[wire.ForwardRequest], stream *connect.ServerStream[wire.ForwardEvent]) error {
	ctx, cancel := endingWith(telemetry.Extract(ctx, req.Header()), p.serving)
	defer cancel()
	err := p.owner.run(ctx, req.Msg, stream.Send)
	if err != nil {
		rejection := toRejection(shutdownError(ctx, fail.From(err)))
		return stream.Send(&wire.ForwardEvent{Body: &wire.ForwardEvent_Refusal{Refusal: rejection}})
	}
	return nil
}
