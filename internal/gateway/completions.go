package gateway

import "time"

// maxCompletions bounds each of the two halves of the completions that are remembered.
const maxCompletions = 8192

// completions holds when requests with a fingerprint last ran to their end. It forgets the
// oldest ones. Its zero value is empty.
type completions struct {
	// recent is filled until it has maxCompletions entries, and then replaces older.
	recent, older map[uint64]time.Duration
}

func (c *completions) add(fingerprint uint64, at time.Duration) {
	if c.recent == nil || len(c.recent) >= maxCompletions {
		c.recent, c.older = make(map[uint64]time.Duration), c.recent
	}
	c.recent[fingerprint] = at
}

// last returns when a request with the fingerprint last ran to its end.
func (c *completions) last(fingerprint uint64) (time.Duration, bool) {
	if at, ok := c.recent[fingerprint]; ok {
		return at, true
	}
	at, ok := c.older[fingerprint]
	return at, ok
}
