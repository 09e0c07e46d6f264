package control

import (
	"context"
	"crypto/subtle"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// HeaderToken is the request header that carries a team's token.
const HeaderToken = "Parsleyramp-Token"

// operatorService serves the requests of parsleyctl.
type operatorService struct{ s *Server }

// Apply proposes a new text of the team's section. The request must carry the
// team's token.
func (o *operatorService) Apply(ctx context.Context, req *connect.Request[wire.ApplyRequest]) (*connect.Response[wire.ApplyResponse], error) {
	m := req.Msg
	if err := o.s.authorize(m.Team, req.Header().Get(HeaderToken)); err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	if m.OrderId == "" {
		return nil, o.s.node.RPCError(ctx, fail.New(fail.BadRequest, "the request to apply a section has no order_id"))
	}
	if _, err := desired.ParseSection(m.Text); err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	r, err := o.s.propose(ctx, &wire.Command{Body: &wire.Command_ApplySection{ApplySection: &wire.ApplySection{
		Team: m.Team, BaseRevision: m.BaseRevision, OrderId: m.OrderId, Text: m.Text,
	}}})
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	if r.Full {
		return nil, o.s.node.RPCError(ctx, fail.New(fail.Overloaded, r.Reason).WithRetryAfter(fullRetryAfter))
	}
	return connect.NewResponse(&wire.ApplyResponse{Record: r.Apply}), nil
}

// authorize returns an error unless the token is the one of the team.
func (s *Server) authorize(team, token string) error {
	expected, ok := s.cfg.TeamTokens[team]
	if !ok || subtle.ConstantTimeCompare([]byte(expected.Reveal()), []byte(token)) != 1 {
		return fail.New(fail.Unauthorized, "the token does not authorize a change of the section of team "+team)
	}
	return nil
}

// GetSection returns a team's last accepted section.
func (o *operatorService) GetSection(ctx context.Context, req *connect.Request[wire.GetSectionRequest]) (*connect.Response[wire.GetSectionResponse], error) {
	resp := &wire.GetSectionResponse{}
	err := o.s.node.Read(ctx, func(_ replica.Leadership, m *state.Machine) { resp.Section = m.Section(req.Msg.Team) })
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

// Members lists the replicas, entries, endpoints, residents and open orders.
func (o *operatorService) Members(ctx context.Context, _ *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error) {
	status, err := o.s.node.Status(ctx)
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	resp := &wire.MembersResponse{Leader: status.Leader, Term: status.Term, Commit: status.Commit, Membership: status.Membership}
	err = o.s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
		o.s.leases.enterTerm(l.Term, l.Now)
		view := o.s.leases.view(m)
		resp.Entries, resp.Endpoints, resp.Residents = view.Entries, view.Endpoints, view.Residents
		resp.Orders = m.Orders()
	})
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

// ReplaceReplica adds a replica as a learner, waits until it has caught up,
// promotes it to voter and removes the old replica. Each step changes one voter
// at most, and a repeated call continues where an earlier one stopped.
func (o *operatorService) ReplaceReplica(ctx context.Context, req *connect.Request[wire.ReplaceReplicaRequest]) (*connect.Response[wire.ReplaceReplicaResponse], error) {
	m, err := o.s.replaceReplica(ctx, req.Msg)
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.ReplaceReplicaResponse{Membership: m}), nil
}

// DrainEntry removes an entry from the entries that clients are given, until its
// next incarnation.
func (o *operatorService) DrainEntry(ctx context.Context, req *connect.Request[wire.DrainEntryRequest]) (*connect.Response[wire.DrainEntryResponse], error) {
	var e *wire.EntryVM
	err := o.s.node.Read(ctx, func(_ replica.Leadership, m *state.Machine) { e = m.Entry(req.Msg.Entry) })
	if err == nil && !e.GetLive() {
		err = fail.New(fail.UnknownRequest, "no live entry has the ID "+req.Msg.Entry)
	}
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	e.Draining = true
	r, err := o.s.propose(ctx, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: e, ExpectedRegistration: e.Registration}}})
	if err == nil && !r.Applied {
		err = fail.New(fail.Unavailable, r.Reason).WithRetryAfter(time.Second)
	}
	if err != nil {
		return nil, o.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.DrainEntryResponse{Entry: e}), nil
}
