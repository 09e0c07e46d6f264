package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
)

// formSize is the size of a run of the forms of lost requests.
var formSize = sizes{controls: 3, gateways: 9, endpoints: 21, ledger: 3, grace: 8 * time.Second}

const (
	// lossSlack is the time from the last byte of a request from which a process that closes its
	// connection has read it.
	lossSlack = 200 * time.Millisecond
	// excusedSent is the time after SIGTERM until which a request is sent that may be cut.
	excusedSent = 3 * time.Second
	// calmTime is how long clients send without a planned stop.
	calmTime = 4 * time.Second
	// clientsPerStyle is how many clients of each style send to a gateway.
	clientsPerStyle = 3
	// maxFormWork bounds the work of slow requests: some that arrive after SIGTERM last beyond the
	// grace period.
	maxFormWork = 6 * time.Second
	// pipelined is how many requests a client writes at once that pipelines.
	pipelined = 3
)

// style is how a client uses its connection.
type style string

// Styles of clients. All but ignoringClose leave a connection whose close is announced.
const (
	oneByOne      style = "one by one"
	ignoringClose style = "ignores an announced close"
	pipelining    style = "pipelines"
	byteByByte    style = "sends byte by byte"
	slowReading   style = "reads slowly"
	slowBody      style = "sends its body slowly"
	longStreams   style = "one long stream after another"
)

var styles = []style{oneByOne, ignoringClose, pipelining, byteByByte, slowReading, slowBody, longStreams}

// form is one way in which requests might end without an answer.
type form struct {
	name string
	// targets is how many gateways clients send to.
	targets int
	// prepare is called before clients send; nil for nothing.
	prepare func(*driver, []*node)
	// disturb returns once the disturbance is over.
	disturb func(*driver, []*node, *rand.Rand)
}

var forms = []form{
	{"calm", 1, nil, func(d *driver, _ []*node, _ *rand.Rand) { d.wait(calmTime) }},
	{"SIGHUP again and again", 1, nil, func(d *driver, targets []*node, _ *rand.Rand) {
		for end := time.Now().Add(calmTime); time.Now().Before(end) && d.wait(20*time.Millisecond); {
			targets[0].signal(syscall.SIGHUP)
		}
	}},
	{"documents in a row, with and without a model in use", 1, nil, (*driver).alternateModels},
	{"stop of one gateway", 1, nil, (*driver).stopAll},
	{"stops of three gateways at overlapping times", 3, nil, (*driver).stopAll},
	{"stop beside that of a control replica", 1, nil, func(d *driver, targets []*node, r *rand.Rand) {
		control := d.s.controls[r.IntN(len(d.s.controls))]
		var all sync.WaitGroup
		all.Go(func() { d.stopAndRestart(control) })
		d.stopAll(targets, r)
		all.Wait()
	}},
	{"stop right after a start", 1, nil, func(d *driver, targets []*node, r *rand.Rand) {
		d.stopAndRestart(targets[0])
		d.waitReady(targets[0])
		d.stopAndRestart(targets[0])
	}},
	{"more SIGTERM and SIGHUP within the grace period", 1, nil, func(d *driver, targets []*node, _ *rand.Rand) {
		incarnation, done := targets[0].incarnation(), make(chan struct{})
		go func() {
			defer close(done)
			d.stopAndRestart(targets[0])
		}()
		for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
			d.wait(time.Second)
			if targets[0].incarnation() == incarnation {
				targets[0].signal(s)
			}
		}
		<-done
	}},
	{"stops of gateways that relay for one that is cut off", 1, (*driver).cutOffFromEndpoints, func(d *driver, targets []*node, r *rand.Rand) {
		others := slices.DeleteFunc(slices.Clone(d.s.gateways), func(n *node) bool { return n == targets[0] })
		r.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		d.stopAll(others[:len(others)/2], r)
		d.s.refuseAtEndpoints(nil)
	}},
}

// cutOffFromEndpoints cuts the gateways off from all endpoints, until the cut has been noticed.
func (d *driver) cutOffFromEndpoints(targets []*node) {
	ips := map[string]bool{}
	for _, n := range targets {
		ips[n.ip()] = true
	}
	d.s.refuseAtEndpoints(ips)
	for _, p := range d.s.endpointLinks() {
		p.resetFrom(ips)
	}
	d.wait(cutOffGrace)
}

// stopAll stops the gateways at overlapping times and starts them again.
func (d *driver) stopAll(targets []*node, r *rand.Rand) {
	var all sync.WaitGroup
	for _, n := range targets {
		delay := time.Duration(r.Int64N(int64(stopSpread)))
		all.Go(func() {
			d.wait(delay)
			d.stopAndRestart(n)
		})
	}
	all.Wait()
}

func (d *driver) stopAndRestart(n *node) {
	n.stopAndHold(d.s, syscall.SIGTERM)
	if err := n.release(d.s); err != nil {
		d.s.checker.RecordViolation("%s did not start again: %v", n.name, err)
	}
}

// alternateModels sends documents that leave out a model that is in use, and bring it back.
func (d *driver) alternateModels([]*node, *rand.Rand) {
	o, fewer := standin.NewOperator(), *fleetLimits
	fewer.Models = fleetLimits.Models[1:]
	for end, i := time.Now().Add(calmTime), 0; time.Now().Before(end); i++ {
		limits := fleetLimits
		if i%2 == 0 {
			limits = &fewer
		}
		d.putDocumentWith(d.ctx, o, d.s.controls[i%len(d.s.controls)].operatorAddress, limits)
		d.wait(50 * time.Millisecond)
	}
	d.checkChange()
}

// formCounts counts the attempts of one form. It is safe for concurrent use.
type formCounts struct {
	mu                              sync.Mutex
	attempts, ran, unanswered, lost int
	reasons                         map[string]int
}

func (c *formCounts) count(s style, ran bool, reason string, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	if ran {
		c.ran++
	}
	if reason == "" {
		return
	}
	c.unanswered++
	if lost {
		c.lost++
		reason = "LOST: " + reason
	}
	c.reasons[string(s)+", "+reason]++
}

// runForms plays the forms of one seed whose names contain the text, one after another, and
// returns the lines of a table.
func (d *driver) runForms(text string) []string {
	r := rand.New(rand.NewPCG(d.seed, formStream))
	var lines []string
	for _, f := range forms {
		if !strings.Contains(f.name, text) {
			continue
		}
		c := &formCounts{reasons: map[string]int{}}
		var targets []*node
		for _, i := range r.Perm(len(d.s.gateways))[:f.targets] {
			targets = append(targets, d.s.gateways[i])
		}
		d.logLine(f.name)
		if f.prepare != nil {
			f.prepare(d, targets)
		}
		load, cancel := context.WithCancel(d.ctx)
		var clients sync.WaitGroup
		for _, n := range targets {
			for i := range clientsPerStyle * len(styles) {
				x := &formClient{d: d, n: n, counts: c, style: styles[i%len(styles)], random: rand.New(rand.NewPCG(r.Uint64(), uint64(i)))}
				clients.Go(func() { x.run(load) })
			}
		}
		d.wait(loadTime)
		f.disturb(d, targets, r)
		cancel()
		clients.Wait()
		for _, n := range targets {
			d.waitReady(n)
		}
		lines = append(lines, fmt.Sprintf("| %s | %d | %d | %d | %d |", f.name, c.attempts, c.ran, c.unanswered, c.lost))
		for _, reason := range slices.Sorted(maps.Keys(c.reasons)) {
			lines = append(lines, fmt.Sprintf("   %d x %s", c.reasons[reason], reason))
		}
	}
	return lines
}

// formStream is the stream of random numbers of the forms of a seed.
const formStream = 4000
