package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
)

// spread is the median of some values with the least and the greatest.
func spread(values []float64, format string) string {
	slices.Sort(values)
	median := fmt.Sprintf(format, values[len(values)/2])
	if len(values) == 1 {
		return median
	}
	return fmt.Sprintf("%s ("+format+" to "+format+")", median, values[0], values[len(values)-1])
}

// table returns the results as Markdown, one row for each scenario and policy.
func (b *bench) table() string {
	var t strings.Builder
	fmt.Fprintf(&t, "# Load: %s\n\n", b.o.shape.Name)
	fmt.Fprintf(&t, "    %s\n\n", b.o.command)
	fmt.Fprintf(&t, "Machine: %d processors, %s. Median of %d runs, with the least and the greatest.\n", runtime.NumCPU(), runtime.Version(), b.o.rounds)
	if b.o.note != "" {
		fmt.Fprintf(&t, "%s\n", b.o.note)
	}
	t.WriteString("\n| scenario | routing | within targets | per accelerator and second | first token ms p50 | p95 | p99 | between tokens ms p50 | p95 | p99 | refused, not run | broken or unknown | retries | not own or whole | moves |\n")
	t.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, scenario := range b.o.scenarios {
		for _, policy := range b.o.policies {
			fmt.Fprintln(&t, b.row(scenario, policy))
		}
	}
	return t.String()
}

// formats are those of the figures of a row.
var formats = []string{"%.4f", "%.3f", "%.1f", "%.1f", "%.1f", "%.1f", "%.1f", "%.1f", "%.0f", "%.0f", "%.0f", "%.0f", "%.0f"}

func (b *bench) row(scenario, policy string) string {
	columns := make([][]float64, len(formats))
	for _, r := range b.results {
		if r.scenario != scenario || r.policy != policy {
			continue
		}
		p := r.report
		var refused, broken float64
		for _, f := range p.FailedAttempts {
			if f.Ran == "no" {
				refused += float64(f.Count)
			} else {
				broken += float64(f.Count)
			}
		}
		for i, v := range []float64{
			p.AttainedShare, p.AttainedPerAcceleratorSecond, p.FirstTokenMS.P50, p.FirstTokenMS.P95, p.FirstTokenMS.P99,
			p.BetweenTokensMS.P50, p.BetweenTokensMS.P95, p.BetweenTokensMS.P99, refused, broken, float64(p.Retries), float64(p.Mismatched), float64(r.moves),
		} {
			columns[i] = append(columns[i], v)
		}
	}
	if policy == "" {
		policy = "default"
	}
	cells := []string{scenario, policy}
	for i, format := range formats {
		cells = append(cells, spread(columns[i], format))
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

func (b *bench) write() error {
	fmt.Println("\n" + b.table())
	if b.o.out == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(b.o.out, "load-"+b.o.shape.Name+".md"), []byte(b.table()), 0o644)
}
