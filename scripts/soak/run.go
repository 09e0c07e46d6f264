package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
)

const (
	// formLimit bounds the forming of the group and the first configuration.
	formLimit = 15 * time.Second
	// recoverLimit is how long after the last fault the system serves again, and
	// recoverShare of the calls are then served.
	recoverLimit = 12 * time.Second
	recoverShare = 0.9
	// applyLimit is how long after its acknowledgement a configuration is in
	// force on every gateway, with the time to ask.
	applyLimit = 2500 * time.Millisecond
	// drainLimit is how long after it is listed as leaving an endpoint still gets
	// requests, with the lag of the list.
	drainLimit = 3500 * time.Millisecond
	// rollPause is the time between two planned stops.
	rollPause = 500 * time.Millisecond
)

// result is what a run showed.
type result struct {
	steps    int
	outcomes [standin.OutcomeCount]int64
	changes  uint64
	broken   []string
}

// soak plays the faults of one seed and checks the promises.
func soak(ctx context.Context, dir, bin string, run int, seed uint64, length time.Duration, note func(string)) (result, error) {
	s, err := startSystem(dir, bin, run)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &driver{s: s, ctx: ctx, seed: seed}
	if err := d.form(); err != nil {
		return result{}, err
	}
	go s.revive()
	d.start()
	steps := schedule(seed, length, size)
	s.play(steps, time.Now(), note)
	s.heal()
	note("faults over")
	d.checkRecovery()
	d.checkChange()
	d.checkPlannedStops(note)
	d.checkLeaving()
	cancel()
	d.all.Wait()
	out := result{steps: len(steps), changes: d.newest(), broken: s.ledger.Violations()}
	for i := range out.outcomes {
		out.outcomes[i] = d.outcomes[i].Load()
	}
	return out, nil
}

// form waits until the first configuration is acknowledged.
func (d *driver) form() error {
	o := standin.NewOperator()
	for end := time.Now().Add(formLimit); time.Now().Before(end); {
		for _, n := range d.s.controls {
			if d.change(d.ctx, o, n.operator) {
				return nil
			}
		}
		d.pause(100 * time.Millisecond)
	}
	return fmt.Errorf("no group has formed within %v", formLimit)
}

// checkRecovery waits until calls are served again.
func (d *driver) checkRecovery() {
	share := 0.0
	for end := time.Now().Add(recoverLimit); time.Now().Before(end); {
		if share = d.served(time.Second); share >= recoverShare || d.ctx.Err() != nil {
			return
		}
	}
	d.s.ledger.RecordViolation("%.2f of the calls are served %v after the last fault", share, recoverLimit)
}

// checkChange changes the configuration and expects it in force everywhere.
func (d *driver) checkChange() {
	o := standin.NewOperator()
	acked := false
	for end := time.Now().Add(4 * time.Second); !acked && time.Now().Before(end); {
		for _, n := range d.s.controls {
			acked = acked || d.change(d.ctx, o, n.operator)
		}
	}
	if !acked {
		d.s.ledger.RecordViolation("no configuration is acknowledged after the faults")
		return
	}
	c := standin.NewClient(standin.NewChecker())
	version, end := d.newest(), time.Now().Add(applyLimit)
	for _, n := range d.s.gateways {
		in := false
		for !in && time.Now().Before(end) && d.pause(50*time.Millisecond) {
			// A later version replaces this one.
			in, _ = c.Applied(d.ctx, n.callers, version)
			in = in || d.newest() > version
		}
		if !in && d.ctx.Err() == nil {
			d.s.ledger.RecordViolation("%s does not route by configuration %d within %v", n.name, version, applyLimit)
		}
	}
}

// checkPlannedStops restarts every gateway gracefully while callers go on.
func (d *driver) checkPlannedStops(note func(string)) {
	note("planned stops")
	d.planned.Store(true)
	for _, n := range d.s.gateways {
		n.hold(d.s, syscall.SIGTERM)
		if err := n.release(d.s); err != nil {
			d.s.ledger.RecordViolation("%s did not start again: %v", n.name, err)
		}
		d.awaitReady(n)
		d.pause(rollPause)
	}
	d.planned.Store(false)
}

func (d *driver) awaitReady(n *node) {
	for end := time.Now().Add(recoverLimit); time.Now().Before(end) && d.pause(50*time.Millisecond); {
		resp, err := http.Get("http://" + n.callers + "/")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			return
		}
	}
}

// checkLeaving lets an engine leave and expects no request there after a while.
func (d *driver) checkLeaving() {
	e := d.s.endpoints[0]
	e.MarkLeaving()
	d.pause(drainLimit)
	e.ExpectNoRequests()
	d.pause(time.Second)
}
