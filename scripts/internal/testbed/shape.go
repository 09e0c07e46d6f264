package testbed

import (
	"context"
	"fmt"
	"strings"

	"parsleyramp/internal/load"
)

// TokenOf returns the token that the test bed gives a team.
func TokenOf(team string) string { return team + "-token" }

// ShapeOptions returns the options of a deployment's shape with three control
// VMs.
func ShapeOptions(s load.Shape) Options {
	o := Options{
		Size: Size{Domains: s.Domains, Controls: 3, Entries: s.Entries, Engines: s.Engines},
		Control: map[string]any{
			"model_loads": s.ModelLoads, "adapter_loads": s.AdapterLoads,
		},
		Entry:  map[string]any{"keep_addresses": "1s"},
		Store:  []string{"-full-speed", fmt.Sprint(s.ModelLoads), "-adapters", fmt.Sprint(s.AdapterLoads)},
		Tokens: map[string]string{},
	}
	for _, t := range s.Teams {
		o.Tokens[t.Name] = TokenOf(t.Name)
	}
	return o
}

// Apply applies the sections of all teams of the shape.
func (b *Bed) Apply(ctx context.Context, s load.Shape) error {
	for i, t := range s.Teams {
		// One section says for all teams which engines check fencing numbers.
		var fencing []string
		if i == 0 {
			fencing = b.FencingEngines()
		}
		file, err := b.WriteJSON(t.Name+".section.json", s.Section(t, fencing))
		if err != nil {
			return err
		}
		if _, err := b.Ctl(ctx, TokenOf(t.Name), "apply", file); err != nil {
			return err
		}
	}
	return nil
}

// WaitMet waits until the sections of all teams of the shape are met.
func (b *Bed) WaitMet(ctx context.Context, s load.Shape) error {
	for _, t := range s.Teams {
		out, err := b.Ctl(ctx, TokenOf(t.Name), "status", "-watch", t.Name)
		if err != nil {
			return err
		}
		// The last line is the newest status.
		lines := strings.Split(out, "\n")
		if !strings.Contains(lines[len(lines)-1], `status="met"`) {
			return fmt.Errorf("section of %s: %s", t.Name, out)
		}
	}
	return nil
}
