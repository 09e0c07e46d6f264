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
	callers = 24
	// callPause is the time between two calls of a caller.
	callPause = 30 * time.Millisecond
	// changePause is the mean time between two changes of the configuration.
	changePause = 400 * time.Millisecond
	probePause  = 150 * time.Millisecond
	// crossing bounds how long a request lasts that crosses a close.
	crossing    = 200 * time.Millisecond
	callTimeout = 9 * time.Second
)

// driver plays callers and operators against a system.
type driver struct {
	s    *system
	ctx  context.Context
	seed uint64
	all  sync.WaitGroup

	attempts atomic.Int64
	outcomes [standin.OutcomeCount]atomic.Int64
	// planned is set while nothing but planned work goes on, so that no answer
	// may be broken off.
	planned atomic.Bool

	mu      sync.Mutex
	version uint64
	acked   uint64
}

func (d *driver) start() {
	for i := range callers {
		d.all.Go(func() { d.call(rand.New(rand.NewPCG(d.seed, uint64(i)))) })
	}
	for i := range 2 {
		d.all.Go(func() { d.operate(rand.New(rand.NewPCG(d.seed, uint64(1000+i)))) })
	}
	for _, n := range d.s.gateways {
		d.all.Go(func() { d.watch(n) })
	}
}

// call sends one request after the other. The models asked for change.
func (d *driver) call(r *rand.Rand) {
	c := standin.NewClient(d.s.ledger)
	for d.pause(callPause) {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
		call := d.draw(r)
		planned := d.planned.Load()
		began := time.Now()
		outcome := c.Do(ctx, d.s.gateways[r.IntN(len(d.s.gateways))].callers, call)
		cancel()
		if d.ctx.Err() != nil {
			return
		}
		d.outcomes[outcome].Add(1)
		// A request that crosses the close of an idle connection is not taken, and
		// its caller knows that at once.
		taken := d.s.ledger.HasRun(call.ID) || time.Since(began) > crossing
		if outcome == standin.Aborted && planned && taken {
			d.s.ledger.RecordViolation("attempt %s was cut off though only planned stops went on", call.ID)
		}
	}
}

func (d *driver) draw(r *rand.Rand) standin.Attempt {
	c := standin.Attempt{ID: fmt.Sprintf("%x-%d", d.seed, d.attempts.Add(1)), Kind: standin.Kind(r.IntN(4))}
	if c.Kind == standin.Stream || c.Kind == standin.ResumableStream {
		// The popular model is another one every two seconds.
		popular := int(time.Now().UnixMilli()/2000) % len(fleetLimits.Models)
		m := fleetLimits.Models[(popular+int(r.ExpFloat64()))%len(fleetLimits.Models)]
		c.Model, c.Session = m.Name, fmt.Sprintf("%x", r.IntN(40))
		if m.Adapters > 0 && r.IntN(2) == 0 {
			c.Model += fmt.Sprintf("/a%d", 1+r.IntN(m.Adapters))
		}
	}
	return c
}

// pause waits and returns false once the run is over.
func (d *driver) pause(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

// operate changes and reads the configuration through any replica.
func (d *driver) operate(r *rand.Rand) {
	o := standin.NewOperator()
	for d.pause(time.Duration(r.ExpFloat64() * float64(changePause))) {
		at := d.s.controls[r.IntN(len(d.s.controls))].operator
		switch r.IntN(8) {
		case 0:
			if status := o.Put(d.ctx, at, standin.InvalidDocument); status == 200 {
				d.s.ledger.RecordViolation("a configuration that names an unknown service was acknowledged")
			}
		case 1, 2, 3:
			d.read(o, at)
		default:
			d.change(d.ctx, o, at)
		}
	}
}

// change sends the next version and returns whether it was acknowledged.
func (d *driver) change(ctx context.Context, o *standin.Operator, at string) bool {
	d.mu.Lock()
	d.version += 1 + uint64(d.version%3)
	version := d.version
	d.mu.Unlock()
	status := o.Put(ctx, at, standin.Document(version, fleetLimits))
	if status >= 400 && status < 500 {
		d.s.ledger.RecordViolation("configuration %d was refused with %d", version, status)
	}
	if status != 200 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acked = max(d.acked, version)
	return true
}

func (d *driver) newest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acked
}

// read checks that no read is older than what was acknowledged before it.
func (d *driver) read(o *standin.Operator, at string) bool {
	acked := d.newest()
	got, ok := o.Get(d.ctx, at)
	if ok && got < acked {
		d.s.ledger.RecordViolation("read configuration %d after %d was acknowledged", got, acked)
	}
	return ok
}

// watch checks that a gateway never goes back to an older configuration.
func (d *driver) watch(n *node) {
	c := standin.NewClient(standin.NewChecker())
	seen, incarnation := uint64(0), 0
	for d.pause(probePause) {
		newest := d.newest()
		for _, version := range []uint64{newest, seen} {
			before := n.incarnation()
			in, known := c.Applied(d.ctx, n.callers, version)
			if !known || version == 0 || n.incarnation() != before {
				continue
			}
			if before != incarnation {
				seen, incarnation = 0, before
			}
			if in && version < seen {
				d.s.ledger.RecordViolation("%s routes by configuration %d after %d", n.name, version, seen)
			}
			if in {
				seen = max(seen, version)
			}
		}
	}
}

// served returns the share of calls served within the time from now.
func (d *driver) served(within time.Duration) float64 {
	before, all := d.outcomes[standin.Served].Load(), d.total()
	d.pause(within)
	return float64(d.outcomes[standin.Served].Load()-before) / float64(max(d.total()-all, 1))
}

func (d *driver) total() int64 {
	sum := int64(0)
	for i := range d.outcomes {
		sum += d.outcomes[i].Load()
	}
	return sum
}
