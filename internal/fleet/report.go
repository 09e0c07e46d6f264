package fleet

import (
	"time"

	"parsleyramp/internal/wire"
)

// firstReads is how long the first bytes of responses took in all, and how many prompt tokens
// their endpoint had to read before them.
type firstReads struct {
	count, tokens int
	took          time.Duration
}

// RecordFirst records how long the first byte of a response took, before which the endpoint
// had to prefill the tokens.
func (l *Loads) RecordFirst(endpoint string, unread int, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.firstReads[endpoint]
	f.count++
	f.took += took
	f.tokens += unread
	l.firstReads[endpoint] = f
}

// Report returns what this gateway has in flight, and the results and latencies of
// its requests since the last report.
func (l *Loads) Report(now time.Duration) []*wire.InProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]*wire.InProgress{}
	of := func(id string) *wire.InProgress {
		if all[id] == nil {
			all[id] = &wire.InProgress{Endpoint: id}
		}
		return all[id]
	}
	for id, o := range l.own {
		w := of(id)
		w.Running, w.Tokens, w.UnreadTokens = uint32(o.Running), uint64(max(o.Tokens, 0)), uint64(max(o.PrefillTokens, 0))
		w.Silent = l.unresponsive(id, now) && !l.outOfReach[id] // Its own lost links make no endpoint unresponsive.
		s := l.responses[id]
		if s.receivedSinceReport {
			w.Heard, w.HeardAgoMs = true, uint32((now - s.heardAt).Milliseconds())
		}
		s.receivedSinceReport = false
		l.responses[id] = s
	}
	for id, r := range l.results {
		w := of(id)
		w.Served, w.Failed = uint32(r.Served), uint32(r.Failed)
	}
	clear(l.results)
	for id, x := range l.latencies {
		w := of(id)
		w.TookMs, w.ExpectedMs = uint32(x.Took.Milliseconds()), uint32(x.Expected.Milliseconds())
	}
	clear(l.latencies)
	for id, f := range l.firstReads {
		w := of(id)
		w.FirstCount, w.FirstTookMs, w.FirstTokens = uint32(f.count), uint32(f.took.Milliseconds()), uint64(max(f.tokens, 0))
	}
	clear(l.firstReads)
	out := make([]*wire.InProgress, 0, len(all))
	for _, w := range all {
		out = append(out, w)
	}
	return out
}

// RecordLatency records how long a completed or interrupted request took, and how
// long the part of its response that was received takes at usual latency.
func (l *Loads) RecordLatency(endpoint string, x Latency) {
	if x.Expected <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.latencies[endpoint]
	sum.Took += x.Took
	sum.Expected += x.Expected
	l.latencies[endpoint] = sum
}
