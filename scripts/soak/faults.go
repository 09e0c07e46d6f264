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

// runSteps executes each step at its time and returns after all have ended.
func (s *system) runSteps(steps []step, start time.Time, logLine func(string)) {
	var all sync.WaitGroup
	for _, x := range steps {
		time.Sleep(time.Until(start.Add(x.at)))
		logLine(x.String())
		all.Go(func() {
			if err := s.executeStep(x); err != nil {
				fmt.Fprintf(os.Stderr, "step %s failed: %v\n", x, err)
			}
		})
	}
	all.Wait()
}

// executeStep injects the fault of a step and removes it after its duration.
func (s *system) executeStep(x step) error {
	switch x.kind {
	case killControl, wipeControl, tornLog:
		return s.stopNodes(x, []*node{s.controls[x.target]}, syscall.SIGKILL)
	case killControls:
		return s.stopNodes(x, s.controls, syscall.SIGKILL)
	case killAll:
		return s.stopNodes(x, append(append([]*node(nil), s.controls...), s.gateways...), syscall.SIGKILL)
	case killGateway:
		return s.stopNodes(x, []*node{s.gateways[x.target]}, syscall.SIGKILL)
	case stopControl:
		return s.stopNodes(x, []*node{s.controls[x.target]}, syscall.SIGTERM)
	case stopGateway:
		return s.stopNodes(x, []*node{s.gateways[x.target]}, syscall.SIGTERM)
	case pauseControl:
		s.controls[x.target].pause(x.duration)
	case pauseGateway:
		s.gateways[x.target].pause(x.duration)
	case reloadGateway:
		s.gateways[x.target].signal(syscall.SIGHUP)
	case reloadControl:
		s.controls[x.target].signal(syscall.SIGHUP)
	case delayLink, resetLink, dropLink, dropLinkIn, dropLinkOut:
		s.disturbLink(x)
	case crashEndpoint:
		e := s.endpoints[x.target]
		e.Crash()
		time.Sleep(x.duration)
		return e.Start()
	case drainEndpoint:
		return s.drainEndpoint(x)
	default:
		s.injectEndpointFault(x)
	}
	return nil
}

// pauseCount returns twice the number of pauses so far, one less during a pause.
func (n *node) pauseCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pauses
}

// pause suspends the process for the time.
func (n *node) pause(d time.Duration) {
	n.countPause()
	n.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.signal(syscall.SIGCONT)
	// A stop that began during the pause sees this count change.
	n.countPause()
}

func (n *node) countPause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pauses++
}

// stopNodes stops processes for the duration of the step.
func (s *system) stopNodes(x step, nodes []*node, sig syscall.Signal) error {
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() { n.stopAndHold(s, sig) })
	}
	all.Wait()
	switch x.kind {
	case wipeControl:
		if err := os.RemoveAll(nodes[0].folder); err != nil {
			return err
		}
	case tornLog:
		if err := nodes[0].appendTornRecord(); err != nil {
			return err
		}
	case killAll, killControls:
		x.duration = min(x.duration, time.Second)
	}
	time.Sleep(x.duration)
	for _, n := range nodes {
		if err := n.release(s); err != nil {
			return err
		}
	}
	return nil
}

// linkDelay is the delay of each chunk on a delayed link.
const linkDelay = 80 * time.Millisecond

func (s *system) disturbLink(x step) {
	p := s.links[x.target]
	switch x.kind {
	case resetLink:
		p.reset()
		return
	case delayLink:
		p.set(linkState{delay: linkDelay})
	case dropLink:
		p.set(linkState{dropIn: true, dropOut: true})
	case dropLinkIn:
		p.set(linkState{dropIn: true})
	case dropLinkOut:
		p.set(linkState{dropOut: true})
	}
	time.Sleep(x.duration)
	p.set(linkState{})
}

// drainEndpoint lists an endpoint as leaving, stops it after drainTime and starts
// a new incarnation after the duration of the step.
func (s *system) drainEndpoint(x step) error {
	e := s.endpoints[x.target]
	e.MarkLeaving()
	time.Sleep(drainTime)
	e.Crash()
	time.Sleep(x.duration)
	return e.Start()
}

// drainTime is how long a leaving endpoint still serves requests.
const drainTime = 4 * time.Second

func (s *system) injectEndpointFault(x step) {
	f := s.endpoints[x.target].Faults()
	fault := map[kind]*atomic.Bool{
		failRequests: &f.FailRequests, dropResponses: &f.DropResponses, truncateResponses: &f.TruncateResponses, extraResponses: &f.ExtraResponses, dropOrderResponses: &f.DropOrderResponses,
	}[x.kind]
	fault.Store(true)
	time.Sleep(x.duration)
	fault.Store(false)
}

// clearFaults ends all faults of links and endpoints.
func (s *system) clearFaults() {
	for _, p := range s.links {
		p.set(linkState{})
	}
	for _, e := range s.endpoints {
		clearEndpointFaults(e.Faults())
	}
}

func clearEndpointFaults(f *standin.Faults) {
	for _, fault := range []*atomic.Bool{&f.FailRequests, &f.DropResponses, &f.TruncateResponses, &f.ExtraResponses, &f.EndlessBytes, &f.DropOrderResponses} {
		fault.Store(false)
	}
}
