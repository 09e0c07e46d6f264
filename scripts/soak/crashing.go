package main

import (
	"context"
	"fmt"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// crashingTime is how long a request that crashes endpoints comes again and again,
	// crashingPartTime how long requests with a part that does, and crashingPause the time
	// between two of them.
	crashingTime     = 12 * time.Second
	crashingPartTime = 20 * time.Second
	crashingPause    = 120 * time.Millisecond
	// crashingReadPause is that between two reads that crash endpoints of the plain service,
	// smallServiceRestart how long one is down then, and readRetryPause the time after which
	// the client of such a read sends it again.
	crashingReadPause   = 60 * time.Millisecond
	smallServiceRestart = 3 * time.Second
	readRetryPause      = 120 * time.Millisecond
	// leaderKillDelay is the time from the first of them to the loss of the leader, if it is
	// lost: the crashes have happened and are not judged yet.
	leaderKillDelay = 400 * time.Millisecond
	// crashingCallers is the number of callers of such a read.
	crashingCallers = 8
)

// checkCrashingRequest sends a request that crashes each endpoint that runs it to all
// gateways in turn. The endpoints check how often it runs, and clients that no other
// request is refused for it.
func (d *driver) checkCrashingRequest() {
	content := standin.CrashingContent(fmt.Sprintf("of seed %d", d.seed))
	d.sendCrashing(standin.CrashCause{Content: content}, crashingTime, func(int) standin.Attempt { return standin.Attempt{Session: "c", Content: content} })
}

const (
	// usualTime is how long the usual share of streams that begin is measured, and
	// settleTime the time after the first request with a crashing part from which their
	// share is measured again: five crashes, and twice the time until the refusal.
	usualTime  = 4 * time.Second
	settleTime = 12 * time.Second
	// minStartedRatio is the least part of the usual share, over minStreams or more.
	minStartedRatio = 0.5
	minStreams      = 20
)

// checkCrashingPart does the same with requests of which no two are alike, and which have
// one part of their prompts in common. While they come, sound requests with the same first
// part must begin at the first attempt nearly as often as before.
func (d *driver) checkCrashingPart() {
	usual, _ := d.startedShare(usualTime)
	part := standin.CrashingPart(fmt.Sprintf("%x", d.seed))
	measured := make(chan struct{})
	d.all.Go(func() {
		defer close(measured)
		d.wait(settleTime)
		share, n := d.startedShare(crashingPartTime - settleTime)
		d.logLine(fmt.Sprintf("sound streams: %.3f of %d began at the first attempt, %.3f before", share, n, usual))
		if n >= minStreams && share < minStartedRatio*usual {
			d.s.checker.RecordViolation("a share of %.2f of %d sound streams began at the first attempt beside a crashing part, %.2f before", share, n, usual)
		}
	})
	d.sendCrashing(standin.CrashCause{Part: part}, crashingPartTime, func(i int) standin.Attempt {
		return standin.Attempt{Session: fmt.Sprintf("c%d", i), Part: part}
	})
	<-measured
}

// sendCrashing sends the attempts, which the cause makes crash endpoints, for the time.
func (d *driver) sendCrashing(cause standin.CrashCause, within time.Duration, attempt func(i int) standin.Attempt) {
	client := standin.NewClient(d.s.checker)
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end) && d.wait(crashingPause); i++ {
		a := attempt(i)
		a.ID, a.Kind, a.Model = fmt.Sprintf("%x-crash-%s%d", d.seed, cause.Part, i), standin.Stream, fleetLimits.Models[0].Name
		gateway := d.s.gateways[i%len(d.s.gateways)]
		d.all.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
			defer cancel()
			client.Do(ctx, gateway.clientAddress, a)
		})
	}
	d.logLine(fmt.Sprintf("%s: endpoints crashed at %v", cause, d.s.checker.Crashes(cause)))
}

// checkCrashingRead sends a read that crashes each endpoint of the plain service that runs
// it, from several callers, beside the requests of the other clients. Each caller sends it
// again once if it gets no answer, as clients do. With leaderChange all control replicas are
// killed leaderKillDelay after the first one.
func (d *driver) checkCrashingRead(leaderChange bool) {
	for _, e := range d.s.endpoints[d.s.size.endpoints-d.s.size.ledger:] {
		e.SetRestartTime(smallServiceRestart)
	}
	var callers []*standin.Client
	for i := range crashingCallers {
		callers = append(callers, standin.NewClientAt(d.s.checker, callerIP(i)))
	}
	if leaderChange {
		d.all.Go(func() {
			d.wait(leaderKillDelay)
			d.killAndRestart(d.s.controls)
		})
	}
	content := standin.CrashingContent(fmt.Sprintf("read of seed %d", d.seed))
	end := time.Now().Add(crashingTime)
	for i := 0; time.Now().Before(end) && d.wait(crashingReadPause); i++ {
		d.all.Go(func() { d.sendCrashingRead(callers[i%len(callers)], i, content) })
	}
	d.logLine(fmt.Sprintf("%s: endpoints crashed at %v", standin.CrashCause{Content: content}, d.s.checker.Crashes(standin.CrashCause{Content: content})))
}

// sendCrashingRead sends the read to a gateway, and again to the next one if it fails.
func (d *driver) sendCrashingRead(client *standin.Client, i int, content string) {
	for try := range 2 {
		ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
		a := standin.Attempt{ID: fmt.Sprintf("%x-crash-read%d-%d", d.seed, i, try), Kind: standin.Idempotent, Content: content}
		client.Do(ctx, d.s.gateways[(i+try)%len(d.s.gateways)].clientAddress, a)
		cancel()
		d.wait(readRetryPause)
	}
}
