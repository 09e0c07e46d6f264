package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["odd-entry"] = oddEntry }

// oddEntry adds an entry of another writer to the platform's list, in which two fields are missing: it has the id
// and the address of a server of one service, and the name of another service.
func oddEntry(r *record, trouble bool) int {
	s := newSystem(r, 3, 3)
	defer s.stop()
	var foreign, own, failed atomic.Int64
	engines := append(s.addPlain(ledger, 4), s.addPlain(ledger2, 2)...)
	for _, e := range engines {
		e.handler = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get(headerID)
			want := ledger
			if strings.HasPrefix(q.URL.Path, "/fees/") {
				want = ledger2
			}
			if e.service == want {
				own.Add(1)
			} else {
				foreign.Add(1)
				r.add("BROKEN: %s of %s runs %s %s, whose route leads to %s alone", e.id, e.service, id, q.RequestURI, want)
			}
			time.Sleep(20 * time.Millisecond)
			w.Header().Set(headerID, id)
			w.Header().Set(headerSeal, "seal of "+e.id)
			fmt.Fprintf(w, "booked by %s: %s", e.service, id)
		}
	}
	s.list.set(engines)
	fees := route("fees", "/fees/", "unsafe", ledger2, nil)
	if status, _ := s.put(encode(configuration(1, fees))); status != 200 || !s.awaitReady(15*time.Second) {
		r.add("the system did not start")
		return 2
	}
	time.Sleep(2 * time.Second)
	if trouble {
		odd := map[string]any{"id": engines[0].id, "service": ledger2, "address": engines[0].address, "zone": engines[0].zone, "slots": 6, "state": "ready"}
		r.add("the list has an entry of another writer: %v", odd)
		s.list.setOdd(odd)
	}
	end := time.Now().Add(8 * time.Second)
	var all sync.WaitGroup
	var n atomic.Int64
	repeat := func(target string) {
		all.Go(func() {
			for time.Now().Before(end) {
				i := n.Add(1)
				id := fmt.Sprintf("a-%05d", i)
				address := fmt.Sprintf("%s:%d", s.gateways[int(i)%3].ip, portClients)
				all.Go(func() {
					a := send(address, http.MethodPost, target, id, "amount=1", 3*time.Second)
					if a.err != nil || a.status != 200 {
						failed.Add(1)
					}
					r.add("client: %s %s: %s", id, target, a.text())
				})
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	repeat("/post/booking")
	repeat("/fees/booking")
	all.Wait()
	r.add("%d requests ran at servers of their service, %d at those of another; %d were not served", own.Load(), foreign.Load(), failed.Load())
	if foreign.Load() > 0 {
		return 1
	}
	return 0
}
