package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults. Those of links concern connections to the target.
const (
	killControl        kind = "kill control"
	killGateway        kind = "kill gateway"
	killControls       kind = "kill all control"
	killAll            kind = "kill all"
	pauseControl       kind = "pause control"
	pauseGateway       kind = "pause gateway"
	stopControl        kind = "stop control"
	stopGateway        kind = "stop gateway"
	reloadGateway      kind = "reload gateway"
	reloadControl      kind = "reload control"
	wipeControl        kind = "wipe control"
	tornLog            kind = "torn log"
	delayLink          kind = "delay link"
	resetLink          kind = "reset link"
	dropLink           kind = "silence link"
	dropLinkIn         kind = "cut link inwards"
	dropLinkOut        kind = "cut link outwards"
	crashEngine        kind = "crash endpoint"
	failEngine         kind = "failing endpoint"
	dropResponses      kind = "lost answers"
	truncateResponses  kind = "cut answers"
	extraResponses     kind = "extra answers"
	dropOrderResponses kind = "lost orders"
	drainEngine        kind = "leaving endpoint"
)

// onControl, onGateways, onLinks and onEndpoints are the kinds by their targets.
var (
	onControl   = []kind{killControl, pauseControl, stopControl, reloadControl, wipeControl, tornLog, killControls, killAll}
	onGateways  = []kind{killGateway, pauseGateway, stopGateway, reloadGateway}
	onLinks     = []kind{delayLink, resetLink, dropLink, dropLinkIn, dropLinkOut}
	onEndpoints = []kind{crashEngine, failEngine, dropResponses, truncateResponses, extraResponses, dropOrderResponses, drainEngine}
)

// step is one fault: what happens to which target from when for how long.
type step struct {
	at       time.Duration
	kind     kind
	target   int
	duration time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%.2fs %s %d for %v", s.at.Seconds(), s.kind, s.target, s.duration.Round(time.Millisecond))
}

// sizes are how many targets there are of each sort.
type sizes struct{ controls, gateways, endpoints int }

const (
	// firstFault leaves the system time to form.
	firstFaultDelay = 1500 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	// wipeSettle is how long before and after the loss of a disk no control
	// replica goes down: one disk at a time is what the system bears.
	wipeMargin = 5 * time.Second
)

// schedule draws the faults of a seed over the time. Faults overlap.
func schedule(seed uint64, length time.Duration, n sizes) []step {
	r := rand.New(rand.NewPCG(seed, 0))
	var out []step
	for at := firstFaultDelay; at < length; at += time.Duration(100+r.IntN(900)) * time.Millisecond {
		s := randomStep(r, n)
		s.at = at
		s.duration = minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if !conflictsWithWipe(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func randomStep(r *rand.Rand, n sizes) step {
	groups := []struct {
		kinds   []kind
		targets int
	}{
		{onControl, n.controls}, {onGateways, n.gateways}, {onLinks, n.controls + n.endpoints}, {onEndpoints, n.endpoints},
	}
	g := groups[r.IntN(len(groups))]
	return step{kind: g.kinds[r.IntN(len(g.kinds))], target: r.IntN(g.targets)}
}

// loses reports whether the step would let a second disk, or a replica that a
// wiped one must learn from, be lost while one is being replaced.
func conflictsWithWipe(earlier []step, s step) bool {
	stopping := []kind{killControl, pauseControl, stopControl, tornLog, killControls, killAll, wipeControl}
	if !slices.Contains(stopping, s.kind) {
		return false
	}
	for _, e := range earlier {
		near := s.at < e.at+e.duration+wipeMargin
		if near && slices.Contains(stopping, e.kind) && (s.kind == wipeControl || e.kind == wipeControl) {
			return true
		}
	}
	return false
}
