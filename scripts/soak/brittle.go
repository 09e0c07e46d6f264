package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// brittleTime is how long the engines are brittle, and brittleRejections the rejections in
	// a second that each survives.
	brittleTime       = 8 * time.Second
	brittleRejections = 3
	// brittleClients is how many clients ask for more than the engines have room for, and
	// brittleWork how long an engine works on each of their streams.
	brittleClients = 80
	brittleWork    = 800 * time.Millisecond
	// toleratedFalls, plus one in toleratedFallRatio of the engines, is how often they may fall
	// over.
	toleratedFalls     = 2
	toleratedFallRatio = 10
)

// checkBrittle makes the engines brittle while clients press for more than they serve. Each
// rejection also names a time in which its engine wants no request of that gateway.
func (d *driver) checkBrittle() {
	engines := d.s.endpoints[:d.s.size.endpoints-d.s.size.ledger]
	for _, e := range engines {
		e.SetBrittle(brittleRejections, true)
	}
	d.wait(cutOffGrace)
	before := d.s.checker.Falls()
	ctx, cancel := context.WithTimeout(d.ctx, brittleTime)
	defer cancel()
	var clients sync.WaitGroup
	var count servedCount
	for i := range brittleClients {
		clients.Go(func() {
			r := rand.New(rand.NewPCG(d.seed, uint64(4000+i)))
			client := standin.NewClient(d.s.checker)
			for ctx.Err() == nil && d.wait(requestPause) {
				attempt := d.randomAttempt(r)
				attempt.Kind, attempt.Model, attempt.Work = standin.Stream, fleetLimits.Models[r.IntN(2)].Name, brittleWork
				count.sent.Add(1)
				if d.sendOnce(client, d.s.gateways[r.IntN(len(d.s.gateways))], attempt) == standin.Served {
					count.served.Add(1)
				}
			}
		})
	}
	clients.Wait()
	for _, e := range engines {
		e.LiftBrittle()
	}
	falls := d.s.checker.Falls() - before
	d.logLine(fmt.Sprintf("brittle engines: %d falls of %d engines; %d of %d streams were served", falls, len(engines), count.served.Load(), count.sent.Load()))
	if falls > toleratedFalls+len(engines)/toleratedFallRatio && d.ctx.Err() == nil {
		d.s.checker.RecordViolation("brittle engines fell over %d times", falls)
	}
}
