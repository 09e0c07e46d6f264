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

// TeamToken returns the token of a team in a test bed.
func TeamToken(team string) string { return team + "-token" }

// ShapeOptions returns the options of a test bed with the shape of a deployment
// and three control VMs.
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

// ApplySections applies the section of each team of the shape.
func (b *Bed) ApplySections(ctx context.Context, s load.Shape) error {
	for i, t := range s.Teams {
		// The section of the first team lists the engines that check fencing tokens,
		// for all teams.
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
	// stablePeriod is how long the number of residents must not change.
	stablePeriod  = 3 * time.Second
	stableTimeout = 90 * time.Second
)

// WaitStable waits until no order is open and the number of residents has not
// changed for stablePeriod. WaitReconciled alone is not enough, because the
// status of a section is met before its last replica is loaded.
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
	return fmt.Errorf("the number of residents does not become stable: last count is %d", lastCount)
}

// countResidents returns the number of models and adapters that are resident on
// all engines, or -1 while one is loading or an order is open.
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
	client, count := endpoint.NewHTTP(http.DefaultClient), 0
	for _, n := range b.Engines {
		s, err := client.State(ctx, n.Address)
		if err != nil {
			return 0, err
		}
		for _, r := range s.Residents {
			if r.Loading {
				return -1, nil
			}
			count++
		}
	}
	return count, nil
}

// Moves returns the number of moves that the running control replicas have
// decided.
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

// WaitReconciled waits until the section of each team of the shape has the
// status met.
func (b *Bed) WaitReconciled(ctx context.Context, s load.Shape) error {
	for _, t := range s.Teams {
		out, err := b.Ctl(ctx, TeamToken(t.Name), "status", "-watch", t.Name)
		if err != nil {
			return err
		}
		// The last line is the newest status.
		lines := strings.Split(out, "\n")
		if !strings.Contains(lines[len(lines)-1], `status="met"`) {
			return fmt.Errorf("section of team %s is not met: %s", t.Name, out)
		}
	}
	return nil
}
