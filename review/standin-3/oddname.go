package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["odd-name"] = oddName }

// drain is the time after which a server that the list shows as draining gets no more requests.
const drain = 3 * time.Second

// oddName marks a server as draining while one client sends requests for a model whose name is no UTF-8 text.
func oddName(r *record, trouble bool) int {
	s := newSystem(r, 3, 3)
	defer s.stop()
	engines := s.addPlain(ledger, 4)
	var drainingAt atomic.Pointer[time.Time]
	var late, within atomic.Int64
	for i, e := range engines {
		e.handler = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get(headerID)
			since := time.Duration(0)
			if at := drainingAt.Load(); at != nil && i == 0 {
				if since = time.Since(*at); since > drain {
					late.Add(1)
				} else {
					within.Add(1)
				}
				r.add("%s runs %s, %v after the list shows it as draining", e.id, id, since.Round(time.Millisecond))
			}
			time.Sleep(20 * time.Millisecond)
			w.Header().Set(headerID, id)
			w.Header().Set(headerSeal, "seal of "+e.id)
			fmt.Fprintf(w, "booked %s", id)
		}
	}
	var llm []*engine
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-m-%d", i), service: models, zone: []string{"za", "zb", "zc"}[i], address: s.base + ".3.1:0", slots: 24, version: "v1", isModel: true,
			models: map[string]map[string]bool{"m0": {}, "m1": {}}}
		e.handler = func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set(headerID, q.Header.Get(headerID))
			w.Header().Set(headerSeal, "seal of "+e.id)
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: a\n\n")
		}
		must(e.start())
		llm = append(llm, e)
	}
	s.list.set(append(engines, llm...))
	if status, _ := s.put(encode(configuration(1))); status != 200 || !s.awaitReady(15*time.Second) {
		r.add("the system did not start")
		return 2
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(16 * time.Second)
	var all sync.WaitGroup
	var n atomic.Int64
	repeat := func(target, more string, every time.Duration, note bool) {
		all.Go(func() {
			for time.Now().Before(end) {
				i := n.Add(1)
				id := fmt.Sprintf("a-%05d", i)
				address := fmt.Sprintf("%s:%d", s.gateways[int(i)%3].ip, portClients)
				all.Go(func() {
					a := sendWith(address, http.MethodPost, target, id, more, "", 3*time.Second, 3*time.Second)
					if note {
						r.add("client: %s %s %q: %s", id, target, more, a.text())
					}
				})
				time.Sleep(every)
			}
		})
	}
	repeat("/post/booking", "", 40*time.Millisecond, false)
	name := "m0"
	if trouble {
		name = "caf\xe9"
	}
	if other := os.Getenv("NAME"); other != "" {
		name = other
	}
	repeat("/draft/x", headerModel+": "+name+"\r\n"+headerTokens+": 100,50\r\n", 25*time.Millisecond, true)
	time.Sleep(4 * time.Second)
	engines[0].mu.Lock()
	engines[0].state = "draining"
	engines[0].mu.Unlock()
	now := time.Now()
	drainingAt.Store(&now)
	r.add("the list shows %s as draining", engines[0].id)
	all.Wait()
	r.add("%d requests reached it within %v, %d later", within.Load(), drain, late.Load())
	if late.Load() > 0 {
		return 1
	}
	return 0
}
