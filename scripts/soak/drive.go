package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"parsleyramp/platform/standin"
)

const (
	clientCount = 24
	// requestPause is the time between two requests of a client.
	requestPause = 30 * time.Millisecond
	// meanChangePause is the mean time between two calls of an operator.
	meanChangePause = 400 * time.Millisecond
	watchPause      = 150 * time.Millisecond
	requestTimeout  = 9 * time.Second
)

// driver simulates the clients and operators of a system.
type driver struct {
	s       *system
	ctx     context.Context
	seed    uint64
	logLine func(string)
	all     sync.WaitGroup

	attempts atomic.Int64
	outcomes [standin.OutcomeCount]atomic.Int64
	// streams and startedStreams count the streams of sound requests that have ended, and
	// those of them that began at the first attempt. All have the first part of their
	// prompts and their caller in common.
	streams, startedStreams atomic.Int64
	// plannedStopsOnly is set while gateways are only stopped as planned, so that no
	// response may be aborted. stopsUnderLoad is set while, besides, requests may last
	// longer than the grace period and endpoints leave.
	plannedStopsOnly, stopsUnderLoad atomic.Bool
	// stops counts the attempts in planned stops, and longStreams the streams that clients took
	// up again.
	stops       stopCounts
	longStreams streamCounts

	// workspaces are those that documents declare; empty if requests carry no key.
	workspaces []standin.Workspace
	// greedy counts the requests of the greedy workspace.
	greedy servedCount
	// stale counts the requests of clients with keys that are being removed, and those of them
	// that ran after the removal was acknowledged.
	stale servedCount
	// calmSince is since when, in nanoseconds of Unix time, every gateway has contact to
	// control; zero if that is not known.
	calmSince atomic.Int64

	mu           sync.Mutex
	version      uint64
	acknowledged uint64
}

func (d *driver) start() {
	d.all.Go(d.watchStalls)
	for i := range clientCount {
		d.all.Go(func() { d.sendRequests(rand.New(rand.NewPCG(d.seed, uint64(i)))) })
	}
	if len(d.workspaces) > 0 {
		d.startWorkspaces()
	}
	for i := range 2 {
		d.all.Go(func() { d.changeDocuments(rand.New(rand.NewPCG(d.seed, uint64(1000+i)))) })
	}
	for _, n := range d.s.gateways {
		d.all.Go(func() { d.watchGateway(n) })
	}
}

const (
	// tickInterval is the time between two checks whether this process runs, and minStall the
	// delay of one from which it counts as a stall.
	tickInterval = 50 * time.Millisecond
	minStall     = 300 * time.Millisecond
)

// watchStalls logs when this process stood still. The clients, the endpoints and the proxies are
// in it, so that all times that it measures include its stalls.
func (d *driver) watchStalls() {
	last := time.Now()
	for d.wait(tickInterval) {
		now := time.Now()
		if stall := now.Sub(last) - tickInterval; stall >= minStall {
			d.logLine(fmt.Sprintf("this process stood still for %v, until %s", stall.Round(time.Millisecond), now.Format("15:04:05.000")))
		}
		last = now
	}
}

// sendRequests sends requests one after another. The popular model changes over
// time.
func (d *driver) sendRequests(r *rand.Rand) {
	client := standin.NewClient(d.s.checker)
	for d.wait(requestPause) {
		attempt := d.randomAttempt(r)
		d.do(client, d.s.gateways[r.IntN(len(d.s.gateways))], attempt)
	}
}

// sendOnce sends the attempt to a gateway and returns its outcome.
func (d *driver) sendOnce(client *standin.Client, n *node, attempt standin.Attempt) standin.Outcome {
	ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
	defer cancel()
	outcome, _ := client.Do(ctx, n.clientAddress, attempt)
	return outcome
}

// do sends the attempt to a gateway and checks its outcome.
func (d *driver) do(client *standin.Client, n *node, attempt standin.Attempt) {
	ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
	defer cancel()
	plannedOnly, underLoad := d.plannedStopsOnly.Load(), d.stopsUnderLoad.Load()
	started := time.Now()
	outcome, sending := client.Do(ctx, n.clientAddress, attempt)
	ended := time.Now()
	if d.ctx.Err() != nil {
		return
	}
	d.outcomes[outcome].Add(1)
	if attempt.Model != "" {
		d.streams.Add(1)
		if d.s.checker.RunState(attempt.ID) != standin.NotRun {
			d.startedStreams.Add(1)
		}
	}
	if !plannedOnly {
		return
	}
	if outcome == standin.Aborted {
		d.awaitRunEnd(attempt.ID)
	}
	state := d.s.checker.RunState(attempt.ID)
	stoppedAt, during := n.lastStop(started)
	a := abort{
		kind: attempt.Kind, sent: !sending.Whole.IsZero(), sentSinceStop: sending.Whole.Sub(stoppedAt), state: state,
		lasted: ended.Sub(started), silent: ended.Sub(started), sinceStop: ended.Sub(stoppedAt),
	}
	if !sending.Begun.IsZero() {
		a.silent = sending.Begun.Sub(started)
	}
	if end := d.s.checker.RunEnd(attempt.ID); !end.IsZero() {
		a.workedUntil = end.Sub(stoppedAt)
	}
	if during && outcome != standin.Unreachable {
		d.stops.count(a)
	}
	switch {
	case outcome == standin.Rejected && state != standin.NotRun:
		d.s.checker.RecordViolation("attempt %s (%s, %s) was rejected by %s although it ran", attempt.ID, attempt.Kind, state, n.name)
	case outcome == standin.Aborted:
		d.recordAbort(n, attempt, a, underLoad)
	}
}

// runEndTime bounds the time from the end of a connection until an endpoint has noticed it.
const runEndTime = 500 * time.Millisecond

// awaitRunEnd waits until the endpoint that runs the attempt has ended the run, which tells who has
// broken it off, or for runEndTime.
func (d *driver) awaitRunEnd(attempt string) {
	for end := time.Now().Add(runEndTime); time.Now().Before(end); {
		if d.s.checker.RunState(attempt) == standin.NotRun || !d.s.checker.RunEnd(attempt).IsZero() || !d.wait(10*time.Millisecond) {
			return
		}
	}
}

// recordAbort counts an attempt without a complete response, and checks whether it is lost.
func (d *driver) recordAbort(n *node, attempt standin.Attempt, a abort, underLoad bool) {
	reason, lost := a.reason(underLoad)
	d.stops.countCut(a, reason, lost)
	if lost {
		d.s.checker.RecordViolation("attempt %s (%v) was aborted by %s although gateways were only stopped as planned: %s", attempt.ID, a, n.name, reason)
		return
	}
	d.logLine(fmt.Sprintf("attempt %s (%v) was aborted by %s, which is allowed: %s", attempt.ID, a, n.name, reason))
}

func (d *driver) randomAttempt(r *rand.Rand) standin.Attempt {
	attempt := standin.Attempt{ID: fmt.Sprintf("%x-%d", d.seed, d.attempts.Add(1)), Kind: standin.Kind(r.IntN(4))}
	if attempt.Kind == standin.Stream || attempt.Kind == standin.ResumableStream {
		// The popular model changes every two seconds.
		popular := int(time.Now().UnixMilli()/2000) % len(fleetLimits.Models)
		m := fleetLimits.Models[(popular+int(r.ExpFloat64()))%len(fleetLimits.Models)]
		attempt.Model, attempt.Session = m.Name, fmt.Sprintf("%x", r.IntN(40))
		if m.Adapters > 0 && r.IntN(2) == 0 {
			attempt.Model += fmt.Sprintf("/a%d", 1+r.IntN(m.Adapters))
		}
	}
	return attempt
}

// wait waits for the time t. It returns false if the run ends before.
func (d *driver) wait(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

// changeDocuments changes and reads the fleet document through random replicas.
func (d *driver) changeDocuments(r *rand.Rand) {
	o := standin.NewOperator()
	for d.wait(time.Duration(r.ExpFloat64() * float64(meanChangePause))) {
		operatorAddress := d.s.controls[r.IntN(len(d.s.controls))].operatorAddress
		switch r.IntN(8) {
		case 0:
			if status := o.Put(d.ctx, operatorAddress, standin.InvalidDocument); status == 200 {
				d.s.checker.RecordViolation("a fleet document that names an unknown service was acknowledged")
			}
		case 1, 2, 3:
			d.readDocument(o, operatorAddress)
		default:
			d.putDocument(d.ctx, o, operatorAddress)
		}
	}
}

// putDocument sends the next version of the fleet document and reports whether it
// was acknowledged.
func (d *driver) putDocument(ctx context.Context, o *standin.Operator, operatorAddress string) bool {
	return d.putDocumentWith(ctx, o, operatorAddress, fleetLimits)
}

// putDocumentWith is putDocument with the limits, and so the models, of the engines.
func (d *driver) putDocumentWith(ctx context.Context, o *standin.Operator, operatorAddress string, limits *standin.Limits) bool {
	d.mu.Lock()
	d.version += 1 + uint64(d.version%3)
	version := d.version
	d.mu.Unlock()
	d.s.checker.RecordSent(version)
	status := o.Put(ctx, operatorAddress, standin.Document(version, limits, d.workspaces))
	if status >= 400 && status < 500 {
		d.s.checker.RecordViolation("version %d of the fleet document was rejected with status %d", version, status)
	}
	if status != 200 {
		return false
	}
	d.s.checker.RecordAcknowledged(version)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acknowledged = max(d.acknowledged, version)
	return true
}

func (d *driver) newestAcknowledged() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acknowledged
}

// readDocument checks that a read does not return an older version than the newest
// one acknowledged before it. It reports whether the read was answered.
func (d *driver) readDocument(o *standin.Operator, operatorAddress string) bool {
	acknowledged := d.newestAcknowledged()
	got, ok := o.Get(d.ctx, operatorAddress)
	if ok && got < acknowledged {
		d.s.checker.RecordViolation("read version %d of the fleet document after version %d was acknowledged", got, acknowledged)
	}
	return ok
}

// watchGateway checks that a gateway never returns to an older version of the
// fleet document without a restart.
func (d *driver) watchGateway(n *node) {
	client := standin.NewClient(standin.NewChecker())
	seen, incarnation := uint64(0), 0
	for d.wait(watchPause) {
		newest := d.newestAcknowledged()
		for _, version := range []uint64{newest, seen} {
			before := n.incarnation()
			applied, known := client.Applied(d.ctx, n.clientAddress, version)
			if !known || version == 0 || n.incarnation() != before {
				continue
			}
			if before != incarnation {
				seen, incarnation = 0, before
			}
			if applied && version < seen {
				d.s.checker.RecordViolation("%s routes by version %d of the fleet document after version %d", n.name, version, seen)
			}
			if applied {
				seen = max(seen, version)
			}
		}
	}
}

// servedShare waits for the given time and returns the share of the requests that
// ended during it which were served.
func (d *driver) servedShare(within time.Duration) float64 {
	servedBefore, totalBefore := d.outcomes[standin.Served].Load(), d.total()
	d.wait(within)
	return float64(d.outcomes[standin.Served].Load()-servedBefore) / float64(max(d.total()-totalBefore, 1))
}

// startedShare waits for the given time and returns the share of the streams that ended
// during it which began at the first attempt, and their number.
func (d *driver) startedShare(within time.Duration) (share float64, streams int64) {
	startedBefore, before := d.startedStreams.Load(), d.streams.Load()
	d.wait(within)
	streams = d.streams.Load() - before
	return float64(d.startedStreams.Load()-startedBefore) / float64(max(streams, 1)), streams
}

func (d *driver) total() int64 {
	sum := int64(0)
	for i := range d.outcomes {
		sum += d.outcomes[i].Load()
	}
	return sum
}
