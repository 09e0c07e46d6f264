package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
)

// medianAndRange formats the median of the values with their minimum and maximum.
// It sorts the values.
func medianAndRange(values []float64, format string) string {
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
	fmt.Fprintf(&t, "# Load: %s\n\n", b.options.shape.Name)
	fmt.Fprintf(&t, "    %s\n\n", b.options.command)
	fmt.Fprintf(&t, "Machine: %d processors, %s. Median of %d runs, with minimum and maximum.\n", runtime.NumCPU(), runtime.Version(), b.options.rounds)
	if b.options.note != "" {
		fmt.Fprintf(&t, "%s\n", b.options.note)
	}
	t.WriteString("\n| scenario | routing | within targets | per accelerator and second | first token ms p50 | p95 | p99 | between tokens ms p50 | p95 | p99 | refused, not run | broken or unknown | retries | not own or whole | moves |\n")
	t.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, scenario := range b.options.scenarios {
		for _, policy := range b.options.policies {
			fmt.Fprintln(&t, b.row(scenario, policy))
		}
	}
	return t.String()
}

// columnFormats holds the formats of the values of a row.
var columnFormats = []string{"%.4f", "%.3f", "%.1f", "%.1f", "%.1f", "%.1f", "%.1f", "%.1f", "%.0f", "%.0f", "%.0f", "%.0f", "%.0f"}

func (b *bench) row(scenario, policy string) string {
	columns := make([][]float64, len(columnFormats))
	for _, r := range b.results {
		if r.scenario != scenario || r.policy != policy {
			continue
		}
		report := r.report
		var rejected, failedOrUnknown float64
		for _, f := range report.FailedAttempts {
			if f.Ran == "no" {
				rejected += float64(f.Count)
			} else {
				failedOrUnknown += float64(f.Count)
			}
		}
		for i, v := range []float64{
			report.AttainedShare, report.AttainedPerAcceleratorSecond, report.FirstTokenMS.P50, report.FirstTokenMS.P95, report.FirstTokenMS.P99,
			report.BetweenTokensMS.P50, report.BetweenTokensMS.P95, report.BetweenTokensMS.P99, rejected, failedOrUnknown, float64(report.Retries), float64(report.Mismatched), float64(r.moves),
		} {
			columns[i] = append(columns[i], v)
		}
	}
	if policy == "" {
		policy = "default"
	}
	cells := []string{scenario, policy}
	for i, format := range columnFormats {
		cells = append(cells, medianAndRange(columns[i], format))
	}
	return "| " + strings.Join(cells, " | ") + " |"
}

func (b *bench) write() error {
	fmt.Println("\n" + b.table())
	if b.options.out == "" {
		return nil
	}
	return os.WriteFile(filepath.Join(b.options.out, "load-"+b.options.shape.Name+".md"), []byte(b.table()), 0o644)
}
