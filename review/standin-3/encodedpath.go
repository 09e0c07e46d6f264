package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["encoded-path"] = encodedPath }

// encodedPath sends requests of a route that may run once, whose path holds an encoded slash, while two of
// four servers lose a third of their answers for 4 s.
func encodedPath(r *record, trouble bool) int {
	s := newSystem(r, 3, 3)
	defer s.stop()
	ran := newRuns()
	var losing atomic.Bool
	engines := s.addPlain(ledger, 4)
	for i, e := range engines {
		var n atomic.Int64
		e.handler = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get(headerID)
			ran.add(id, e.id)
			lost := losing.Load() && i < 2 && n.Add(1)%3 == 0
			r.add("%s runs %s %s %s, answer lost: %v", e.id, id, q.Method, q.RequestURI, lost)
			time.Sleep(20 * time.Millisecond)
			if lost {
				c, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_ = c.(*net.TCPConn).SetLinger(0)
					c.Close()
				}
				return
			}
			w.Header().Set(headerID, id)
			w.Header().Set(headerSeal, "seal of "+e.id)
			fmt.Fprintf(w, "booked %s", id)
		}
	}
	s.list.set(engines)
	safe := route("read-of-posts", "/post/read/", "safe", ledger, object{"maxAttempts": 2})
	if status, _ := s.put(encode(configuration(1, safe))); status != 200 || !s.awaitReady(15*time.Second) {
		r.add("the system did not start")
		return 2
	}
	time.Sleep(2 * time.Second)
	var ids []string
	var all sync.WaitGroup
	sendSome := func(name, target string, n int) {
		for i := range n {
			id := fmt.Sprintf("%s-%04d", name, i)
			ids = append(ids, id)
			address := fmt.Sprintf("%s:%d", s.gateways[i%3].ip, portClients)
			all.Go(func() {
				a := send(address, http.MethodPost, fmt.Sprintf(target, i), id, "amount=1", 3*time.Second)
				r.add("client: %s to %s: %s", id, fmt.Sprintf(target, i), a.text())
			})
			time.Sleep(15 * time.Millisecond)
		}
	}
	sendSome("before", "/post/desk-%d", 200)
	losing.Store(trouble)
	sendSome("plain", "/post/desk-%d", 60)
	sendSome("encoded", "/post/read%%2Fdesk-%d", 120)
	losing.Store(false)
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	twice := 0
	for _, id := range ids {
		if at := ran.of(id); len(at) > 1 {
			twice++
			r.add("BROKEN: %s ran %d times, at %v", id, len(at), at)
		}
	}
	r.add("%d of %d requests that may run once ran more than once", twice, len(ids))
	if twice > 0 {
		return 1
	}
	return 0
}
