package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// streamClients is how many clients have long streams while gateways are killed, and
	// streamWork how long an endpoint works on one.
	streamClients = 16
	streamWork    = 1500 * time.Millisecond
	// domainKillInterval is the time between two kills of all gateways of a domain.
	domainKillInterval = 3 * time.Second
	// minTakenUp is the number of streams that clients take up again from which the share that
	// goes on counts, and minTakenUpRatio the least ratio of that share and the share of new
	// streams that begin.
	minTakenUp      = 12
	minTakenUpRatio = 0.5
	// maxTries bounds the attempts of a client at one stream.
	maxTries = 3
)

// streamCounts counts the streams that clients began and those that they took up again.
type streamCounts struct{ sent, begun, takenUp, wentOn atomic.Int64 }

// checkVersions kills all gateways of a domain at once, one domain after the other, with an
// engine and, in the last round, the control replicas, while clients have long streams, which
// they take up at other gateways. The endpoints, of two software versions, check that no
// stream goes on at another version.
func (d *driver) checkVersions() {
	var c streamCounts
	d.whileStreaming(&c, func() {
		for domainIndex := range domainCount {
			if !d.wait(domainKillInterval) {
				return
			}
			d.killDomain(domainIndex)
		}
		d.wait(domainKillInterval)
	})
	d.judgeTakenUp(&c)
}

// checkLossOfAllGateways kills all gateways at once while clients have long streams and both
// software versions serve, and again when all engines of one version have just ended. The
// endpoints check that no stream goes on at another version.
func (d *driver) checkLossOfAllGateways() {
	var c streamCounts
	engines := d.s.endpoints[:d.s.size.endpoints-d.s.size.ledger]
	version := engines[0].SoftwareVersion()
	ended := slices.DeleteFunc(slices.Clone(engines), func(e *standin.Endpoint) bool { return e.SoftwareVersion() != version })
	d.whileStreaming(&c, func() {
		d.wait(domainKillInterval)
		d.killAllGateways()
		d.wait(domainKillInterval)
		d.logLine(fmt.Sprintf("all %d engines of %s end", len(ended), version))
		for _, e := range ended {
			e.Crash()
		}
		d.killAllGateways()
		d.wait(domainKillInterval)
	})
	for _, e := range ended {
		if err := e.Start(); err != nil {
			d.s.checker.RecordViolation("the engine %s did not start again: %v", e.Address(), err)
		}
	}
	resumed, mixed := d.s.checker.ResumedStreams()
	d.logLine(fmt.Sprintf("streams over losses of all gateways: %d of %d began, %d of %d taken up went on; %d runs of all went on with a stream, %d at another version",
		c.begun.Load(), c.sent.Load(), c.wentOn.Load(), c.takenUp.Load(), resumed, mixed))
}

// killAllGateways kills all gateways at once. They start again restartDelay later.
func (d *driver) killAllGateways() {
	d.logLine("all gateways are killed")
	for _, n := range d.s.gateways {
		n.signal(syscall.SIGKILL)
	}
	d.killAndRestart(d.s.gateways)
}

// whileStreaming calls f while clients have long streams, which it counts in c.
func (d *driver) whileStreaming(c *streamCounts, f func()) {
	var clients sync.WaitGroup
	ctx, cancel := context.WithCancel(d.ctx)
	for i := range streamClients {
		clients.Go(func() {
			r := rand.New(rand.NewPCG(d.seed, uint64(2000+i)))
			for ctx.Err() == nil && d.wait(requestPause) {
				d.doLongStream(r, c)
			}
		})
	}
	f()
	cancel()
	clients.Wait()
	d.longStreams.takenUp.Add(c.takenUp.Load())
	d.longStreams.wentOn.Add(c.wentOn.Load())
}

// killDomain kills the gateways of a domain and an engine, and the control replicas with the
// last domain. They start again restartDelay later.
func (d *driver) killDomain(i int) {
	var nodes []*node
	for n, g := range d.s.gateways {
		if n%domainCount == i {
			nodes = append(nodes, g)
		}
	}
	if i == domainCount-1 {
		nodes = append(nodes, d.s.controls...)
	}
	engine := d.s.endpoints[i]
	d.logLine(fmt.Sprintf("%s: all gateways of %s and %s, of %s, are killed; engines by version: %s",
		time.Now().Format("15:04:05.000"), domain(i), engine.Address(), engine.SoftwareVersion(), d.runningVersions()))
	// All at once: stopAndHold then finds them dead.
	for _, n := range nodes {
		n.signal(syscall.SIGKILL)
	}
	engine.Crash()
	d.killAndRestart(nodes)
	if err := engine.Start(); err != nil {
		d.s.checker.RecordViolation("the engine %s did not start again: %v", engine.Address(), err)
	}
	d.logLine(fmt.Sprintf("%s: %s runs again, of %s", time.Now().Format("15:04:05.000"), engine.Address(), engine.SoftwareVersion()))
}

// doLongStream sends a stream and takes it up again at other gateways while it is broken off.
func (d *driver) doLongStream(r *rand.Rand, c *streamCounts) {
	client := standin.NewClient(d.s.checker)
	attempt := d.randomAttempt(r)
	attempt.Kind, attempt.Model, attempt.Work = standin.ResumableStream, fleetLimits.Models[r.IntN(len(fleetLimits.Models))].Name, streamWork
	root := ""
	for range maxTries {
		ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
		outcome, last, _ := client.DoStream(ctx, d.s.gateways[r.IntN(len(d.s.gateways))].clientAddress, attempt)
		cancel()
		if d.ctx.Err() != nil {
			return
		}
		c.count(root != "", outcome, last > attempt.LastEvent)
		switch {
		case outcome == standin.Served:
			return
		case root == "" && last > 0:
			root = attempt.ID
		}
		// A gateway that cannot be reached, or that refuses, is left for another one.
		d.wait(100 * time.Millisecond)
		attempt.ID, attempt.Resumes, attempt.LastEvent = d.randomAttempt(r).ID, root, max(attempt.LastEvent, last)
	}
}

// count counts an attempt that reached a gateway. wentOn is set if it brought an event.
func (c *streamCounts) count(takenUp bool, outcome standin.Outcome, wentOn bool) {
	total, good := &c.sent, &c.begun
	if takenUp {
		total, good = &c.takenUp, &c.wentOn
	}
	if outcome == standin.Unreachable {
		return
	}
	total.Add(1)
	if outcome == standin.Served || wentOn {
		good.Add(1)
	}
}

// judgeTakenUp checks that streams that are taken up go on nearly as often as new ones begin.
func (d *driver) judgeTakenUp(c *streamCounts) {
	share := func(good, total *atomic.Int64) float64 {
		return float64(good.Load()) / float64(max(total.Load(), 1))
	}
	begun, wentOn := share(&c.begun, &c.sent), share(&c.wentOn, &c.takenUp)
	resumed, mixed := d.s.checker.ResumedStreams()
	d.logLine(fmt.Sprintf("streams: %d of %d began, %d of %d taken up went on; %d runs went on with a stream, %d at another version",
		c.begun.Load(), c.sent.Load(), c.wentOn.Load(), c.takenUp.Load(), resumed, mixed))
	if c.takenUp.Load() >= minTakenUp && wentOn < minTakenUpRatio*begun && d.ctx.Err() == nil {
		d.logRefusedTakeUps()
		d.s.checker.RecordViolation("a share of %.2f of the %d streams that were taken up went on, one of %.2f of new streams began", wentOn, c.takenUp.Load(), begun)
	}
}

// logRefusedTakeUps logs what the gateways logged of the streams that were taken up and not
// served, since a failed test may leave nothing else.
func (d *driver) logRefusedTakeUps() {
	for _, n := range d.s.gateways {
		text, err := os.ReadFile(n.logPath(d.s))
		if err != nil {
			d.logLine(fmt.Sprintf("the log of %s cannot be read: %v", n.name, err))
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, " resumes=") && !strings.Contains(line, " outcome=served ") {
				d.logLine(strings.TrimSpace(line))
			}
		}
	}
}

// runningVersions returns how many engines run each software version, as in "v1:4 v1.1:2".
func (d *driver) runningVersions() string {
	counts := map[string]int{}
	for _, e := range d.s.endpoints[:d.s.size.endpoints-d.s.size.ledger] {
		if e.Running() {
			counts[e.SoftwareVersion()]++
		}
	}
	var out []string
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s:%d", version, counts[version]))
	}
	return strings.Join(out, " ")
}
