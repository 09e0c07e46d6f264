package fleetcontrol

import (
	"context"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/quota"
	"parsleyramp/internal/wire"
)

// quotaLogInterval is the least time between two log lines on one workspace.
const quotaLogInterval = 10 * time.Second

var quotaCalls = metrics.GetOrCreateCounter("parsleyramp_fleet_quota_calls_total")

var errLateCall = fail.New(fail.Conflict, "a later call of the gateway has been answered")

// quotas is the ledger of a leader. Its mutex is its own, so that calls do not wait for
// exchanges with gateways.
type quotas struct {
	mu sync.Mutex
	// ledger is nil while the document declares no quota.
	ledger *quota.Ledger
	limits map[string]quota.Limit
	// version is that of the document that limits are from.
	version uint64
	logged  map[string]quotaLog
}

// quotaLog is what was logged last of a workspace.
type quotaLog struct {
	limited bool
	at      time.Duration
}

// Quota charges requests to the quotas of their workspaces.
func (f *fleetService) Quota(ctx context.Context, req *connect.Request[wire.QuotaRequest]) (*connect.Response[wire.QuotaResponse], error) {
	l, err := f.leader(ctx)
	if err != nil {
		return nil, err
	}
	resp, ok := l.quota(req.Msg)
	if !ok {
		return nil, f.s.node.RPCError(ctx, errLateCall)
	}
	return connect.NewResponse(resp), nil
}

// quota charges the requests of one call, or returns false if the call comes too late.
func (l *leaderState) quota(r *wire.QuotaRequest) (*wire.QuotaResponse, bool) {
	s := &l.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	now := l.s.clock()
	if s.ledger == nil {
		return &wire.QuotaResponse{Leadership: l.leadership}, true
	}
	quotaCalls.Inc()
	answer, ok := s.ledger.Charge(quota.CallOf(r), s.limitOf, now)
	if !ok {
		return nil, false
	}
	for i := range answer.Grants {
		l.logQuota(r.Gateway, &answer.Grants[i], now)
	}
	return answer.Response(), true
}

func (s *quotas) limitOf(workspace string) (quota.Limit, bool) {
	x, ok := s.limits[workspace]
	return x, ok
}

// collect adds the levels of the buckets and what is withheld.
func (s *quotas) collect(set *metrics.Set, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil {
		return
	}
	withheld := s.ledger.Withheld()
	set.NewGauge("parsleyramp_fleet_quota_withheld", func() float64 { return withheld })
	for name := range s.limits {
		if level, _, ok := s.ledger.Level(name, now); ok {
			set.NewGauge("parsleyramp_fleet_quota_level{workspace="+strconv.Quote(name)+"}", func() float64 { return level })
		}
	}
}

// logQuota logs that a workspace starts or stops to be limited. l.quotas.mu must be held.
func (l *leaderState) logQuota(gateway string, g *quota.Grant, now time.Duration) {
	if len(g.RetryAfter) == 0 || g.Learning {
		return
	}
	limited := g.Refused()
	last, known := l.quotas.logged[g.Workspace]
	if last.limited == limited || known && now-last.at < quotaLogInterval {
		return
	}
	l.quotas.logged[g.Workspace] = quotaLog{limited, now}
	x := l.quotas.limits[g.Workspace]
	l.s.log.WithFields(logrus.Fields{
		"workspace": g.Workspace, "limited": limited, "rate": x.Rate, "burst": x.Burst, "level": g.Level, "gateway": gateway, "term": l.term,
	}).Info("limit of a workspace by its quota has changed")
}

// updateQuotas takes the quotas of the document.
func (l *leaderState) updateQuotas(d *document.Document) {
	s := &l.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == d.Version && s.limits != nil {
		return
	}
	s.version, s.limits = d.Version, map[string]quota.Limit{}
	for i := range d.Workspaces {
		if w := &d.Workspaces[i]; w.Quota.Limited() {
			s.limits[w.Name] = quota.Limit{Rate: w.Quota.PerSecond, Burst: w.Quota.Burst}
		}
	}
	if len(s.limits) == 0 {
		s.ledger, s.logged = nil, nil
		return
	}
	if s.ledger == nil {
		s.ledger, s.logged = quota.NewLedger(l.leadership, l.s.clock()), map[string]quotaLog{}
	}
	s.ledger.Retain(func(name string) bool { _, ok := s.limits[name]; return ok })
}

// endQuotas records that a gateway has ended that accepted no requests any more: it spends
// nothing alone.
func (l *leaderState) endQuotas(gateway string, now time.Duration) {
	s := &l.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger != nil {
		s.ledger.Leave(gateway, now)
	}
}

// contactQuotas records when a gateway, by its report, had the last answer of the leader.
func (l *leaderState) contactQuotas(r *wire.SyncRequest, now time.Duration) {
	s := &l.quotas
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger == nil || r.KnownGateways == 0 {
		return
	}
	s.ledger.Contact(r.Gateway.GetId(), r.Gateway.GetIncarnation(), int(r.KnownGateways), time.Duration(r.AnsweredAgoMs)*time.Millisecond, now)
}
