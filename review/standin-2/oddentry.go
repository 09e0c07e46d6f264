package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playOddEntry adds an entry of another writer to the list, before the others. It has the id and the address of a
// server of the archive, the service "ledger", and neither a version nor the rest of its cold start. It is broken if that
// server runs requests of the ledger's routes. Without trouble the same entry has a state that the pages do not name.
func playOddEntry(s *system, trouble bool) (bool, error) {
	archive := s.list.find("archive")
	if archive == nil {
		return false, errors.New("there is no server of the archive")
	}
	entry := map[string]any{"id": archive.id, "service": "ledger", "address": archive.address, "zone": archive.zone, "slots": 6, "state": "ready"}
	if !trouble {
		entry["state"] = "unknown"
	}
	s.list.addForeign(entry)
	s.record.add("the list holds an entry of another writer: %v", entry)
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i, g := range s.gateways {
		for _, path := range []string{"/post/", "/archive/"} {
			c := s.newCaller(g, string(rune('a'+i))+strings.Trim(path, "/"))
			all.Go(func() {
				c.sendEvery(50*time.Millisecond, stop, func() {
					c.send(http.MethodPost, fmt.Sprintf("%s%d", path, c.sent), 2500*time.Millisecond, nil)
				})
			})
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	all.Wait()
	runs := s.arrivals.find(func(a arrival) bool { return a.server == archive.id && a.ran && strings.HasPrefix(a.path, "/post/") })
	s.record.conclude("requests of the ledger's route that %s of the archive has run: %d", archive.id, len(runs))
	return len(runs) > 0, nil
}
