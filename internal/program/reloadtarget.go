package program

import "sync"

// ReloadTarget passes reloaded settings to a server. Settings that are reloaded
// while the server starts are passed to it once it has started. The zero value is
// ready for use.
type ReloadTarget[S any] struct {
	mu      sync.Mutex
	apply   func(S)
	pending *S
}

// Apply passes the settings to the server, now or once it has started.
func (t *ReloadTarget[S]) Apply(s S) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.apply == nil {
		t.pending = &s
		return
	}
	t.apply(s)
}

// Started sets the function that applies settings to the server.
func (t *ReloadTarget[S]) Started(apply func(S)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply = apply
	if t.pending != nil {
		apply(*t.pending)
		t.pending = nil
	}
}
