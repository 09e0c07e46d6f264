package testbed

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/load"
)

// TeamToken returns the token that the test bed gives a team.
func TeamToken(team string) string { return team + "-token" }

// ShapeOptions returns the options of a deployment's shape with three control
// VMs.
func ShapeOptions(s load.Shape) Options {
	o := Options{
		Size: Size{Domains: s.Domains, Controls: 3, Entries: s.Entries, Engines: s.Engines},
		ControlSettings: map[string]any{
			"model_loads": s.ModelLoads, "adapter_loads": s.AdapterLoads,
		},
		EntrySettings: map[string]any{"keep_addresses": "1s"},
		StoreFlags:    []string{"-full-speed", fmt.Sprint(s.ModelLoads), "-adapters", fmt.Sprint(s.AdapterLoads)},
		TeamTokens:    map[string]string{},
	}
	for _, t := range s.Teams {
		o.TeamTokens[t.Name] = TeamToken(t.Name)
	}
	return o
}

// ApplySections applies the sections of all teams of the shape.
func (b *Bed) ApplySections(ctx context.Context, s load.Shape) error {
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
		if _, err := b.Ctl(ctx, TeamToken(t.Name), "apply", file); err != nil {
			return err
		}
	}
	return nil
}

const (
	stablePollInterval = 250 * time.Millisecond
	// settledFor is how long nothing may have moved.
	stablePeriod  = 3 * time.Second
	stableTimeout = 90 * time.Second
)

// WaitStable waits until no order is open and the engines have held the same
// for a while: a section is met before its last replica is there.
func (b *Bed) WaitStable(ctx context.Context) error {
	lastCount, stableSince := -1, time.Now()
	for deadline := time.Now().Add(stableTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(stablePollInterval) {
		count, err := b.countResidents(ctx)
		if err != nil {
			return err
		}
		if count != lastCount {
			lastCount, stableSince = count, time.Now()
		}
		if count >= 0 && time.Since(stableSince) > stablePeriod {
			return nil
		}
	}
	return fmt.Errorf("the engines do not settle; they hold %d models and adapters", lastCount)
}

// held returns how many models and adapters the engines hold, or -1 while one
// is loading or an order is open.
func (b *Bed) countResidents(ctx context.Context) (int, error) {
	for _, n := range b.Controls {
		u, err := Measure(n)
		if err != nil {
			return 0, err
		}
		if u.Metrics["parsleyramp_open_orders"] > 0 {
			return -1, nil
		}
	}
	client, held := endpoint.NewHTTP(http.DefaultClient), 0
	for _, n := range b.Engines {
		s, err := client.State(ctx, n.Address)
		if err != nil {
			return 0, err
		}
		for _, r := range s.Residents {
			if r.Loading {
				return -1, nil
			}
			held++
		}
	}
	return held, nil
}

// Moves returns how many moves the control replicas have decided so far.
func (b *Bed) Moves() (int, error) {
	var sum float64
	for _, n := range b.Controls {
		if !n.Process.Running() {
			continue
		}
		u, err := Measure(n)
		if err != nil {
			return 0, err
		}
		sum += u.Sum("parsleyramp_moves_total")
	}
	return int(sum), nil
}

// WaitReconciled waits until the sections of all teams of the shape are met.
func (b *Bed) WaitReconciled(ctx context.Context, s load.Shape) error {
	for _, t := range s.Teams {
		out, err := b.Ctl(ctx, TeamToken(t.Name), "status", "-watch", t.Name)
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
