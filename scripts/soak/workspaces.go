package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// greedyClients send to the greedy workspace, each a request greedyPause after another:
	// many times its quota. staleClients use keys that are being removed.
	greedyClients = 4
	greedyPause   = 10 * time.Millisecond
	staleClients  = 2
	// keyMaxAge is how long gateways that fail closed accept keys without contact to control.
	// A confirmation may itself lag by 1 s, and both together may not exceed applyTimeout.
	keyMaxAge = 1500 * time.Millisecond
	// controlLossTime is how long no message reaches control replicas, and quotaPause the time
	// before and after that, and after a kill.
	controlLossTime = 4 * time.Second
	quotaPause      = 2500 * time.Millisecond
	// minGreedyUse and maxGreedyShare bound what the greedy workspace gets while nothing is
	// disturbed: of its quota, and of its requests.
	minGreedyUse   = 0.5
	maxGreedyShare = 0.5
)

// Streams of random numbers of a seed.
const (
	greedyStream = 4000
	staleStream  = 4100
)

// soakWorkspaces returns the workspaces of a seed. The quotas of all but the last, the greedy
// one, exceed what their clients send.
func soakWorkspaces(seed uint64) []standin.Workspace {
	greedy := standin.Workspace{Name: "west", Rate: 10, Burst: 20}
	if seed/2%2 == 1 {
		greedy = standin.Workspace{Name: "west", Rate: 2000, Burst: 4000, InTokens: true}
	}
	return []standin.Workspace{
		{Name: "north", Rate: 300, Burst: 600}, {Name: "south", Rate: 90e3, Burst: 180e3, InTokens: true}, greedy,
	}
}

// failsClosed reports whether the gateways of a seed refuse keys without contact to control.
func failsClosed(seed uint64) bool { return seed%2 == 1 }

// startWorkspaces starts the greedy clients and those with keys that are being removed.
func (d *driver) startWorkspaces() {
	for i := range greedyClients {
		d.all.Go(func() { d.sendGreedy(rand.New(rand.NewPCG(d.seed, uint64(greedyStream+i)))) })
	}
	for i := range staleClients {
		d.all.Go(func() { d.sendStale(rand.New(rand.NewPCG(d.seed, uint64(staleStream+i)))) })
	}
}

func (d *driver) sendGreedy(r *rand.Rand) {
	client := standin.NewClient(d.s.checker)
	for d.wait(greedyPause) {
		attempt := d.shortAttempt(r)
		attempt.ID = standin.GreedyID(attempt.ID)
		outcome := d.sendOnce(client, d.s.gateways[r.IntN(len(d.s.gateways))], attempt)
		d.greedy.sent.Add(1)
		if outcome == standin.Served {
			d.greedy.served.Add(1)
		}
	}
}

// shortAttempt returns an attempt that does not wait long for a slot and is not resumed.
func (d *driver) shortAttempt(r *rand.Rand) standin.Attempt {
	attempt := d.randomAttempt(r)
	if attempt.Kind == standin.ResumableStream {
		attempt.Kind = standin.Stream
	}
	return attempt
}

// sendStale checks that requests do not run applyTimeout after the acknowledged removal of
// their key, unless the gateway was paused or, failing open, had no contact to control.
func (d *driver) sendStale(r *rand.Rand) {
	client := standin.NewClient(d.s.checker)
	for d.wait(requestPause) {
		attempt, n := d.shortAttempt(r), d.s.gateways[r.IntN(len(d.s.gateways))]
		attempt.ID = standin.StaleID(attempt.ID)
		pauses := n.pauseCount()
		d.sendOnce(client, n, attempt)
		removed, began, ok := d.s.checker.RunWithRemovedKey(attempt.ID)
		d.stale.sent.Add(1)
		if ok && began.After(removed) {
			d.stale.served.Add(1)
		}
		calm := d.calmSince.Load()
		inContact := failsClosed(d.seed) || calm != 0 && calm < removed.UnixNano()
		if ok && inContact && n.pauseCount() == pauses && pauses%2 == 0 && began.Sub(removed) > applyTimeout {
			d.s.checker.RecordViolation("attempt %s ran by way of %s %v after its key was removed", attempt.ID, n.name, began.Sub(removed))
		}
	}
}

// whileCalm runs f, during which every gateway has contact to control.
func (d *driver) whileCalm(f func()) {
	d.calmSince.Store(time.Now().UnixNano())
	f()
	d.calmSince.Store(0)
}

// checkGreedy checks that the others are served while the greedy workspace is limited. Then no
// message reaches control replicas for a time, all of them are killed, and a gateway is.
func (d *driver) checkGreedy() {
	d.wait(quotaPause)
	d.whileCalm(func() { d.checkShares(quotaPause) })
	for _, p := range d.s.links[:d.s.size.controls] {
		p.set(linkState{dropIn: true, dropOut: true})
	}
	d.logLine("no message reaches control replicas")
	d.wait(controlLossTime)
	d.s.clearFaults()
	d.wait(quotaPause)
	for _, nodes := range [][]*node{d.s.controls, d.s.gateways[:1]} {
		d.killAndRestart(nodes)
		d.wait(quotaPause)
	}
}

// checkShares checks what the greedy workspace gets within the time, and the others.
func (d *driver) checkShares(within time.Duration) {
	sent, served := d.greedy.sent.Load(), d.greedy.served.Load()
	share := d.servedShare(within)
	sent, served = d.greedy.sent.Load()-sent, d.greedy.served.Load()-served
	d.logLine(fmt.Sprintf("%d of %d requests of the greedy workspace were served, and a share of %.2f of those of others", served, sent, share))
	if d.ctx.Err() != nil {
		return
	}
	if share < recoveredShare {
		d.s.checker.RecordViolation("a share of %.2f of the requests within quotas is served beside a greedy workspace", share)
	}
	greedy := d.workspaces[len(d.workspaces)-1]
	least := minGreedyUse * greedy.Rate * within.Seconds()
	if greedy.InTokens {
		least /= streamTokens
	}
	if float64(served) < least || float64(served) > maxGreedyShare*float64(sent) {
		d.s.checker.RecordViolation("%d of %d requests of the greedy workspace were served within %v", served, sent, within)
	}
}

// streamTokens is the largest cost of a request, in tokens.
const streamTokens = 300
