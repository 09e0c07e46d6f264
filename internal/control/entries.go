package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// entryService serves the requests of entries. All methods work on the leader
// only.
type entryService struct{ s *Server }

// maxRegistrationAttempts bounds the registrations that one heartbeat proposes.
const maxRegistrationAttempts = 3

// Heartbeat renews the entry's lease and returns the changes that the entry's view
// lacks. The lease is granted only while the leader lease is valid.
func (e *entryService) Heartbeat(ctx context.Context, req *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatResponse], error) {
	e.s.planner.addDemand(req.Msg.Demand)
	resp, err := e.s.heartbeat(ctx, req.Msg)
	if err != nil {
		return nil, e.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

func (s *Server) heartbeat(ctx context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	if r.Entry.GetId() == "" || r.Entry.GetIncarnation() == "" {
		return nil, fail.New(fail.BadRequest, "the heartbeat has no entry ID or no incarnation")
	}
	if r.Released {
		return s.release(ctx, r.Entry)
	}
	for range maxRegistrationAttempts {
		var resp *wire.HeartbeatResponse
		var register *wire.SetEntry
		var term uint64
		var rejection error
		err := s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
			term = l.Term
			s.leases.enterTerm(l.Term, l.Now)
			if resp, register, rejection = s.leases.renew(m, r, s.cfg.EntryLease.D(), l.Now); resp != nil {
				resp.Deferred = newDeferred(m, r)
			}
		})
		if err != nil {
			return nil, err
		}
		if rejection != nil || resp != nil {
			return resp, rejection
		}
		if _, err := s.node.ProposeInTerm(ctx, term, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: register}}); err != nil {
			return nil, err
		}
	}
	return nil, fail.New(fail.Unavailable, "the entry's registration changed during every attempt to grant its lease").WithRetryAfter(time.Second)
}

// release records as not live an entry that has given up its lease.
func (s *Server) release(ctx context.Context, entry *wire.EntryVM) (*wire.HeartbeatResponse, error) {
	var released *wire.EntryVM
	err := s.node.Read(ctx, func(_ replica.Leadership, m *state.Machine) { released = m.Entry(entry.Id) })
	if err != nil || released.GetIncarnation() != entry.Incarnation {
		return &wire.HeartbeatResponse{}, err
	}
	released.Live = false
	_, err = s.propose(ctx, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{
		Entry: released, ExpectedRegistration: released.Registration,
	}}})
	return &wire.HeartbeatResponse{}, err
}

// newDeferred returns the deferred requests that are assigned to the entry and
// that it does not know yet.
func newDeferred(machine *state.Machine, m *wire.HeartbeatRequest) []*wire.DeferredRequest {
	known := map[string]bool{}
	for _, k := range m.KnownDeferred {
		known[k] = true
	}
	var out []*wire.DeferredRequest
	for _, d := range machine.UnfinishedDeferred() {
		assigned := d.RunnerEntry == m.Entry.GetId() && d.RunnerIncarnation == m.Entry.GetIncarnation()
		if assigned && d.State == wire.DeferredState_DEFERRED_STATE_RUNNING && !known[d.Key()] {
			out = append(out, d)
		}
	}
	return out
}

// maxRecordedBytes bounds one request or response body in the replicated state.
const maxRecordedBytes = 256 << 10

// fullRetryAfter is the Retry-After while the store of claims, deferred requests
// or applied changes is full.
const fullRetryAfter = time.Minute

// BeginClaim claims a non-idempotent request, so that it runs at most once.
func (e *entryService) BeginClaim(ctx context.Context, req *connect.Request[wire.BeginClaim]) (*connect.Response[wire.BeginClaimResponse], error) {
	req.Msg.MaxClaims = e.s.cfg.MaxClaims
	r, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_BeginClaim{BeginClaim: req.Msg}})
	switch {
	case err != nil:
	case r.Full:
		err = fail.New(fail.Overloaded, r.Reason).WithRetryAfter(fullRetryAfter)
	case r.HolderNotLive:
		err = fail.New(fail.NoLease, "the entry is not registered as live").WithRetryAfter(time.Second)
	}
	if err != nil {
		return nil, e.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.BeginClaimResponse{Granted: r.Applied, Claim: r.Claim}), nil
}

// FinishClaim records the outcome of a claimed request.
func (e *entryService) FinishClaim(ctx context.Context, req *connect.Request[wire.FinishClaim]) (*connect.Response[wire.FinishClaimResponse], error) {
	req.Msg.MaxAnswerBytes = e.s.cfg.ClaimAnswerBytes
	if a := req.Msg.Answer; len(a.GetBody()) > maxRecordedBytes {
		a.Body, a.Dropped = nil, true
	}
	r, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: req.Msg}})
	if err != nil {
		return nil, e.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.FinishClaimResponse{Recorded: r.Applied}), nil
}

// SubmitDeferred stores a deferred request durably.
func (e *entryService) SubmitDeferred(ctx context.Context, req *connect.Request[wire.SubmitDeferred]) (*connect.Response[wire.SubmitDeferredResponse], error) {
	s := e.s
	if len(req.Msg.Request.GetBody()) > maxRecordedBytes {
		return nil, s.node.RPCError(ctx, fail.New(fail.BodyTooLarge, fmt.Sprintf("the body of a deferred request exceeds the limit of %d bytes", maxRecordedBytes)))
	}
	req.Msg.LimitBytes, req.Msg.ReserveBytes = s.cfg.DeferredBytes, s.cfg.DeferredReserveBytes
	r, err := s.propose(ctx, &wire.Command{Body: &wire.Command_SubmitDeferred{SubmitDeferred: req.Msg}})
	switch {
	case err != nil:
	case r.Full:
		err = fail.New(fail.Overloaded, r.Reason).WithRetryAfter(s.deferredRetryAfter(ctx))
	case !r.Applied:
		err = fail.New(fail.KeyReused, r.Reason)
	}
	if err != nil {
		return nil, s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.SubmitDeferredResponse{Request: r.Deferred}), nil
}

// deferredRetryAfter returns the time until the deferred request with the
// earliest deadline is dropped, but at least fullRetryAfter.
func (s *Server) deferredRetryAfter(ctx context.Context) time.Duration {
	var earliest int64
	err := s.node.Read(ctx, func(_ replica.Leadership, m *state.Machine) { earliest = m.EarliestFinishBy() })
	if err != nil || earliest == 0 {
		return fullRetryAfter
	}
	return max(fullRetryAfter, time.Until(time.UnixMilli(earliest).Add(s.cfg.DeferredRetention.D())))
}

// FetchDeferred returns a deferred request, with its response if it has finished.
func (e *entryService) FetchDeferred(ctx context.Context, req *connect.Request[wire.FetchDeferredRequest]) (*connect.Response[wire.FetchDeferredResponse], error) {
	resp := &wire.FetchDeferredResponse{}
	err := e.s.node.Read(ctx, func(_ replica.Leadership, machine *state.Machine) {
		resp.Request = machine.Deferred(req.Msg.Id)
	})
	if err != nil {
		return nil, e.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

// FinishDeferred records the response of a deferred request.
func (e *entryService) FinishDeferred(ctx context.Context, req *connect.Request[wire.FinishDeferred]) (*connect.Response[wire.FinishDeferredResponse], error) {
	req.Msg.LimitBytes, req.Msg.ReserveBytes = e.s.cfg.DeferredBytes, e.s.cfg.DeferredReserveBytes
	if len(req.Msg.Answer.GetBody()) > maxRecordedBytes {
		req.Msg.State, req.Msg.Answer = wire.DeferredState_DEFERRED_STATE_FAILED, nil
		req.Msg.Failure = fmt.Sprintf("the answer has more than %d bytes", maxRecordedBytes)
	}
	r, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_FinishDeferred{FinishDeferred: req.Msg}})
	if err != nil {
		return nil, e.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.FinishDeferredResponse{Recorded: r.Applied}), nil
}

// ReportCrash records the requests that were in flight at a crash as suspects.
func (e *entryService) ReportCrash(ctx context.Context, req *connect.Request[wire.ReportCrash]) (*connect.Response[wire.ReportCrashResponse], error) {
	e.s.probes.trigger(req.Msg.Endpoint)
	_, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_ReportCrash{ReportCrash: req.Msg}})
	if err != nil {
		return nil, e.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.ReportCrashResponse{}), nil
}

// CheckSuspect returns the state of a suspect and whether every entry has
// applied the view that lists it.
func (e *entryService) CheckSuspect(ctx context.Context, req *connect.Request[wire.CheckSuspectRequest]) (*connect.Response[wire.CheckSuspectResponse], error) {
	s := e.s
	resp := &wire.CheckSuspectResponse{KnownEverywhere: true}
	err := s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
		suspect := m.Suspect(req.Msg.Fingerprint)
		if suspect == nil {
			return
		}
		s.leases.enterTerm(l.Term, l.Now)
		resp.State = suspect.State
		resp.KnownEverywhere = len(s.leases.lagging(m.Entries(), suspect.LogIndex, s.cfg.EntryLease.D(), l.Now)) == 0
	})
	if err != nil {
		return nil, s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

// ClearSuspect removes the suspect record of a request that completed.
func (e *entryService) ClearSuspect(ctx context.Context, req *connect.Request[wire.ClearSuspect]) (*connect.Response[wire.ClearSuspectResponse], error) {
	_, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_ClearSuspect{ClearSuspect: req.Msg}})
	if err != nil {
		return nil, e.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.ClearSuspectResponse{}), nil
}
