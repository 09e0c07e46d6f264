package main

import (
	"fmt"
	"net/http"
	"time"
)

// plainHandler answers every request after 20 ms.
func plainHandler(r *record, e *engine) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		r.add("%s (%s) runs %s %s", e.id, e.service, q.Header.Get(headerID), q.RequestURI)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set(headerID, q.Header.Get(headerID))
		w.Header().Set(headerSeal, "seal of "+e.id)
		fmt.Fprintf(w, "answer of %s to %s", e.service, q.Header.Get(headerID))
	}
}

// addPlain starts servers of a plain service.
func (s *system) addPlain(service string, n int) []*engine {
	var out []*engine
	for i := range n {
		e := &engine{id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: []string{"za", "zb", "zc"}[i%3], address: s.base + ".3.1:0", slots: 6, version: "v1"}
		e.handler = plainHandler(s.rec, e)
		must(e.start())
		out = append(out, e)
	}
	return out
}
