package fleetcontrol

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/state"
)

// orderCounter counts orders to engines by kind and result.
type orderCounter struct{}

var ordersSent orderCounter

func (orderCounter) count(o Order, result OrderResult) {
	kind := "model"
	if o.Adapter != "" {
		kind = "adapter"
	}
	metrics.GetOrCreateCounter(`parsleyramp_fleet_orders_total{kind="` + kind + `",answer="` + result.String() + `"}`).Inc()
}

var (
	storeLoads = metrics.GetOrCreateCounter("parsleyramp_fleet_store_loads_total")
	// storeLoadsRefunded counts planned loads from the store whose order was not accepted.
	storeLoadsRefunded = metrics.GetOrCreateCounter("parsleyramp_fleet_store_loads_refunded_total")
	// sharesExceeded counts how often a workspace began to exceed its share of a service.
	sharesExceeded = metrics.GetOrCreateCounter("parsleyramp_fleet_shares_exceeded_total")
	listReads      = metrics.GetOrCreateCounter("parsleyramp_fleet_list_reads_total")
)

// collectMetrics adds the gauges that are computed at the time of a scrape.
func (s *Server) collectMetrics(ctx context.Context, set *metrics.Set) {
	leading, gateways, engines, behind, suspects, over, unequal := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	if l := s.leader.Load(); l != nil {
		l.mu.Lock()
		leading, gateways, engines = 1, float64(len(l.gateways)), float64(len(l.engines))
		known, _ := l.suspects.Known()
		suspects = float64(len(known))
		behind = float64(l.gatewaysBehind())
		over = float64(len(l.shares.excess))
		unequal = float64(len(l.speeds.unequal))
		l.mu.Unlock()
		l.quotas.collect(set, s.clock())
	}
	set.NewGauge("parsleyramp_fleet_leading", func() float64 { return leading })
	set.NewGauge("parsleyramp_fleet_gateways", func() float64 { return gateways })
	set.NewGauge("parsleyramp_fleet_endpoints", func() float64 { return engines })
	set.NewGauge("parsleyramp_fleet_gateways_behind", func() float64 { return behind })
	set.NewGauge("parsleyramp_fleet_suspects", func() float64 { return suspects })
	set.NewGauge("parsleyramp_fleet_workspaces_over_share", func() float64 { return over })
	set.NewGauge("parsleyramp_fleet_unequal_endpoints", func() float64 { return unequal })
	failing := 0.0
	if s.node.StorageFailing() {
		failing = 1
	}
	set.NewGauge("parsleyramp_storage_failing", func() float64 { return failing })
	version := 0.0
	if err := s.node.ReadStale(ctx, func(m *state.Machine) { version = float64(m.Document().GetVersion()) }); err != nil {
		s.log.WithError(err).Debug("failed to read document version for metrics")
		return
	}
	set.NewGauge("parsleyramp_fleet_document_version", func() float64 { return version })
}
