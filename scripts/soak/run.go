package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// formTimeout bounds the bootstrap of the control group and the first change of
	// the fleet document.
	formTimeout = 15 * time.Second
	// recoveryTimeout bounds the time from the last fault until recoveredShare of
	// the requests are served again.
	recoveryTimeout = 12 * time.Second
	recoveredShare  = 0.9
	// applyTimeout bounds the time from the acknowledgement of a fleet document
	// until it is applied on every gateway, including the time to check that.
	applyTimeout = 2500 * time.Millisecond
	// drainTimeout bounds how long an endpoint may receive requests after it is
	// marked as leaving, including the lag of the live list.
	drainTimeout = 3500 * time.Millisecond
	// plannedStopPause is the time between two planned stops.
	plannedStopPause = 500 * time.Millisecond
)

// result is the result of a run.
type result struct {
	steps         int
	outcomes      [standin.OutcomeCount]int64
	newestVersion uint64
	violations    []string
}

// options configures a run.
type options struct {
	// dir is the folder for settings and logs, and bin that of the built programs.
	dir, bin string
	// run distinguishes the addresses of concurrent runs.
	run  int
	seed uint64
	size sizes
	// length is how long faults are injected, and series the number of series of
	// planned stops after them.
	length time.Duration
	series int
	// crashingRequest is set if a request that crashes endpoints is sent after the faults,
	// and crashingPart if requests are that share a part which does.
	crashingRequest, crashingPart bool
	// logLine logs a fault.
	logLine func(string)
}

// runSoak injects the faults of one seed and checks the guarantees.
func runSoak(ctx context.Context, o options) (result, error) {
	s, err := startSystem(o.dir, o.bin, o.run, o.size)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &driver{s: s, ctx: ctx, seed: o.seed, logLine: o.logLine}
	if err := d.waitForGroup(); err != nil {
		return result{}, err
	}
	go s.restartStopped()
	d.start()
	steps := schedule(o.seed, o.length, o.size)
	s.runSteps(steps, time.Now(), o.logLine)
	s.clearFaults()
	o.logLine("faults over")
	d.breakOffResponses()
	d.checkRecovery()
	d.checkChange()
	if o.crashingRequest {
		d.checkCrashingRequest()
	}
	if o.crashingPart {
		d.checkCrashingPart()
	}
	d.checkPlannedStops()
	d.checkStopsUnderLoad(o.series)
	d.checkLeaving()
	cancel()
	d.all.Wait()
	used := s.checker.CheckRetries(retryBudget)
	o.logLine(fmt.Sprintf("retries: at most %.0f %% of what is allowed in a window", 100*used))
	out := result{steps: len(steps), newestVersion: d.newestAcknowledged(), violations: s.checker.Violations()}
	for i := range out.outcomes {
		out.outcomes[i] = d.outcomes[i].Load()
	}
	return out, nil
}

// waitForGroup waits until the first fleet document is acknowledged.
func (d *driver) waitForGroup() error {
	o := standin.NewOperator()
	for end := time.Now().Add(formTimeout); time.Now().Before(end); {
		for _, n := range d.s.controls {
			if d.putDocument(d.ctx, o, n.operatorAddress) {
				return nil
			}
		}
		d.wait(100 * time.Millisecond)
	}
	return fmt.Errorf("no fleet document was acknowledged within %v of the start", formTimeout)
}

const (
	// breakingTime is how long every endpoint breaks off half of its responses, and
	// endlessTime how long it answers half of the requests with bytes without end.
	breakingTime = 2 * time.Second
	endlessTime  = time.Second
)

// breakOffResponses makes every endpoint break off responses, and then send bytes without
// end. The clients check that none of that looks complete.
func (d *driver) breakOffResponses() {
	d.injectEverywhere(breakingTime, func(f *standin.Faults) *atomic.Bool { return &f.TruncateResponses })
	d.injectEverywhere(endlessTime, func(f *standin.Faults) *atomic.Bool { return &f.EndlessBytes })
}

// injectEverywhere makes every endpoint have the fault for the time.
func (d *driver) injectEverywhere(within time.Duration, fault func(*standin.Faults) *atomic.Bool) {
	for _, e := range d.s.endpoints {
		fault(e.Faults()).Store(true)
	}
	d.wait(within)
	d.s.clearFaults()
}

// checkRecovery checks that requests are served again within recoveryTimeout.
func (d *driver) checkRecovery() {
	share := 0.0
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); {
		if share = d.servedShare(time.Second); share >= recoveredShare || d.ctx.Err() != nil {
			return
		}
	}
	d.s.checker.RecordViolation("a share of %.2f of the requests is served %v after the last fault", share, recoveryTimeout)
}

// checkChange changes the fleet document and checks that every gateway applies it
// within applyTimeout.
func (d *driver) checkChange() {
	o := standin.NewOperator()
	acked := false
	for end := time.Now().Add(4 * time.Second); !acked && time.Now().Before(end); {
		for _, n := range d.s.controls {
			acked = acked || d.putDocument(d.ctx, o, n.operatorAddress)
		}
	}
	if !acked {
		d.s.checker.RecordViolation("no change of the fleet document is acknowledged after the last fault")
		return
	}
	client := standin.NewClient(standin.NewChecker())
	version, end := d.newestAcknowledged(), time.Now().Add(applyTimeout)
	for _, n := range d.s.gateways {
		applied := false
		for !applied && time.Now().Before(end) && d.wait(50*time.Millisecond) {
			// A later version replaces this one.
			applied, _ = client.Applied(d.ctx, n.clientAddress, version)
			applied = applied || d.newestAcknowledged() > version
		}
		if !applied && d.ctx.Err() == nil {
			d.s.checker.RecordViolation("%s does not route by version %d of the fleet document within %v", n.name, version, applyTimeout)
		}
	}
}

const (
	// crashingTime is how long a request that crashes endpoints comes again and again,
	// crashingPartTime how long requests with a part that does, and crashingPause the time
	// between two of them.
	crashingTime     = 12 * time.Second
	crashingPartTime = 20 * time.Second
	crashingPause    = 120 * time.Millisecond
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

// checkPlannedStops restarts every gateway gracefully while clients send requests.
func (d *driver) checkPlannedStops() {
	d.logLine("planned stops")
	d.plannedStopsOnly.Store(true)
	for _, n := range d.s.gateways {
		n.stopAndHold(d.s, syscall.SIGTERM)
		if err := n.release(d.s); err != nil {
			d.s.checker.RecordViolation("%s did not start again: %v", n.name, err)
		}
		d.waitReady(n)
		d.wait(plannedStopPause)
	}
	d.plannedStopsOnly.Store(false)
}

func (d *driver) waitReady(n *node) {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && d.wait(50*time.Millisecond); {
		resp, err := http.Get("http://" + n.clientAddress + "/")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			return
		}
	}
}

// checkLeaving marks an engine as leaving and checks that it receives no requests
// after drainTimeout.
func (d *driver) checkLeaving() {
	e := d.s.endpoints[0]
	e.MarkLeaving()
	d.wait(drainTimeout)
	e.ExpectNoRequests()
	d.wait(time.Second)
}
