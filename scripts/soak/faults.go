package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"parsleyramp/platform/standin"
)

// play carries the steps out, each at its time, and returns once all are over.
func (s *system) play(steps []step, began time.Time, note func(string)) {
	var all sync.WaitGroup
	for _, x := range steps {
		time.Sleep(time.Until(began.Add(x.at)))
		note(x.String())
		all.Go(func() {
			if err := s.apply(x); err != nil {
				fmt.Fprintf(os.Stderr, "%s: %v\n", x, err)
			}
		})
	}
	all.Wait()
}

// apply carries one step out and takes it back after its time.
func (s *system) apply(x step) error {
	switch x.kind {
	case killControl, wipeControl, tearLog:
		return s.down(x, []*node{s.controls[x.target]}, syscall.SIGKILL)
	case killControls:
		return s.down(x, s.controls, syscall.SIGKILL)
	case killAll:
		return s.down(x, append(append([]*node(nil), s.controls...), s.gateways...), syscall.SIGKILL)
	case killGateway:
		return s.down(x, []*node{s.gateways[x.target]}, syscall.SIGKILL)
	case stopControl:
		return s.down(x, []*node{s.controls[x.target]}, syscall.SIGTERM)
	case stopGateway:
		return s.down(x, []*node{s.gateways[x.target]}, syscall.SIGTERM)
	case pauseControl:
		pause(s.controls[x.target], x.lasts)
	case pauseGateway:
		pause(s.gateways[x.target], x.lasts)
	case reloadGateway:
		s.gateways[x.target].signal(syscall.SIGHUP)
	case reloadControl:
		s.controls[x.target].signal(syscall.SIGHUP)
	case delayLink, resetLink, silenceLink, cutLinkIn, cutLinkOut:
		s.disturb(x)
	case crashEngine:
		e := s.endpoints[x.target]
		e.Crash()
		time.Sleep(x.lasts)
		return e.Start()
	case leaveEngine:
		return s.leave(x)
	default:
		s.misbehave(x)
	}
	return nil
}

// down ends processes for the time of the step.
func (s *system) down(x step, nodes []*node, sig syscall.Signal) error {
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() { n.hold(s, sig) })
	}
	all.Wait()
	switch x.kind {
	case wipeControl:
		if err := os.RemoveAll(nodes[0].folder); err != nil {
			return err
		}
	case tearLog:
		if err := nodes[0].tear(); err != nil {
			return err
		}
	case killAll, killControls:
		x.lasts = min(x.lasts, time.Second)
	}
	time.Sleep(x.lasts)
	for _, n := range nodes {
		if err := n.release(s); err != nil {
			return err
		}
	}
	return nil
}

func pause(n *node, d time.Duration) {
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
}

// linkDelay is what a delayed link adds to each piece.
const linkDelay = 80 * time.Millisecond

func (s *system) disturb(x step) {
	p := s.links[x.target]
	switch x.kind {
	case resetLink:
		p.reset()
		return
	case delayLink:
		p.set(linkState{delay: linkDelay})
	case silenceLink:
		p.set(linkState{dropIn: true, dropOut: true})
	case cutLinkIn:
		p.set(linkState{dropIn: true})
	case cutLinkOut:
		p.set(linkState{dropOut: true})
	}
	time.Sleep(x.lasts)
	p.set(linkState{})
}

// leave lets an endpoint leave and come back as a new one.
func (s *system) leave(x step) error {
	e := s.endpoints[x.target]
	e.MarkLeaving()
	time.Sleep(leaveTime)
	e.Crash()
	time.Sleep(x.lasts)
	return e.Start()
}

// leaveTime is how long a leaving endpoint still serves.
const leaveTime = 4 * time.Second

func (s *system) misbehave(x step) {
	f := s.endpoints[x.target].Faults()
	fault := map[kind]*atomic.Bool{
		failEngine: &f.FailRequests, loseAnswers: &f.DropResponses, cutAnswers: &f.TruncateResponses, extraAnswers: &f.ExtraResponses, loseOrders: &f.DropOrderResponses,
	}[x.kind]
	fault.Store(true)
	time.Sleep(x.lasts)
	fault.Store(false)
}

// heal ends every fault of links and endpoints.
func (s *system) heal() {
	for _, p := range s.links {
		p.set(linkState{})
	}
	for _, e := range s.endpoints {
		calm(e.Faults())
	}
}

func calm(f *standin.Faults) {
	for _, fault := range []*atomic.Bool{&f.FailRequests, &f.DropResponses, &f.TruncateResponses, &f.ExtraResponses, &f.DropOrderResponses} {
		fault.Store(false)
	}
}
