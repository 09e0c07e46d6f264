// Package streamorigin holds which version of a service's software began each stream, and
// decides which gateways keep that. It does no I/O and reads no clock.
package streamorigin

import (
	"crypto/sha256"
	"time"
)

// Origin states where a stream began.
type Origin struct {
	Service  string
	Endpoint string
	// Version is that of the endpoint's software; empty if it is not known surely.
	Version string
	// Unconfirmed is true if the gateway at which the stream began had not heard recently
	// which version the endpoint runs.
	Unconfirmed bool
}

const (
	// TTL is how long an origin is kept after it was recorded last: longer than streams
	// last and their callers come back.
	TTL = time.Minute
	// MaxOrigins bounds the origins of one book. Beyond it the oldest are dropped.
	MaxOrigins = 1 << 15
	// maxRecordings bounds how often the origins of one book have been recorded.
	maxRecordings = 2 * MaxOrigins
	// maxKeyBytes bounds what is kept of an id. Clients choose the ids.
	maxKeyBytes = 64
)

// Book holds the origins of streams by the id of the attempt that brought the first event.
// Its zero value is empty. It is not safe for concurrent use.
type Book struct {
	entries map[string]entry
	// order holds an id for each time that it was recorded, oldest first.
	order []recording
}

type entry struct {
	origin Origin
	at     time.Duration
}

type recording struct {
	id string
	at time.Duration
}

// keyOf returns what is kept of an id: the id itself, or the digest of a long one.
func keyOf(id string) string {
	if len(id) <= maxKeyBytes {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return string(digest[:])
}

// Record records the origin of a stream. If another one is known, neither is trusted: the
// version becomes unknown.
func (b *Book) Record(id string, o Origin, now time.Duration) {
	b.expire(now)
	id = keyOf(id)
	if b.entries == nil {
		b.entries = map[string]entry{}
	}
	if known, ok := b.entries[id]; ok && (known.origin.Service != o.Service || known.origin.Version != o.Version) {
		o.Version = ""
	}
	b.entries[id] = entry{o, now}
	b.order = append(b.order, recording{id, now})
	for len(b.entries) > MaxOrigins || len(b.order) > maxRecordings {
		b.dropOldest()
	}
}

// Find returns the origin of the stream, or false if it is not known.
func (b *Book) Find(id string, now time.Duration) (Origin, bool) {
	x, ok := b.entries[keyOf(id)]
	if !ok || now-x.at >= TTL {
		return Origin{}, false
	}
	return x.origin, true
}

// Len returns the number of origins.
func (b *Book) Len() int { return len(b.entries) }

// expire drops the origins that were recorded last before TTL.
func (b *Book) expire(now time.Duration) {
	for len(b.order) > 0 && now-b.order[0].at >= TTL {
		b.dropOldest()
	}
}

// dropOldest drops the oldest recording, and the entry if it was not recorded since.
func (b *Book) dropOldest() {
	oldest := b.order[0]
	b.order = b.order[1:]
	if b.entries[oldest.id].at == oldest.at {
		delete(b.entries, oldest.id)
	}
}
