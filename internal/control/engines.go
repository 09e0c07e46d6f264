package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/wire"
)

const probeTimeout = 500 * time.Millisecond

// probeEngines reads the state of the engines that are due and records new
// incarnations and changes of reachability.
func (s *Server) probeEngines(ctx context.Context, snap *snapshot) {
	var wg sync.WaitGroup
	open := snap.enginesWithOpenOrders()
	for _, e := range snap.view.Endpoints {
		if e.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		if !open[e.Id] && !s.probes.due(e.Id, s.clock()) {
			continue
		}
		wg.Go(func() { s.probeEngine(ctx, snap.term, e) })
	}
	wg.Wait()
}

func (s *Server) probeEngine(ctx context.Context, term uint64, e *wire.Endpoint) {
	readCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	readStart := s.clock()
	st, err := s.engines.State(readCtx, e.Address)
	cancel()
	incarnation := ""
	if err != nil {
		st = nil
	} else {
		incarnation = st.Incarnation
		s.probes.responded(e.Id, s.clock())
	}
	s.health.Observe(e.Id, s.clock(), incarnation)
	s.orders.recordState(term, e.Id, readStart, st)
	if reachable := st != nil; reachable != e.Reachable {
		updated := proto.Clone(e).(*wire.Endpoint)
		updated.Reachable = reachable
		s.proposeInTermAndLog(ctx, term, &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: updated}}}, "engine reachability")
	}
	if st == nil || st.Incarnation == e.Incarnation {
		return
	}
	reset := newResetEngine(e, st)
	if reset == nil {
		s.log.WithFields(logrus.Fields{"engine": e.Id, "used_bytes": st.UsedBytes}).Warn("engine uses more memory than its listed residents; its new incarnation is not recorded yet")
		return
	}
	s.log.WithFields(logrus.Fields{"engine": e.Id, "incarnation": st.Incarnation, "residents": len(reset.Residents)}).Info("new engine incarnation found")
	s.proposeInTermAndLog(ctx, term, &wire.Command{Body: &wire.Command_ResetEngine{ResetEngine: reset}}, "record engine incarnation")
}

// newResetEngine returns the command that records the engine's incarnation and
// residents, or nil while the engine uses more memory than it lists residents
// for.
func newResetEngine(e *wire.Endpoint, st *endpoint.EngineState) *wire.ResetEngine {
	reset := &wire.ResetEngine{
		Id: e.Id, Incarnation: st.Incarnation, MemoryBytes: st.MemoryBytes, Slots: uint32(st.Slots), ExpectedIncarnation: e.Incarnation,
	}
	var listed uint64
	for _, r := range st.Residents {
		listed += r.MemoryBytes
		reset.Residents = append(reset.Residents, &wire.Resident{Model: r.Model, Version: r.Version, Adapter: r.Adapter, MemoryBytes: r.MemoryBytes})
	}
	if st.UsedBytes > listed {
		return nil
	}
	return reset
}
