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
		Budget: placement.Budget{ModelLoads: s.cfg.ModelLoads, AdapterLoads: s.cfg.AdapterLoads, ModelStarts: s.cfg.ModelLoads},
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
	for _, step := range placement.Plan(in).Steps {
		if s.try(ctx, step.Command(p.term, incarnations[step.Endpoint]), "placement") {
			s.log.WithFields(logrus.Fields{
				"action": step.Action.String(), "endpoint": step.Endpoint, "model": step.Model,
				"version": step.Version, "adapter": step.Adapter, "reason": step.Reason,
			}).Info("move decided")
		}
	}
}
