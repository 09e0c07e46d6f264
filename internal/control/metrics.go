package control

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/placement"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
)

// collectTimeout bounds reading the state for one scrape.
const collectTimeout = time.Second

// collectMetrics sets the gauges of the replica's role in the group and, on the
// leader, those of the replicated state.
func (s *Server) collectMetrics(ctx context.Context, set *metrics.Set) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	gauge := func(name string, v float64) { set.GetOrCreateGauge(name, nil).Set(v) }
	status, err := s.node.Status(ctx)
	if err != nil {
		return
	}
	leading, failing := 0.0, 0.0
	if status.StorageFailing {
		failing = 1
	}
	gauge("parsleyramp_storage_failing", failing)
	if status.Leading {
		leading = 1
	}
	gauge("parsleyramp_raft_leading", leading)
	gauge("parsleyramp_raft_term", float64(status.Term))
	gauge("parsleyramp_raft_commit_index", float64(status.Commit))
	gauge("parsleyramp_raft_members", float64(len(status.Membership.GetReplicas())))
	_ = s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
		s.leases.enterTerm(l.Term, l.Now)
		gauge("parsleyramp_view_revision", float64(m.ViewRevision()))
		gauge("parsleyramp_open_orders", float64(len(m.Orders())))
		gauge("parsleyramp_overnight_requests", float64(len(m.UnfinishedDeferred())))
		gauge("parsleyramp_endpoints", float64(len(m.Endpoints())))
		live := 0
		for _, e := range m.Entries() {
			if e.Live && !s.leases.expired(e.Id, s.cfg.EntryLease.D(), l.Now) {
				live++
			}
		}
		gauge("parsleyramp_entry_leases", float64(live))
	})
}

// countMove counts a planned load, drain or unload of a model or an adapter.
func countMove(step placement.Step) {
	kind := "model"
	if step.Adapter != "" {
		kind = "adapter"
	}
	metrics.GetOrCreateCounter(`parsleyramp_moves_total{action="` + step.Action.String() + `",kind="` + kind + `"}`).Inc()
}
