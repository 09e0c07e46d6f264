package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// keepersPerGateway is how many clients keep a connection to each gateway. With
	// the other clients they need more slots than the endpoints that stay have.
	keepersPerGateway = 10
	// keeperPause is the time between two requests of such a client.
	keeperPause = 20 * time.Millisecond
	// minWork and maxWork bound the additional work of slow requests. The sum of the
	// waits for a slot and the work is often longer than the grace period.
	minWork = 300 * time.Millisecond
	maxWork = 3 * time.Second
	// maxBodyTime bounds the time in which a slow client sends a body.
	maxBodyTime = 3 * time.Second
	// loadTime is the time from the start of the load until the first stop.
	loadTime = 1500 * time.Millisecond
	// stopSpread is the time between the first and the last SIGTERM of a series. It
	// is shorter than the grace period, so that stops overlap.
	stopSpread = 2500 * time.Millisecond
	// maxReloadPause bounds the time between two SIGHUP of a series.
	maxReloadPause = 500 * time.Millisecond
	// maxRestartDelay bounds the time from the exit of a stopped process until its
	// restart.
	maxRestartDelay = 800 * time.Millisecond
	// stayingEngineCount is how many engines stay during a series.
	stayingEngineCount = 2
)

// Streams of random numbers of a seed. Lower streams belong to the schedule, the
// clients and the operators.
const (
	stopSeriesStream = 2000
	keeperStream     = 3000
)

// stopSeries returns the steps of series i of the planned stops of a seed. All
// gateways but one, one control replica and most engines stop at overlapping times,
// while gateways and control replicas receive SIGHUP.
func stopSeries(seed uint64, i int, n sizes) []step {
	r := rand.New(rand.NewPCG(seed, uint64(stopSeriesStream+i)))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(r.Int64N(int64(high-low))) }
	var out []step
	lastStopEnd := loadTime + stopSpread + gracePeriod
	for _, e := range r.Perm(n.endpoints - n.ledger)[stayingEngineCount:] {
		out = append(out, step{kind: drainEndpoint, target: e, duration: lastStopEnd - drainTime})
	}
	for _, g := range r.Perm(n.gateways)[1:] {
		out = append(out, step{kind: stopGateway, target: g, at: loadTime + between(0, stopSpread), duration: between(0, maxRestartDelay)})
	}
	out = append(out, step{kind: stopControl, target: r.IntN(n.controls), at: loadTime + between(0, stopSpread), duration: between(0, maxRestartDelay)})
	for at := loadTime; at < lastStopEnd; at += between(0, maxReloadPause) {
		s := step{kind: reloadGateway, target: r.IntN(n.gateways), at: at}
		if r.IntN(4) == 0 {
			s.kind, s.target = reloadControl, r.IntN(n.controls)
		}
		out = append(out, s)
	}
	slices.SortStableFunc(out, func(a, b step) int { return int(a.at - b.at) })
	return out
}

// checkStopsUnderLoad stops gateways in series while requests wait for slots, are
// being worked on and are streamed.
func (d *driver) checkStopsUnderLoad(series int) {
	d.logLine("planned stops under load")
	d.plannedStopsOnly.Store(true)
	d.stopsUnderLoad.Store(true)
	load, cancel := context.WithCancel(d.ctx)
	var keepers sync.WaitGroup
	for i := range keepersPerGateway * len(d.s.gateways) {
		r := rand.New(rand.NewPCG(d.seed, uint64(keeperStream+i)))
		keepers.Go(func() { d.keepSending(load, d.s.gateways[i%len(d.s.gateways)], r) })
	}
	for i := range series {
		d.s.runSteps(stopSeries(d.seed, i, d.s.size), time.Now(), d.logLine)
		for _, n := range d.s.gateways {
			d.waitReady(n)
		}
	}
	cancel()
	keepers.Wait()
	d.stopsUnderLoad.Store(false)
	d.plannedStopsOnly.Store(false)
}

// keepSending sends one request after another to a gateway, on one connection while
// the gateway keeps it open, until the load ends. Half of the requests are slow at the
// endpoint, and a tenth are sent slowly.
func (d *driver) keepSending(load context.Context, n *node, r *rand.Rand) {
	client := standin.NewClient(d.s.checker)
	for load.Err() == nil && d.wait(keeperPause) {
		attempt := d.randomAttempt(r)
		if r.IntN(2) == 0 {
			attempt.Work = minWork + time.Duration(r.Int64N(int64(maxWork-minWork)))
		}
		if r.IntN(10) == 0 {
			attempt.BodyTime = time.Duration(r.Int64N(int64(maxBodyTime)))
		}
		d.do(client, n, attempt)
	}
}
