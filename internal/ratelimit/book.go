package ratelimit

import "time"

// liftMargin is how much later than a limit was named a request must have been sent for
// its response to lift the limit. Responses on different connections overtake each other,
// and the times of different VMs are compared.
const liftMargin = 250 * time.Millisecond

// Statement is what a VM knows of an endpoint's limit.
type Statement struct {
	// Limited is set if the endpoint has a limit.
	Limited   bool
	PerSecond float64
	// At is when the response that named the limit arrived, or when the request was sent
	// whose response named none.
	At time.Duration
}

// NewStatement returns the statement of a response to a request that was sent at sentAt, or
// false if it makes none.
func NewStatement(l Limit, sentAt, now time.Duration) (Statement, bool) {
	switch l.Kind {
	case Named:
		return Statement{Limited: true, PerSecond: l.PerSecond, At: now}, true
	case Unstated:
		return Statement{At: sentAt}, true
	}
	return Statement{}, false
}

// Book holds the newest statement on each endpoint that has ever named a limit. Its zero
// value is empty. It is not safe for concurrent use.
type Book struct{ statements map[string]Statement }

// Change is how a statement has changed what is known of an endpoint.
type Change int

// Changes.
const (
	// Unchanged: the statement is old, or says what was known.
	Unchanged Change = iota
	// NewLimit: a limit is named for the first time, or again.
	NewLimit
	// OtherLimit: the limit has another rate.
	OtherLimit
	// Lifted: the endpoint names no limit any more.
	Lifted
)

// String returns the form of the change in logs.
func (c Change) String() string { return [...]string{"unchanged", "named", "changed", "lifted"}[c] }

// Record records a statement on an endpoint, unless a newer one is known.
func (b *Book) Record(endpoint string, s Statement) Change {
	known, ok := b.statements[endpoint]
	switch {
	case !ok && !s.Limited:
		return Unchanged
	case ok && s.At < known.At, ok && known.Limited && !s.Limited && s.At <= known.At+liftMargin:
		return Unchanged
	}
	if b.statements == nil {
		b.statements = map[string]Statement{}
	}
	b.statements[endpoint] = s
	switch {
	case s.Limited && !known.Limited:
		return NewLimit
	case s.Limited && s.PerSecond != known.PerSecond:
		return OtherLimit
	case !s.Limited && known.Limited:
		return Lifted
	}
	return Unchanged
}

// Note records a statement that an endpoint has no limit, although this book has none of it.
func (b *Book) Note(endpoint string, s Statement) {
	known, ok := b.statements[endpoint]
	if ok && (known.Limited || s.At <= known.At) {
		return
	}
	if b.statements == nil {
		b.statements = map[string]Statement{}
	}
	b.statements[endpoint] = s
}

// Lookup returns the newest statement on the endpoint, or false if there is none.
func (b *Book) Lookup(endpoint string) (Statement, bool) {
	s, ok := b.statements[endpoint]
	return s, ok
}

// Restart records that the endpoint's process is a new one, which has named nothing.
func (b *Book) Restart(endpoint string, now time.Duration) {
	if _, ok := b.statements[endpoint]; ok {
		b.statements[endpoint] = Statement{At: now}
	}
}

// Retain drops the endpoints for which retain returns false.
func (b *Book) Retain(retain func(endpoint string) bool) {
	for id := range b.statements {
		if !retain(id) {
			delete(b.statements, id)
		}
	}
}

// Limited returns the number of endpoints that have a limit.
func (b *Book) Limited() int {
	n := 0
	for _, s := range b.statements {
		if s.Limited {
			n++
		}
	}
	return n
}
