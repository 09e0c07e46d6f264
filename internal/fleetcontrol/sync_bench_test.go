package fleetcontrol

import (
	"fmt"
	"testing"
	"time"

	"parsleyramp/internal/wire"
)

// BenchmarkSync measures one exchange of a gateway with the leader.
func BenchmarkSync(b *testing.B) {
	for _, size := range []struct{ gateways, endpoints int }{{9, 22}, {195, 105}, {340, 2200}} {
		b.Run(fmt.Sprintf("%dgateways", size.gateways), func(b *testing.B) {
			l, requests := benchmarkFleet(b, size.gateways, size.endpoints)
			for i := 0; b.Loop(); i++ {
				l.sync(requests[i%len(requests)])
			}
		})
	}
}

// benchmarkFleet returns a leader and a report of each of its gateways, which have requests at
// eight endpoints.
func benchmarkFleet(b *testing.B, gateways, endpoints int) (*leaderState, []*wire.SyncRequest) {
	start := time.Now()
	s := &Server{cfg: DefaultSettings(), log: testLog(), intents: newOrderIntents(), clock: func() time.Duration { return time.Since(start) }}
	l := newLeaderState(b.Context(), s, 1)
	l.startedAt = -initialReportWait
	var listed []ListedEndpoint
	for i := range endpoints {
		listed = append(listed, ListedEndpoint{ID: fmt.Sprintf("e%04d", i), Service: "s", Address: "a", Slots: 12})
	}
	l.applyList(listed)
	var requests []*wire.SyncRequest
	for i := range gateways {
		r := &wire.SyncRequest{Gateway: &wire.Gateway{Id: fmt.Sprintf("g%d", i), Domain: fmt.Sprintf("d%d", i%6)}}
		for j := range 8 {
			id := listed[(7*i+j)%len(listed)].ID
			r.Loads = append(r.Loads, &wire.InProgress{Endpoint: id, Running: 1, Tokens: 800, Served: 2, Heard: true, TookMs: 400, ExpectedMs: 380, FirstCount: 1, FirstTookMs: 90, FirstTokens: 1600})
		}
		requests = append(requests, r)
		r.ViewTerm, r.ViewRevision = l.term, l.published.latestRevision
	}
	for _, r := range requests {
		l.sync(r)
	}
	for _, r := range requests {
		r.ViewRevision = l.published.latestRevision
	}
	return l, requests
}
