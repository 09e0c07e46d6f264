package fleetcontrol

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/prefill"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// fleetService is the RPC service for gateways, and for replicas that join the
// group.
type fleetService struct{ s *Server }

var errNotLeading = fail.New(fail.NotLeader, "this replica does not lead")

// leader returns the state of this replica as the leader, or the error of a call that only
// the leader serves.
func (f *fleetService) leader(ctx context.Context) (*leaderState, error) {
	if _, ok := f.s.leadingTerm(ctx); ok {
		if l := f.s.leader.Load(); l != nil {
			return l, nil
		}
	}
	return nil, f.s.node.RPCError(ctx, errNotLeading)
}

// Sync ingests a gateway's report and returns what has changed since the view and
// the document that the gateway has.
func (f *fleetService) Sync(ctx context.Context, req *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	l, err := f.leader(ctx)
	if err != nil {
		return nil, err
	}
	sendsDocument := l.sendsDocument(req.Msg)
	l.contactQuotas(req.Msg, l.s.clock())
	resp := l.sync(req.Msg)
	resp.FingerprintKey = quarantine.NewKey(f.s.group.Name())
	if !sendsDocument {
		return connect.NewResponse(resp), nil
	}
	err = f.s.node.ReadStale(ctx, func(m *state.Machine) {
		if d := m.Document(); d.GetVersion() > req.Msg.DocumentVersion {
			resp.Document = d
		}
	})
	if err != nil {
		return nil, f.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(resp), nil
}

// sync ingests a gateway's report and returns the response without the document.
func (l *leaderState) sync(r *wire.SyncRequest) *wire.SyncResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.s.clock()
	g := l.gateways[r.Gateway.GetId()]
	changed := !proto.Equal(g.description(), r.Gateway)
	if g == nil {
		g = &gatewayState{}
		l.gateways[r.Gateway.GetId()] = g
		l.s.log.WithFields(logrus.Fields{"gateway": r.Gateway.GetId(), "address": r.Gateway.GetCallerAddress(), "incarnation": r.Gateway.GetIncarnation()}).Info("gateway connected")
	}
	l.addLoads(g.loads, -1)
	g.gateway, g.lastReport, g.loads = r.Gateway, now, r.Loads
	l.addLoads(g.loads, 1)
	l.recordDocumentVersion(g, r.DocumentVersion, now)
	l.ingestSuspects(r, now)
	l.ingestLimits(r, now)
	l.ingestLeaving(r)
	l.countGranted(r.Gateway.GetId(), now)
	l.detector.ingest(r.Gateway.GetId(), r.Gateway.GetDomain(), r.Loads, now)
	l.ingestUse(r, now)
	l.ingestSpeeds(r.Loads, now)
	for _, d := range r.Demand {
		if l.declaresModel(d.Model) {
			l.demand.Record(requestsOf(d), now)
		}
	}
	if changed {
		l.publish(now)
	}
	known := uint64(0)
	if r.ViewTerm == l.term {
		known = r.ViewRevision
	}
	resp := &wire.SyncResponse{Term: l.term, Leadership: l.leadership, View: l.published.changesSince(l.term, known), PauseMs: syncPauseMS(len(l.gateways))}
	l.setSuspects(resp, r.SuspectsRevision)
	l.setPeerState(resp, g, now)
	resp.WorkspaceExcess = l.workspaceExcess(now)
	return resp
}

// ingestSpeeds records how long responses and their first bytes took. l.mu must be held.
func (l *leaderState) ingestSpeeds(loads []*wire.InProgress, now time.Duration) {
	for _, x := range loads {
		if e := l.engines[x.Endpoint]; e != nil {
			first := prefill.Responses{Count: int(x.FirstCount), Took: time.Duration(x.FirstTookMs) * time.Millisecond, Tokens: x.FirstTokens}
			l.prefill.Record(e.listed.Service, x.Endpoint, first, now)
			ended := prefill.Latencies{Count: int(x.Served + x.Failed), Took: time.Duration(x.TookMs) * time.Millisecond, Expected: time.Duration(x.ExpectedMs) * time.Millisecond}
			l.slowness.Record(e.listed.Service, x.Endpoint, ended, now)
		}
	}
}

// ingestLeaving records the endpoints whose responses have stated that they are about to end.
// l.mu must be held.
func (l *leaderState) ingestLeaving(r *wire.SyncRequest) {
	for _, id := range r.Leaving {
		e := l.engines[id]
		if e == nil || e.leaving() {
			continue
		}
		e.statesLeaving = true
		l.s.log.WithFields(logrus.Fields{"endpoint": id, "gateway": r.Gateway.GetId(), "term": l.term}).Info("endpoint states that it is about to end")
		l.publishEngine(e)
		l.triggerStep()
	}
}

// maxSyncsPerSecond bounds the Sync calls of all gateways together, and so the
// leader's CPU time and network traffic, independently of the number of gateways.
const maxSyncsPerSecond = 800

// syncPauseMS returns how long a gateway must wait before its next Sync call, in
// milliseconds.
func syncPauseMS(gateways int) uint32 { return uint32(1000 * gateways / maxSyncsPerSecond) }

// description returns the gateway's last description of itself, or nil if the
// gateway is new.
func (g *gatewayState) description() *wire.Gateway {
	if g == nil {
		return nil
	}
	return g.gateway
}

// dropLostGateways drops gateways that have not reported within gatewayTimeout,
// and subtracts their loads. l.mu must be held.
func (l *leaderState) dropLostGateways(now time.Duration) {
	for id, g := range l.gateways {
		if now-g.lastReport > gatewayTimeout {
			l.addLoads(g.loads, -1)
			delete(l.gateways, id)
			if !g.gateway.GetAccepting() {
				l.endQuotas(id, now)
			}
			l.s.log.WithField("gateway", id).Warn("gateway dropped: no report within the time-out")
		}
	}
}

// addLoads adds the loads of a gateway to the totals, or subtracts them if sign is -1.
// l.mu must be held.
func (l *leaderState) addLoads(loads []*wire.InProgress, sign int) {
	for _, x := range loads {
		total := l.loads[x.Endpoint]
		if total == nil {
			total = &wire.InProgress{Endpoint: x.Endpoint}
			l.loads[x.Endpoint] = total
		}
		total.Running += uint32(sign) * x.Running
		total.Tokens += uint64(sign) * x.Tokens
		total.UnreadTokens += uint64(sign) * x.UnreadTokens
		if total.Running == 0 {
			delete(l.loads, x.Endpoint)
			total = nil
		}
		if l.counts != nil {
			l.counts.set(x.Endpoint, total)
		}
	}
}

// Want requests a model or adapter that no endpoint in the gateway's view holds,
// or an additional holder of an adapter.
func (f *fleetService) Want(ctx context.Context, req *connect.Request[wire.WantRequest]) (*connect.Response[wire.WantResponse], error) {
	l := f.s.leader.Load()
	if l == nil {
		return nil, f.s.node.RPCError(ctx, errNotLeading)
	}
	m := req.Msg
	resp := &wire.WantResponse{}
	l.mu.Lock()
	declared := l.declaresModel(m.Model)
	l.mu.Unlock()
	if !declared {
		return connect.NewResponse(resp), nil
	}
	if m.Adapter != "" {
		resp.Endpoint = l.ensureAdapter(ctx, adapterRequest{service: m.Service, adapterName: adapterName{m.Model, m.Adapter}, additional: m.More, version: m.Version})
	}
	if resp.Endpoint == "" {
		l.mu.Lock()
		l.requestModel(m.Model, m.Version)
		now := l.s.clock()
		l.recordWait(m.Model, fromMilliseconds(uint64(m.TargetMs)), now)
		ready := l.timeToReady(m.Service, m.Model, m.Version)
		if ready == 0 && m.Version == "" {
			ready = l.timeToPatientLoad(m.Service, m.Model, now)
		}
		resp.ReadyInMs = uint32(ready.Milliseconds())
		l.mu.Unlock()
		l.triggerStep()
	}
	return connect.NewResponse(resp), nil
}

// Join admits a replica to the group as a learner.
func (f *fleetService) Join(ctx context.Context, req *connect.Request[wire.JoinRequest]) (*connect.Response[wire.JoinResponse], error) {
	if _, ok := f.s.leadingTerm(ctx); !ok {
		return nil, f.s.node.RPCError(ctx, errNotLeading)
	}
	if err := f.s.admit(ctx, req.Msg); err != nil {
		return nil, f.s.node.RPCError(ctx, err)
	}
	return connect.NewResponse(&wire.JoinResponse{}), nil
}
