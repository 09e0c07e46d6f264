package main

import (
	"context"
	"fmt"
	"strings"

	"parsleyramp/internal/load"
	"parsleyramp/scripts/internal/testbed"
)

// traffic is the load of one measurement at the base size.
type traffic struct {
	rate   float64
	tokens int
}

var (
	requestRates    = []traffic{{20, loadTokens}, {80, loadTokens}, {160, loadTokens}, {320, loadTokens}}
	responseLengths = []traffic{{40, 8}, {40, 32}, {40, 96}, {40, 192}}
	deferredRates   = []traffic{{5, loadTokens}, {20, loadTokens}, {60, loadTokens}}
)

// measureTraffic measures the cost of a request, of a token and of a deferred
// request.
func measureTraffic(ctx context.Context, o *options, t *strings.Builder) error {
	bed, _, err := startBed(ctx, o, baseSize)
	if err != nil {
		return err
	}
	defer cleanUp(bed)
	shape := withoutDeferred(shapeOf(baseSize))
	fmt.Fprintf(t, "\n## By requests and tokens, at %d entries, %d engines and %d models\n", baseSize.entries, baseSize.engines, baseSize.models)
	if err := trafficSeries(ctx, o, t, bed, shape, "requests a second", requestRates, func(v traffic) float64 { return v.rate }); err != nil {
		return err
	}
	kilotokensPerSecond := func(v traffic) float64 { return v.rate * float64(v.tokens) / 1000 }
	if err := trafficSeries(ctx, o, t, bed, shape, "1,000 tokens a second", responseLengths, kilotokensPerSecond); err != nil {
		return err
	}
	deferred := onlyDeferred(shapeOf(baseSize))
	return trafficSeries(ctx, o, t, bed, deferred, "overnight requests a second", deferredRates, func(v traffic) float64 { return v.rate })
}

func trafficSeries(ctx context.Context, o *options, t *strings.Builder, bed *testbed.Bed, shape load.Shape, unit string, list []traffic, value func(traffic) float64) error {
	fmt.Fprintf(t, "\n| requests/s | mean tokens | entries CPU %% of a core, all | entry RSS MB | entry sent KB/s | leader CPU %% | leader sent KB/s | leader received KB/s | follower CPU %% |\n|%s\n", strings.Repeat("---|", 9))
	var x, entries, leader, sent, follower []float64
	for _, v := range list {
		r, err := measureDuring(bed, func() error { return sendLoad(ctx, bed, shape, v.rate, o.busy, v.tokens) })
		if err != nil {
			return fmt.Errorf("traffic %+v: %w", v, err)
		}
		all := r.entry.cpuPercent * float64(len(bed.Entries))
		fmt.Fprintf(t, "| %g | %d | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f |\n", v.rate, v.tokens, all, r.entry.rssMB, r.entry.sent,
			r.leader.cpuPercent, r.leader.sent, r.leader.received, r.follower.cpuPercent)
		x, entries, leader = append(x, value(v)), append(entries, all), append(leader, r.leader.cpuPercent)
		sent, follower = append(sent, r.leader.sent), append(follower, r.follower.cpuPercent)
	}
	fmt.Fprintf(t, "\nSlopes for one more of: %s\n\n", unit)
	for _, f := range []struct {
		name string
		y    []float64
	}{{"entries CPU % of a core, all", entries}, {"leader CPU %", leader}, {"leader sent KB/s", sent}, {"follower CPU %", follower}} {
		l := leastSquares(x, f.y)
		fmt.Fprintf(t, "- %s: %.4g (intercept %.4g, R² %.3f)\n", f.name, l.slope, l.intercept, l.r2)
	}
	return nil
}
