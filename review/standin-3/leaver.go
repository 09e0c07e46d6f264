package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison-leaver"] = poisonLeaver }

const (
	// leaveAfter is how long the caller of the crashing request waits: half of the target of its route.
	leaveAfter = 200 * time.Millisecond
	// crashAfter is how long after its begin the request crashes its server.
	crashAfter = 300 * time.Millisecond
)

// poisonLeaver sends a request that crashes each server which runs it 0.3 s after its begin, again and
// again, from a caller that leaves after 0.2 s.
func poisonLeaver(r *record, trouble bool) int {
	s := newSystem(r, 3, 3)
	defer s.stop()
	var mu sync.Mutex
	var crashes []time.Time
	late, lost := 0, 0
	engines := s.addPlain(ledger, 4)
	for _, e := range engines {
		c := &crashing{e}
		e.handler = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get(headerID)
			if q.URL.Path == "/read/bad" {
				mu.Lock()
				if len(crashes) >= 3 && time.Since(crashes[2]) > contact {
					late++
				}
				r.add("%s begins to run %s, after crash number %d", e.id, id, len(crashes))
				mu.Unlock()
				time.Sleep(crashAfter)
				mu.Lock()
				crashes = append(crashes, time.Now())
				r.add("%s crashes by %s", e.id, id)
				mu.Unlock()
				c.restart()
				panic(http.ErrAbortHandler)
			}
			time.Sleep(60 * time.Millisecond)
			w.Header().Set(headerID, id)
			w.Header().Set(headerSeal, "seal of "+e.id)
			fmt.Fprintf(w, "entry for %s", id)
		}
	}
	s.list.set(engines)
	if status, _ := s.put(encode(configuration(1))); status != 200 || !s.awaitReady(15*time.Second) {
		r.add("the system did not start")
		return 2
	}
	time.Sleep(2 * time.Second)
	wait := 3 * time.Second
	if trouble {
		wait = leaveAfter
	}
	end := time.Now().Add(35 * time.Second)
	var all sync.WaitGroup
	var n, refused atomic.Int64
	repeat := func(method, target string, every, wait time.Duration) {
		all.Go(func() {
			for time.Now().Before(end) {
				i := n.Add(1)
				id := fmt.Sprintf("a-%05d", i)
				address := fmt.Sprintf("%s:%d", s.gateways[int(i)%3].ip, portClients)
				all.Go(func() {
					a := sendFor(address, method, target, id, "", 3*time.Second, wait)
					r.add("client: %s %s %s: %s", id, method, target, a.text())
					if a.status == 422 {
						refused.Add(1)
					}
					if method == http.MethodPost && (a.err != nil || a.status == 502 || a.status == 504) {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				})
				time.Sleep(every)
			}
		})
	}
	repeat(http.MethodGet, "/read/bad", 1500*time.Millisecond, wait)
	repeat(http.MethodGet, "/read/other", 250*time.Millisecond, 3*time.Second)
	repeat(http.MethodPost, "/post/booking", 100*time.Millisecond, 3*time.Second)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.add("%d crashes; %d arrivals of the request later than %v after the third; %d refused with 422; %d bookings of others without an answer of a server", len(crashes), late, contact, refused.Load(), lost)
	if late > allowedRetries {
		return 1
	}
	return 0
}
