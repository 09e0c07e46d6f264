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
	// stops are the columns on planned stops, cuts those without a response in them by kind and
	// reason, and takenUp and wentOn the streams that clients took up and those that went on.
	stops           string
	cuts            map[string]int
	takenUp, wentOn int64
	// forms are the lines of the table of the forms.
	forms []string
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
	// crashingPart if requests are that share a part which does, and crashingRead if a read
	// of the plain service is.
	crashingRequest, crashingPart, crashingRead bool
	// leaderChange is set if all control replicas are killed soon after the first read of
	// crashingRead.
	leaderChange bool
	// limits is set if endpoints name limits after the faults.
	limits bool
	// versions is set if whole domains of gateways are killed, after the faults, while clients
	// have long streams.
	versions bool
	// cutOff is set if gateways are cut off from all endpoints, after the faults.
	cutOff bool
	// brittle is set if engines are brittle under more load than they serve, after the faults.
	brittle bool
	// workspaces is set if the documents declare workspaces with keys, which change, and
	// quotas, one of which is exceeded.
	workspaces bool
	// forms is set if the forms of lost requests are played in place of faults, those whose
	// names contain form.
	forms bool
	form  string
	// logLine logs a fault.
	logLine func(string)
}

// runSoak injects the faults of one seed and checks the guarantees.
func runSoak(ctx context.Context, o options) (result, error) {
	if o.forms {
		var lines []string
		r, err := runWith(ctx, o, func(d *driver, _ options) { lines = d.runForms(o.form) })
		r.forms = lines
		return r, err
	}
	steps := schedule(o.seed, o.length, o.size)
	r, err := runWith(ctx, o, func(d *driver, o options) { d.checkAll(o, steps) })
	r.steps = len(steps)
	return r, err
}

// runWith starts a system and its clients, runs the checks, and checks what was counted.
func runWith(ctx context.Context, o options, checks func(*driver, options)) (result, error) {
	s, err := startSystem(o.dir, o.bin, o.run, o.size, o.workspaces && failsClosed(o.seed))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &driver{s: s, ctx: ctx, seed: o.seed, logLine: o.logLine}
	if o.workspaces {
		d.workspaces = soakWorkspaces(o.seed)
		s.checker.ExpectWorkspaces(d.workspaces)
	}
	if err := d.waitForGroup(); err != nil {
		return result{}, err
	}
	go s.restartStopped()
	if o.forms {
		d.all.Go(d.watchStalls)
	} else {
		d.start()
	}
	checks(d, o)
	cancel()
	d.all.Wait()
	o.logLine(fmt.Sprintf("%d of %d requests with keys that were being removed ran after the removal", d.stale.served.Load(), d.stale.sent.Load()))
	for _, line := range s.checker.CheckQuotas() {
		o.logLine(line)
	}
	used := s.checker.CheckRetries(retryBudget)
	o.logLine(fmt.Sprintf("retries: at most %.0f %% of what is allowed in a window", 100*used))
	out := result{
		newestVersion: d.newestAcknowledged(), violations: s.checker.Violations(), stops: d.stops.String(), cuts: d.stops.cuts,
		takenUp: d.longStreams.takenUp.Load(), wentOn: d.longStreams.wentOn.Load(),
	}
	for i := range out.outcomes {
		out.outcomes[i] = d.outcomes[i].Load()
	}
	return out, nil
}

// checkAll injects the faults of the steps and those that the options add.
func (d *driver) checkAll(o options, steps []step) {
	d.s.runSteps(steps, time.Now(), o.logLine)
	d.s.clearFaults()
	o.logLine("faults over")
	d.breakOffResponses()
	d.checkRecovery()
	d.checkChange()
	if o.workspaces {
		d.checkGreedy()
		d.checkRecovery()
	}
	if o.versions {
		d.checkVersions()
		d.checkRecovery()
		d.checkLossOfAllGateways()
		d.checkRecovery()
	}
	if o.cutOff {
		d.whileCalm(d.checkCutOff)
		d.checkRecovery()
	}
	if o.brittle {
		d.whileCalm(d.checkBrittle)
		d.checkRecovery()
	}
	if o.limits {
		d.checkLimits()
	}
	if o.crashingRequest {
		d.checkCrashingRequest()
	}
	if o.crashingPart {
		d.checkCrashingPart()
	}
	if o.crashingRead {
		d.checkCrashingRead(o.leaderChange)
	}
	d.whileCalm(d.checkPlannedStops)
	d.checkStopsUnderLoad(o.series)
	d.checkLeaving()
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
