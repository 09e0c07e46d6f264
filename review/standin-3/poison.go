package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison-method"] = poisonMethod }

const (
	// contact is the platform's bound after which a machine without trouble is in touch.
	contact = 3 * time.Second
	// downTime is how long a server is down that a request has crashed.
	downTime = 2 * time.Second
	// allowedRetries is how many more retries of such a request may reach servers.
	allowedRetries = 3
)

// crashing is a server that crashes, and comes back.
type crashing struct{ *engine }

// restart ends the server at once and starts its next process after downTime.
func (c *crashing) restart() {
	c.crash()
	time.AfterFunc(downTime, func() {
		c.engine.mu.Lock()
		defer c.engine.mu.Unlock()
		l, err := net.Listen("tcp4", c.address)
		must(err)
		c.serve(l)
	})
}

// poisonMethod sends a HEAD request that crashes each server which begins to run it, again and again, beside
// GET requests of the same caller for the same path, which the servers answer.
func poisonMethod(r *record, trouble bool) int {
	withReads := os.Getenv("READS") != "0"
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
			if q.Method == http.MethodHead {
				mu.Lock()
				if len(crashes) >= 3 && time.Since(crashes[2]) > contact {
					late++
				}
				r.add("%s begins to run %s HEAD %s, crash number %d", e.id, id, q.RequestURI, len(crashes)+1)
				if trouble {
					crashes = append(crashes, time.Now())
				}
				mu.Unlock()
				if trouble {
					c.restart()
					panic(http.ErrAbortHandler)
				}
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
	end := time.Now().Add(35 * time.Second)
	var all sync.WaitGroup
	var n, refused atomic.Int64
	repeat := func(method, target string, every time.Duration) {
		all.Go(func() {
			for time.Now().Before(end) {
				i := n.Add(1)
				id := fmt.Sprintf("%s-%05d", strings.ToLower(method), i)
				address := fmt.Sprintf("%s:%d", s.gateways[int(i)%3].ip, portClients)
				all.Go(func() {
					a := send(address, method, target, id, "", 3*time.Second)
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
	repeat(http.MethodHead, "/read/desk-7", 1500*time.Millisecond)
	if withReads {
		repeat(http.MethodGet, "/read/desk-7", 250*time.Millisecond)
	}
	repeat(http.MethodGet, "/read/other", 250*time.Millisecond)
	repeat(http.MethodPost, "/post/booking", 100*time.Millisecond)
	all.Wait()
	if !withReads {
		// What becomes of the reads that nothing speaks against, once the HEAD request is refused.
		for i := range 10 {
			id := fmt.Sprintf("late-%d", i)
			a := send(fmt.Sprintf("%s:%d", s.gateways[i%3].ip, portClients), http.MethodGet, "/read/desk-7", id, "", 3*time.Second)
			r.add("client: %s GET /read/desk-7: %s", id, a.text())
		}
	}
	mu.Lock()
	defer mu.Unlock()
	r.add("%d crashes; %d arrivals of the request later than %v after the third; %d refused with 422; %d bookings of others without an answer of a server", len(crashes), late, contact, refused.Load(), lost)
	if late > allowedRetries {
		return 1
	}
	return 0
}
