package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// playMalformedModel lets one client of one gateway send, once a second, a request whose model is no text in UTF-8.
// Meanwhile a server drains. It is broken if requests by way of that gateway reach the server later than drainTime
// after the list showed it as draining. Without trouble the same client names a model that is not declared.
func playMalformedModel(s *system, trouble bool) (bool, error) {
	model := "modele"
	if trouble {
		model = "mod\xe8le"
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i, g := range s.gateways {
		c := s.newCaller(g, string(rune('a'+i)))
		all.Go(func() {
			c.sendEvery(50*time.Millisecond, stop, func() { c.send(http.MethodGet, "/read/1", 2500*time.Millisecond, nil) })
		})
	}
	odd := s.newCaller(s.gateways[0], "odd")
	all.Go(func() {
		odd.sendEvery(time.Second, stop, func() {
			odd.send(http.MethodPost, "/draft/1", 3*time.Second, map[string]string{names.Model: model, names.Tokens: "10,20"})
		})
	})
	time.Sleep(contactTime + time.Second)
	leaving := s.list.servers[0]
	leaving.drain()
	drainedAt := s.record.now()
	s.record.add("the list shows %s as draining", leaving.id)
	time.Sleep(10 * time.Second)
	close(stop)
	all.Wait()
	limit := drainedAt + drainTime
	late := s.arrivals.find(func(a arrival) bool { return a.server == leaving.id && a.at > limit })
	byGateway := map[string]int{}
	for _, a := range late {
		byGateway[strings.SplitN(a.attempt, "-", 2)[0]]++
	}
	s.record.conclude("requests that reached %s later than %v after it was shown as draining: %d, by the callers' prefix %v", leaving.id, drainTime, len(late), byGateway)
	return len(late) > 0, nil
}
