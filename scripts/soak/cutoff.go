package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// cutOffTime is how long gateways are cut off from all endpoints, and cutOffGrace the time
	// from the beginning until their callers have to be served again.
	cutOffTime  = 7 * time.Second
	cutOffGrace = 3 * time.Second
	// cutOffClients is how many clients send to each group of gateways meanwhile.
	cutOffClients = 8
	// minCutOffRatio is the least ratio of the shares of first attempts that are served at
	// gateways that are cut off and at the others, and toleratedFailures, plus one in
	// toleratedFailureRatio of all, the number of failed ones below which it does not count.
	minCutOffRatio        = 2.0 / 3
	toleratedFailures     = 10
	toleratedFailureRatio = 50
)

// servedCount counts first attempts.
type servedCount struct{ sent, served atomic.Int64 }

func (c *servedCount) share() float64 {
	return float64(c.served.Load()) / float64(max(c.sent.Load(), 1))
}

// checkCutOff cuts gateways off from all endpoints, while callers, control replicas and the
// other gateways reach them: all of a domain with their connections reset, and then one whose
// open connections live on.
func (d *driver) checkCutOff() {
	d.cutOff([]int{0, 3}, true)
	d.cutOff([]int{1}, false)
}

func (d *driver) cutOff(gateways []int, resetOpen bool) {
	ips, cut := map[string]bool{}, map[*node]bool{}
	for _, i := range gateways {
		n := d.s.gateways[i%len(d.s.gateways)]
		ips[n.ip()], cut[n] = true, true
	}
	d.s.refuseAtEndpoints(ips)
	if resetOpen {
		for _, p := range d.s.endpointLinks() {
			p.resetFrom(ips)
		}
	}
	d.logLine(fmt.Sprintf("%d gateways are cut off from all endpoints, open connections reset: %v", len(cut), resetOpen))
	d.wait(cutOffGrace)
	var atCut, atOthers servedCount
	var clients sync.WaitGroup
	end := time.Now().Add(cutOffTime - cutOffGrace)
	for i := range cutOffClients {
		for _, group := range []*servedCount{&atCut, &atOthers} {
			clients.Go(func() {
				r := rand.New(rand.NewPCG(d.seed, uint64(3000+i)))
				for time.Now().Before(end) && d.wait(requestPause) {
					d.countFirstAttempt(r, group, func(n *node) bool { return cut[n] == (group == &atCut) })
				}
			})
		}
	}
	clients.Wait()
	d.s.refuseAtEndpoints(nil)
	d.judgeCutOff(&atCut, &atOthers)
	d.wait(time.Second)
}

// endpointLinks returns the proxies of the endpoints.
func (s *system) endpointLinks() []*proxy { return s.links[s.size.controls:] }

// refuseAtEndpoints makes the proxies of endpoints refuse new connections of the gateways with
// the IPs; nil for none.
func (s *system) refuseAtEndpoints(ips map[string]bool) {
	for _, p := range s.endpointLinks() {
		p.refuse(ips)
	}
}

// countFirstAttempt sends a request to a gateway of those that in accepts.
func (d *driver) countFirstAttempt(r *rand.Rand, c *servedCount, in func(*node) bool) {
	var nodes []*node
	for _, n := range d.s.gateways {
		if in(n) {
			nodes = append(nodes, n)
		}
	}
	client := standin.NewClient(d.s.checker)
	if outcome := d.sendOnce(client, nodes[r.IntN(len(nodes))], d.randomAttempt(r)); d.ctx.Err() == nil {
		c.sent.Add(1)
		if outcome == standin.Served {
			c.served.Add(1)
		}
	}
}

// judgeCutOff checks that first attempts at gateways that are cut off are served nearly as
// often as at the others.
func (d *driver) judgeCutOff(atCut, atOthers *servedCount) {
	failed := atCut.sent.Load() - atCut.served.Load()
	all := atCut.sent.Load() + atOthers.sent.Load()
	d.logLine(fmt.Sprintf("%d of %d first attempts were served at gateways that are cut off, %d of %d at the others",
		atCut.served.Load(), atCut.sent.Load(), atOthers.served.Load(), atOthers.sent.Load()))
	if d.ctx.Err() == nil && atCut.share() < minCutOffRatio*atOthers.share() && failed > toleratedFailures+all/toleratedFailureRatio {
		d.s.checker.RecordViolation("gateways that are cut off from all endpoints served a share of %.2f of first attempts, the others one of %.2f", atCut.share(), atOthers.share())
	}
}
