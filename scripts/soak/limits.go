package main

import (
	"fmt"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// limitedTime is how long endpoints name limits. During it all control replicas are
	// killed after limitedKillTime and a gateway is after twice that. restartDelay is the time
	// from such a kill to the start.
	limitedTime     = 16 * time.Second
	limitedKillTime = 5 * time.Second
	restartDelay    = time.Second
	// engineLimit and lowEngineLimit are the limits, in requests a second, of one engine each,
	// and ledgerLimit that of each endpoint of the plain service.
	engineLimit    = 2.0
	lowEngineLimit = 0.2
	ledgerLimit    = 4.0
	// minLimitUse is the least share of its limit that an endpoint gets of a service all of
	// whose endpoints have one and which has more to do than they take.
	minLimitUse = 0.4
)

// checkLimits makes two engines and all endpoints of the plain service name limits, while the
// leader and a gateway are killed. The endpoints check what arrives from all gateways.
func (d *driver) checkLimits() {
	firstLedger := d.s.size.endpoints - d.s.size.ledger
	limits := map[*standin.Endpoint]float64{d.s.endpoints[0]: engineLimit, d.s.endpoints[1]: lowEngineLimit}
	for _, e := range d.s.endpoints[firstLedger:] {
		limits[e] = ledgerLimit
	}
	for e, perSecond := range limits {
		e.SetLimit(perSecond)
	}
	d.all.Go(func() { d.restartUnderLimits() })
	d.wait(limitedTime)
	for e, perSecond := range limits {
		rate := e.LiftLimit()
		d.logLine(fmt.Sprintf("%s named a limit of %g a second and got %.2f", e.Address(), perSecond, rate))
		if perSecond == ledgerLimit && rate < minLimitUse*perSecond && d.ctx.Err() == nil {
			d.s.checker.RecordViolation("%s named a limit of %g a second and got only %.2f", e.Address(), perSecond, rate)
		}
	}
}

// restartUnderLimits kills the control replicas, and a gateway later.
func (d *driver) restartUnderLimits() {
	for _, nodes := range [][]*node{d.s.controls, d.s.gateways[:1]} {
		if !d.wait(limitedKillTime) {
			return
		}
		d.killAndRestart(nodes)
	}
}

// killAndRestart kills the processes, which start again restartDelay later.
func (d *driver) killAndRestart(nodes []*node) {
	for _, n := range nodes {
		n.stopAndHold(d.s, syscall.SIGKILL)
	}
	d.wait(restartDelay)
	for _, n := range nodes {
		if err := n.release(d.s); err != nil {
			d.s.checker.RecordViolation("%s did not start again: %v", n.name, err)
		}
	}
}
