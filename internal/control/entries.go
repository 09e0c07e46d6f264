package control

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// entryService answers entries. Every method works on the leader alone.
type entryService struct{ s *Server }

// Heartbeat renews the entry's lease and hands it a newer view where there is
// one. The lease is granted only while the leader lease holds.
func (e *entryService) Heartbeat(ctx context.Context, req *connect.Request[wire.HeartbeatRequest]) (*connect.Response[wire.HeartbeatResponse], error) {
	s, m := e.s, req.Msg
	if err := s.register(ctx, m.Entry); err != nil {
		return nil, s.rpcError(ctx, err)
	}
	s.placing.addDemand(m.Demand)
	resp := &wire.HeartbeatResponse{LeaseMs: s.cfg.EntryLease.D().Milliseconds()}
	err := s.node.Read(ctx, func(l replica.Leadership, machine *state.Machine) {
		s.leases.enterTerm(l.Term, l.Now)
		s.leases.heartbeat(m, l.Now)
		resp.Term = l.Term
		if m.ViewRevision != machine.ViewRevision() {
			resp.View = machine.View()
		}
		resp.Deferred = deferredFor(machine, m)
	})
	if err != nil {
		return nil, s.rpcError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

// register records the entry where what it says of itself is new.
func (s *Server) register(ctx context.Context, entry *wire.EntryVM) error {
	entry = proto.Clone(entry).(*wire.EntryVM)
	entry.Live = true
	known := false
	err := s.node.Read(ctx, func(_ replica.Leadership, machine *state.Machine) {
		known = machine.HasEntry(entry)
	})
	if err != nil || known {
		return err
	}
	_, err = s.propose(ctx, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: entry}}})
	return err
}

// deferredFor returns the overnight work that the entry is to run and does
// not know of yet.
func deferredFor(machine *state.Machine, m *wire.HeartbeatRequest) []*wire.DeferredRequest {
	known := map[string]bool{}
	for _, k := range m.KnownDeferred {
		known[k] = true
	}
	var out []*wire.DeferredRequest
	for _, d := range machine.DeferredWork() {
		mine := d.RunnerEntry == m.Entry.GetId() && d.RunnerIncarnation == m.Entry.GetIncarnation()
		if mine && d.State == wire.DeferredState_DEFERRED_STATE_RUNNING && !known[d.Key()] {
			out = append(out, d)
		}
	}
	return out
}

// BeginClaim asks whether a non-idempotent request may run.
func (e *entryService) BeginClaim(ctx context.Context, req *connect.Request[wire.BeginClaim]) (*connect.Response[wire.BeginClaimResponse], error) {
	r, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_BeginClaim{BeginClaim: req.Msg}})
	if err != nil {
		return nil, e.s.rpcError(ctx, err)
	}
	return connect.NewResponse(&wire.BeginClaimResponse{Granted: r.Applied, Claim: r.Claim}), nil
}

// FinishClaim records the outcome of a claimed request.
func (e *entryService) FinishClaim(ctx context.Context, req *connect.Request[wire.FinishClaim]) (*connect.Response[wire.FinishClaimResponse], error) {
	r, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: req.Msg}})
	if err != nil {
		return nil, e.s.rpcError(ctx, err)
	}
	return connect.NewResponse(&wire.FinishClaimResponse{Recorded: r.Applied}), nil
}

// SubmitDeferred accepts overnight work durably.
func (e *entryService) SubmitDeferred(ctx context.Context, req *connect.Request[wire.SubmitDeferred]) (*connect.Response[wire.SubmitDeferredResponse], error) {
	r, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_SubmitDeferred{SubmitDeferred: req.Msg}})
	if err != nil {
		return nil, e.s.rpcError(ctx, err)
	}
	return connect.NewResponse(&wire.SubmitDeferredResponse{Request: r.Deferred}), nil
}

// FetchDeferred returns an overnight request with its answer, where finished.
func (e *entryService) FetchDeferred(ctx context.Context, req *connect.Request[wire.FetchDeferredRequest]) (*connect.Response[wire.FetchDeferredResponse], error) {
	resp := &wire.FetchDeferredResponse{}
	err := e.s.node.Read(ctx, func(_ replica.Leadership, machine *state.Machine) {
		resp.Request = machine.Deferred(req.Msg.Id)
	})
	if err != nil {
		return nil, e.s.rpcError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

// FinishDeferred records the answer of an overnight request.
func (e *entryService) FinishDeferred(ctx context.Context, req *connect.Request[wire.FinishDeferred]) (*connect.Response[wire.FinishDeferredResponse], error) {
	r, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_FinishDeferred{FinishDeferred: req.Msg}})
	if err != nil {
		return nil, e.s.rpcError(ctx, err)
	}
	return connect.NewResponse(&wire.FinishDeferredResponse{Recorded: r.Applied}), nil
}

// ReportCrash makes the requests in flight at a crash suspects.
func (e *entryService) ReportCrash(ctx context.Context, req *connect.Request[wire.ReportCrash]) (*connect.Response[wire.ReportCrashResponse], error) {
	_, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_ReportCrash{ReportCrash: req.Msg}})
	if err != nil {
		return nil, e.s.rpcError(ctx, err)
	}
	return connect.NewResponse(&wire.ReportCrashResponse{}), nil
}

// ClearSuspect ends the suspicion of a request that completed.
func (e *entryService) ClearSuspect(ctx context.Context, req *connect.Request[wire.ClearSuspect]) (*connect.Response[wire.ClearSuspectResponse], error) {
	_, err := e.s.propose(ctx, &wire.Command{Body: &wire.Command_ClearSuspect{ClearSuspect: req.Msg}})
	if err != nil {
		return nil, e.s.rpcError(ctx, err)
	}
	return connect.NewResponse(&wire.ClearSuspectResponse{}), nil
}
