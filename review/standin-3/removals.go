package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

func init() {
	cases["second-loss"] = secondLoss
	cases["removals"] = removals
}

const (
	// catchUp is how long a new machine counts as lost, and recovery how long the system may take to serve again.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// betweenLosses is the time between the losses of two machines.
	betweenLosses = time.Second
	// readTime is how long the configuration is read at the end.
	readTime = 3*recovery + catchUp
)

// secondLoss replaces one of three machines of the core: its successor runs for three times catchUp, then the old one is
// removed without SIGTERM. betweenLosses later another machine is lost for good, and replaced by an empty one. Without trouble
// that second machine isn't lost. The rule is broken if no read of the configuration is answered in readTime.
func secondLoss(r *record, trouble bool) int {
	s := newCore(r)
	if s == nil {
		return 2
	}
	defer s.stop()
	first, second := s.fleet[0], s.fleet[1]
	s.successor(0)
	time.Sleep(3 * catchUp)
	status, took := s.put(encode(configuration(2)))
	r.add("configuration 2: %d after %.2f s", status, took.Seconds())
	if status != 200 {
		return 2
	}
	s.remove(first)
	if trouble {
		time.Sleep(betweenLosses)
		s.remove(second)
		time.Sleep(betweenLosses)
		s.successor(1)
	}
	return s.readBack()
}

// removals replaces two of three machines of the core: both successors run for three times catchUp, then the old ones are
// removed without SIGTERM, betweenLosses apart. A configuration is acknowledged, and the third old machine loses its
// disk. Without trouble no disk is lost. The rule is broken if no read of the configuration is answered in readTime.
func removals(r *record, trouble bool) int {
	s := newCore(r)
	if s == nil {
		return 2
	}
	defer s.stop()
	first, second, third := s.fleet[0], s.fleet[1], s.fleet[2]
	s.successor(0)
	s.successor(1)
	time.Sleep(3 * catchUp)
	s.remove(first)
	time.Sleep(betweenLosses)
	s.remove(second)
	status, took := s.put(encode(configuration(2)))
	r.add("configuration 2: %d after %.2f s", status, took.Seconds())
	if status != 200 {
		return 2
	}
	if trouble {
		s.loseDisk(third, time.Second)
	}
	return s.readBack()
}

// newCore starts three machines of the core and two others, and sends the first configuration. It returns nil if they
// don't serve.
func newCore(r *record) *system {
	s := newSystem(r, 3, 2)
	s.list.set(s.addPlain(ledger, 2))
	if status, _ := s.put(encode(configuration(1))); status != 200 || !s.awaitReady(15*time.Second) {
		r.add("the system did not start")
		s.stop()
		return nil
	}
	return s
}

// remove ends the node for good, without SIGTERM.
func (s *system) remove(n *node) {
	n.kill()
	var left []*node
	for _, m := range s.fleet {
		if m != n {
			left = append(left, m)
		}
	}
	s.fleet = left
	s.rec.add("%s is removed for good, without SIGTERM", n.name)
}

// readBack reads the configuration at all machines of the core until one answers. It returns 0 if version 2 comes.
func (s *system) readBack() int {
	r, began, reads := s.rec, time.Now(), 0
	for time.Since(began) < readTime {
		for _, n := range s.fleet {
			reads++
			status, body := n.get()
			if status == 200 {
				newest := strings.Contains(body, `"version":2`) || strings.Contains(body, `"version": 2`)
				r.add("read %d at %s, after %.1f s: 200, holds version 2: %v", reads, n.name, time.Since(began).Seconds(), newest)
				if newest {
					return 0
				}
				return 1
			}
			if reads%30 < len(s.fleet) {
				r.add("read %d at %s: %d %.80q", reads, n.name, status, body)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, n := range s.fleet {
		r.add("configuration 3 sent to %s: %d", n.name, n.putOnce(encode(configuration(3))))
	}
	for _, n := range s.gateways {
		a := send(fmt.Sprintf("%s:%d", n.ip, portClients), "GET", "/read/desk", "last-"+n.name, "", 3*time.Second)
		r.add("client: GET /read/desk at %s: %s", n.name, a.text())
	}
	r.add("%d reads at all %d machines of the core in %v, none answered", reads, len(s.fleet), readTime)
	return 1
}

// get reads the configuration.
func (n *node) get() (int, string) {
	resp, err := operatorClient.Get(fmt.Sprintf("http://%s:%d/config/get", n.ip, portControl))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}
