package main

import (
	"context"
	"fmt"
	"runtime"
	"strings"
)

// column is one column of the tables, a value of a role's usage.
type column struct {
	name   string
	value  func(usage) float64
	format string
}

var columns = []column{
	{"CPU % of a core", func(s usage) float64 { return s.cpuPercent }, "%.2f"},
	{"RSS MB", func(s usage) float64 { return s.rssMB }, "%.1f"},
	{"anonymous MB", func(s usage) float64 { return s.anonymousMB }, "%.1f"},
	{"sent KB/s", func(s usage) float64 { return s.sent }, "%.2f"},
	{"received KB/s", func(s usage) float64 { return s.received }, "%.2f"},
	{"endpoints KB/s", func(s usage) float64 { return s.endpoints }, "%.2f"},
}

var roleNames = []string{"leader", "follower", "entry"}

func (r roles) usageOf(name string) usage {
	switch name {
	case "leader":
		return r.leader
	case "follower":
		return r.follower
	}
	return r.entry
}

// phase is one phase of a measurement.
type phase struct {
	name  string
	roles func(*measurement) roles
}

var phases = []phase{
	{"idle", func(p *measurement) roles { return p.idle }},
	{"load", func(p *measurement) roles { return p.busy }},
	{"changes", func(p *measurement) roles { return p.changing }},
}

// measureAll runs every series and returns the tables. After a failure it returns
// the tables of the measurements that completed.
func measureAll(ctx context.Context, o *options) (string, error) {
	var t strings.Builder
	fmt.Fprintf(&t, "# Slopes\n\n    %s\n\n", command())
	fmt.Fprintf(&t, "Machine: %d processors, %s. Idle %s; load %g requests/s of %d tokens for %s; changes: %d changes of the section in %s.\n",
		runtime.NumCPU(), runtime.Version(), o.idle, o.rate, loadTokens, o.busy, o.changes, o.busy)
	fmt.Fprintln(&t, "Bytes are the payload of TCP connections. Entries are the mean over all; sent and received are to and from the system's own processes.")
	if o.note != "" {
		fmt.Fprintln(&t, o.note)
	}
	done := map[size]*measurement{}
	for _, s := range allSeries {
		if o.only != "" && o.only != s.name {
			continue
		}
		points, err := measureSeries(ctx, o, s, done)
		writeSeries(&t, s, points)
		if err != nil {
			return t.String(), err
		}
	}
	if o.only != "" && o.only != "traffic" {
		return t.String(), nil
	}
	err := measureTraffic(ctx, o, &t)
	return t.String(), err
}

func measureSeries(ctx context.Context, o *options, s series, done map[size]*measurement) ([]*measurement, error) {
	var points []*measurement
	for _, z := range s.sizes {
		if done[z] == nil {
			p, err := measureSize(ctx, o, z)
			if err != nil {
				return points, fmt.Errorf("size %+v: %w", z, err)
			}
			done[z] = p
		}
		points = append(points, done[z])
	}
	return points, nil
}

func writeSeries(t *strings.Builder, s series, points []*measurement) {
	fmt.Fprintf(t, "\n## By %s\n\n| entries | engines | models | section met after s | phase | role |", s.name)
	for _, c := range columns {
		fmt.Fprintf(t, " %s |", c.name)
	}
	fmt.Fprintf(t, "\n|%s\n", strings.Repeat("---|", 6+len(columns)))
	for _, p := range points {
		for _, ph := range phases {
			for _, role := range roleNames {
				fmt.Fprintf(t, "| %d | %d | %d | %.1f | %s | %s |", p.size.entries, p.size.engines, p.size.models, p.converged.Seconds(), ph.name, role)
				for _, c := range columns {
					fmt.Fprintf(t, " "+c.format+" |", c.value(ph.roles(p).usageOf(role)))
				}
				fmt.Fprintln(t)
			}
		}
	}
	if len(points) < 2 {
		return
	}
	fmt.Fprintf(t, "\nSlopes by least squares, for one more of %s:\n\n| phase | role | figure | slope | intercept | R² |\n|---|---|---|---|---|---|\n", s.name)
	for _, ph := range phases {
		for _, role := range roleNames {
			for _, c := range columns {
				var x, y []float64
				for _, p := range points {
					x, y = append(x, s.value(p.size)), append(y, c.value(ph.roles(p).usageOf(role)))
				}
				f := leastSquares(x, y)
				fmt.Fprintf(t, "| %s | %s | %s | %.4g | %.4g | %.3f |\n", ph.name, role, c.name, f.slope, f.intercept, f.r2)
			}
		}
	}
}
