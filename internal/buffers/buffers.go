// Package buffers bounds the bytes of responses that a process holds in memory at the same time.
// Where there is no room for more, the response that holds the most is given up, so that one that
// never ends takes no room from others.
package buffers

import (
	"context"
	"sync"

	"parsleyramp/internal/fail"
)

// errGivenUp is the failure of a response that holds the most.
var errGivenUp = fail.New(fail.Overloaded, "too many bytes of responses are being buffered, and this one holds the most").WithRan(fail.RanUnknown)

// Budget bounds the bytes of all its shares. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// used counts the bytes that are held, and leaving those of them that given-up shares hold.
	used, leaving int64
	// reading holds the shares of responses that are still being read.
	reading map[*Share]struct{}
	// returned is closed and replaced when bytes are returned.
	returned chan struct{}
}

// NewBudget returns an unused budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reading: map[*Share]struct{}{}, returned: make(chan struct{})}
}

// Used returns how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Share is what one response holds. Its methods must not be called concurrently.
type Share struct {
	budget *Budget
	ctx    context.Context
	cancel context.CancelFunc
	// The mutex of the budget guards these.
	bytes   int64
	givenUp bool
}

// Begin returns a share of a response that is about to be read, which holds nothing. cancel ends ctx and
// the reading, and is called if the response is given up. End must be called after it.
func (b *Budget) Begin(ctx context.Context, cancel context.CancelFunc) *Share {
	s := &Share{budget: b, ctx: ctx, cancel: cancel}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading[s] = struct{}{}
	return s
}

// Resize makes the share hold the number of bytes. It waits for room that responses which hold more have
// to make. It fails with fail.Overloaded if this one holds the most or was given up, and with the error of
// the context once that has ended.
func (s *Share) Resize(bytes int64) error {
	for {
		returned, err := s.tryResize(bytes)
		if returned == nil {
			return err
		}
		select {
		case <-returned:
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
}

// tryResize resizes the share, or returns a channel that is closed when there may be room.
func (s *Share) tryResize(bytes int64) (returned <-chan struct{}, err error) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.givenUp {
		return nil, errGivenUp
	}
	more := bytes - s.bytes
	if more <= 0 || b.used+more <= b.limit {
		b.setLocked(s, bytes)
		return nil, nil
	}
	for b.used-b.leaving+more > b.limit {
		largest := b.largestLocked(s)
		if largest == nil || largest.bytes < bytes {
			return nil, errGivenUp
		}
		largest.givenUp = true
		b.leaving += largest.bytes
		largest.cancel()
	}
	return b.returned, nil
}

// largestLocked returns the response that holds the most, apart from s and those that were given up.
func (b *Budget) largestLocked(s *Share) *Share {
	var largest *Share
	for other := range b.reading {
		if other != s && !other.givenUp && (largest == nil || other.bytes > largest.bytes) {
			largest = other
		}
	}
	return largest
}

func (b *Budget) setLocked(s *Share, bytes int64) {
	b.used += bytes - s.bytes
	if bytes < s.bytes {
		close(b.returned)
		b.returned = make(chan struct{})
	}
	s.bytes = bytes
}

// Complete records that the response has been read and stays in memory until End. It is not given up
// any more. It fails with fail.Overloaded if it was given up before.
func (s *Share) Complete() error {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.givenUp {
		return errGivenUp
	}
	delete(b.reading, s)
	return nil
}

// End returns what the share holds. Further calls do nothing.
func (s *Share) End() {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, s)
	if s.givenUp {
		b.leaving -= s.bytes
		s.givenUp = false
	}
	b.setLocked(s, 0)
}
