package control

import (
	"context"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/closing"
	"parsleyramp/internal/placement"
	"parsleyramp/internal/wire"
)

// plan asks the planner for the next steps and carries them out.
func (s *Server) plan(ctx context.Context, p *picture) {
	in := placement.Input{
		Endpoints: p.view.Endpoints, Residents: p.view.Residents, Orders: p.orders,
		Idle:   func(r *wire.Resident) bool { return p.idle[residentName(r)] },
		Budget: placement.Budget{ModelLoads: s.cfg.ModelLoads, AdapterLoads: s.cfg.AdapterLoads},
	}
	for _, section := range p.view.Sections {
		if parsed, err := closing.ParseError(section.Text); err == nil {
			in.Sections = append(in.Sections, parsed)
		}
	}
	incarnations := map[string]string{}
	for _, e := range p.view.Endpoints {
		incarnations[e.Id] = e.Incarnation
	}
	for _, step := range placement.Plan(in) {
		if s.try(ctx, commandOf(step, p.term, incarnations[step.Endpoint]), "placement") {
			s.log.WithFields(logrus.Fields{
				"action": step.Action.String(), "endpoint": step.Endpoint, "model": step.Model,
				"version": step.Version, "adapter": step.Adapter, "reason": step.Reason,
			}).Info("move decided")
		}
	}
}

func commandOf(step placement.Step, term uint64, incarnation string) *wire.Command {
	if step.Action == placement.Drain {
		return &wire.Command{Body: &wire.Command_SetResident{SetResident: &wire.SetResident{
			Endpoint: step.Endpoint, Model: step.Model, Version: step.Version, Adapter: step.Adapter,
			State: wire.ResidentState_RESIDENT_STATE_DRAINING,
		}}}
	}
	kind := wire.OrderKind_ORDER_KIND_LOAD
	if step.Action == placement.Unload {
		kind = wire.OrderKind_ORDER_KIND_UNLOAD
	}
	return &wire.Command{Body: &wire.Command_IssueOrder{IssueOrder: &wire.IssueOrder{Order: &wire.Order{
		FenceTerm: term, Kind: kind, Endpoint: step.Endpoint, Model: step.Model, Version: step.Version,
		Adapter: step.Adapter, MemoryBytes: step.Memory, Incarnation: incarnation, Reason: step.Reason,
	}}}}
}
