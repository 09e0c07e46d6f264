package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults. The faults of links disturb the connections to the target.
const (
	killControl        kind = "kill control"
	killGateway        kind = "kill gateway"
	killControls       kind = "kill all control replicas"
	killAll            kind = "kill all processes"
	pauseControl       kind = "pause control"
	pauseGateway       kind = "pause gateway"
	stopControl        kind = "stop control"
	stopGateway        kind = "stop gateway"
	reloadGateway      kind = "reload gateway"
	reloadControl      kind = "reload control"
	wipeControl        kind = "wipe control disk"
	tornLog            kind = "append torn record"
	delayLink          kind = "delay link"
	resetLink          kind = "reset link"
	dropLink           kind = "drop link both ways"
	dropLinkIn         kind = "drop link inwards"
	dropLinkOut        kind = "drop link outwards"
	crashEndpoint      kind = "crash endpoint"
	failRequests       kind = "fail requests"
	dropResponses      kind = "drop responses"
	truncateResponses  kind = "truncate responses"
	extraResponses     kind = "extra responses"
	dropOrderResponses kind = "drop order responses"
	drainEndpoint      kind = "drain endpoint"
)

// onControl, onGateways, onLinks and onEndpoints list the kinds by target.
var (
	onControl   = []kind{killControl, pauseControl, stopControl, reloadControl, wipeControl, tornLog, killControls, killAll}
	onGateways  = []kind{killGateway, pauseGateway, stopGateway, reloadGateway}
	onLinks     = []kind{delayLink, resetLink, dropLink, dropLinkIn, dropLinkOut}
	onEndpoints = []kind{crashEndpoint, failRequests, dropResponses, truncateResponses, extraResponses, dropOrderResponses, drainEndpoint}
)

// step is one fault of a target, with its start and duration.
type step struct {
	at       time.Duration
	kind     kind
	target   int
	duration time.Duration
}

func (s step) String() string {
	return fmt.Sprintf("%.2fs %s %d for %v", s.at.Seconds(), s.kind, s.target, s.duration.Round(time.Millisecond))
}

// sizes holds the number of targets of each type. ledger is how many of the endpoints, the
// last ones, belong to the plain service.
type sizes struct {
	controls, gateways, endpoints, ledger int
	// grace is the grace period of the gateways.
	grace time.Duration
}

const (
	// firstFaultDelay is the time for the system to start and form its group.
	firstFaultDelay = 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	// wipeMargin is the time before and after the loss of a disk in which no control
	// replica is stopped: the system tolerates the loss of one disk at a time.
	wipeMargin = 5 * time.Second
)

// schedule returns the random faults of a seed over the length of a run. Faults
// may overlap.
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

// conflictsWithWipe reports whether the step would wipe a second disk, or stop a
// replica that a wiped one must catch up from, while one is being replaced.
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
