package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

// syncTimeout bounds one exchange with the control plane.
const syncTimeout = 1200 * time.Millisecond

// followControl keeps this gateway's document and view up to date until ctx ends.
func (g *Gateway) followControl(ctx context.Context) {
	go g.syncLoop(ctx)
	go g.watchLoop(ctx)
}

// syncLoop exchanges state with the control leader until ctx ends.
func (g *Gateway) syncLoop(ctx context.Context) {
	var lostAt time.Time
	for {
		pause, err := g.sync(ctx)
		if err != nil {
			g.loads.SetSuspects(nil, nil)
			g.excess.set(nil)
		}
		g.loads.SetStale(err != nil, len(g.knownGateways()))
		g.slots.wakeHeads()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && lostAt.IsZero():
			lostAt = time.Now()
			g.log.WithError(err).Warn("exchange with the control plane failed")
		case err == nil && !lostAt.IsZero():
			g.log.WithField("lost_for", time.Since(lostAt)).Info("exchange with the control plane succeeds again")
			lostAt = time.Time{}
		}
		if !wait.For(ctx, max(pause, g.cfg.SyncInterval.D())) {
			return
		}
	}
}

// sync reports the state of this gateway to the leader and applies the updates
// in the response. It returns the pause before the next exchange that the leader
// asks for.
func (g *Gateway) sync(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := &wire.SyncRequest{Gateway: g.self(), Loads: g.loads.Report(g.clock()), Demand: g.demand.flush(), WorkspaceUse: g.use.flush(g.clock())}
	reported := g.suspects.report(req, g.clock())
	reportedLimits := g.limits.report(req, g.clock())
	req.KnownGateways, req.AnsweredAgoMs = g.quotas.contact()
	req.DocumentVersion = g.documentVersion()
	if v := g.view.Load(); v != nil {
		req.Leaving = g.loads.LeavingUnknownTo(v, g.clock())
		req.ViewTerm, req.ViewRevision = v.Term, v.Revision
	}
	var resp *wire.SyncResponse
	var calls controlCalls
	var asked time.Duration
	err := g.control.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		started := g.clock()
		asked = g.bootClock()
		r, err := c.Fleet.Sync(ctx, connect.NewRequest(req))
		if err == nil {
			resp = r.Msg
		}
		calls.record(c.Address, g.clock()-started, err)
		return err
	})
	if err != nil {
		g.log.WithFields(logrus.Fields{"calls": calls.String(), "document_version": req.DocumentVersion, "view_term": req.ViewTerm}).Info("calls of the failed exchange with the control plane")
		return 0, err
	}
	if g.suspects.apply(resp, reported) {
		g.changed.notify()
		g.slots.wakeAll()
	}
	key := quarantine.Key(resp.FingerprintKey)
	g.fingerprintKey.Store(&key)
	g.applyDocument(resp.Document)
	g.confirmDocument(resp, asked)
	g.limits.confirm(reportedLimits, resp.Leadership, g.view.Load(), g.clock())
	g.applyView(resp.View)
	g.confirmView(resp, asked)
	g.applyLoads(resp)
	g.excess.set(resp.WorkspaceExcess)
	g.retries.SetGateways(len(g.knownGateways()), g.clock())
	g.quotas.confirm(g, resp.Leadership, len(g.knownGateways()))
	return time.Duration(resp.PauseMs) * time.Millisecond, nil
}

// maxCallsLogged bounds the calls of one exchange that are logged.
const maxCallsLogged = 12

// controlCalls describes the calls of one exchange, for the log.
type controlCalls struct{ text []string }

func (c *controlCalls) record(address string, took time.Duration, err error) {
	if len(c.text) >= maxCallsLogged {
		return
	}
	outcome := "ok"
	if err != nil {
		failure, leader := rpcerror.FromConnect(err)
		outcome = string(failure.Code)
		if leader != "" {
			outcome += " names " + leader
		}
	}
	c.text = append(c.text, address+" "+strconv.FormatInt(took.Milliseconds(), 10)+"ms "+outcome)
}

// String returns the calls in their order.
func (c *controlCalls) String() string { return strings.Join(c.text, ", ") }

// applyLoads updates what the other gateways have in flight. The counts are
// listed in the order of the endpoints of the current view.
func (g *Gateway) applyLoads(resp *wire.SyncResponse) {
	v := g.view.Load()
	if v == nil || len(resp.OthersRunning) == 0 {
		return
	}
	counts := fleet.Counts{Running: resp.OthersRunning, TokenUnits: resp.OthersTokenUnits, UnreadUnits: resp.OthersUnreadUnits, SlownessPercent: resp.SlownessPercent}
	counts.At = g.clock() - time.Duration(resp.OthersAgeMs)*time.Millisecond
	for _, us := range resp.UnitReadUs {
		counts.PerUnit = append(counts.PerUnit, time.Duration(us)*time.Microsecond)
	}
	if !g.loads.SetOthers(v.Endpoints, counts) {
		g.log.WithFields(logrus.Fields{
			"term": v.Term, "revision": v.Revision, "endpoints": len(v.Endpoints), "numbers": len(resp.OthersRunning),
		}).Warn("number of counts of other gateways does not match the endpoints of the view; keeping the previous counts")
		return
	}
	g.loads.SetSuspects(endpointsAt(v, resp.Failing), endpointsAt(v, resp.Dead))
}

// endpointsAt returns the ids of the endpoints at the positions in the view.
func endpointsAt(v *fleet.View, positions []uint32) map[string]bool {
	out := map[string]bool{}
	for _, i := range positions {
		if int(i) < len(v.Endpoints) {
			out[v.Endpoints[i].ID] = true
		}
	}
	return out
}

// applyDocument applies a fleet document if its version is higher than the
// current one. It never goes back to a lower version.
func (g *Gateway) applyDocument(d *wire.Document) {
	if d == nil {
		return
	}
	g.documentMu.Lock()
	defer g.documentMu.Unlock()
	old := g.table.Load()
	if old != nil && d.Version <= old.Document.Version {
		return
	}
	decoded, err := g.deps.Decode(d.Text)
	if err != nil {
		g.log.WithError(err).WithField("version", d.Version).Error("cannot decode the fleet document; keeping the previous version")
		return
	}
	table := document.NewTable(decoded)
	g.table.Store(table)
	if g.clientServer != nil {
		g.clientServer.AllowClients(decoded.Limits.HeaderTimeout, decoded.Limits.IdleTimeout)
		g.limitHeads(decoded.Limits.HeaderBytes)
	}
	g.quotas.retain(table)
	g.workspaces.retain(decoded.Workspaces)
	g.log.WithFields(logrus.Fields{
		"version": decoded.Version, "routes": len(decoded.Routes), "services": len(decoded.Services), "workspaces": len(decoded.Workspaces),
	}).Info("fleet document applied")
	g.changed.notify()
	g.slots.wakeAll()
}

func (g *Gateway) applyView(w *wire.FleetView) {
	if w == nil {
		return
	}
	v, ok := g.view.Load().Update(w)
	if !ok {
		return
	}
	g.view.Store(v)
	g.control.SetMembers(v.Control)
	g.log.WithFields(logrus.Fields{"term": v.Term, "revision": v.Revision, "endpoints": len(v.Endpoints), "gateways": len(v.Gateways)}).Debug("view updated")
	g.changed.notify()
}

// modelKey names a model and an adapter of it.
type modelKey struct{ model, adapter string }

// modelRequestKey names what is requested from the control plane.
type modelRequestKey struct {
	modelKey
	// more requests the adapter on one more engine.
	more bool
	// version is that of the software that the engine must run; empty for any.
	version string
}

// demand counts the requests of clients by model between two exchanges.
type demand struct {
	mu   sync.Mutex
	sums map[modelKey]*wire.ModelDemand
	// targets holds the target latency of the newest request for each model.
	targets map[string]time.Duration
}

// maxDemandTargets bounds the known target latencies, because clients choose the names of
// models.
const maxDemandTargets = 4096

// add counts one request with the target latency, zero if it has none, that is expected to
// occupy a slot for slotTime.
func (d *demand) add(model, adapter string, slotTime, target time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sums == nil {
		d.sums = map[modelKey]*wire.ModelDemand{}
	}
	if d.targets == nil || len(d.targets) >= maxDemandTargets {
		d.targets = map[string]time.Duration{}
	}
	d.targets[model] = target
	k := modelKey{model, adapter}
	s := d.sums[k]
	if s == nil {
		s = &wire.ModelDemand{Model: model, Adapter: adapter, UrgencyKnown: true, TargetMs: uint32(target.Milliseconds())}
		d.sums[k] = s
	}
	s.Arrivals++
	s.PlaceMs += uint64(slotTime.Milliseconds())
	s.TargetMs = min(s.TargetMs, uint32(target.Milliseconds()))
	if target <= document.UrgentTarget {
		s.UrgentPlaceMs += uint64(slotTime.Milliseconds())
	}
}

// target returns the target latency of the newest request for the model; zero if it is not
// known.
func (d *demand) target(model string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[model]
}

func (d *demand) flush() []*wire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.ModelDemand
	for _, s := range d.sums {
		out = append(out, s)
	}
	d.sums = nil
	return out
}
