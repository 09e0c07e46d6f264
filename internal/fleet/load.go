package fleet

import (
	"sync"
	"time"

	"parsleyramp/internal/wire"
)

// Load is what is in progress at one endpoint.
type Load struct {
	Running int
	Tokens  int
	// Unread counts the prompt tokens of requests that have no answer yet. An
	// engine that reads prompts lets its other answers pause.
	Unread int
}

// Loads counts what this gateway has in progress and adds what the others
// said last. It is safe for concurrent use.
type Loads struct {
	mu     sync.Mutex
	own    map[string]Load
	others map[string]Load
	health map[string]*health
	// stale is set while the others' counts are old. Then each of the others is
	// taken to have as much in progress as this one.
	stale bool
	// gateways is how many gateways share the endpoints, this one included.
	gateways int
	draw     func(n int) int
}

// NewLoads returns empty counts. draw returns a random number below n.
func NewLoads(draw func(n int) int) *Loads {
	return &Loads{own: map[string]Load{}, others: map[string]Load{}, health: map[string]*health{}, gateways: 1, draw: draw}
}

// Begin counts a request with a prompt that is sent to the endpoint.
func (l *Loads) Begin(endpoint string, tokens, prompt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.own[endpoint]
	o.Running++
	o.Tokens += tokens
	o.Unread += prompt
	l.own[endpoint] = o
}

// Read takes back the prompt of a request whose answer has begun or ended.
func (l *Loads) Read(endpoint string, prompt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.own[endpoint]; ok {
		o.Unread -= prompt
		l.own[endpoint] = o
	}
}

// End takes back what Begin counted.
func (l *Loads) End(endpoint string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.own[endpoint]
	o.Running--
	o.Tokens -= tokens
	if o.Running <= 0 {
		delete(l.own, endpoint)
		return
	}
	l.own[endpoint] = o
}

// Own returns what this gateway has in progress.
func (l *Loads) Own() []*wire.InProgress {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*wire.InProgress
	for id, o := range l.own {
		out = append(out, &wire.InProgress{Endpoint: id, Running: uint32(o.Running), Tokens: uint64(max(o.Tokens, 0))})
	}
	return out
}

// TokenUnit is the unit in which gateways are told the tokens in progress.
const TokenUnit = 256

// SetOthers replaces what the other gateways have in progress: requests and
// units of tokens at each of the endpoints. It returns false, and changes
// nothing, where the numbers are not those of the endpoints.
func (l *Loads) SetOthers(endpoints []*Endpoint, running, tokenUnits []uint32) bool {
	if len(running) != len(endpoints) || len(tokenUnits) != len(endpoints) {
		return false
	}
	others := make(map[string]Load, len(endpoints))
	for i, e := range endpoints {
		if running[i] > 0 {
			others[e.ID] = Load{Running: int(running[i]), Tokens: int(tokenUnits[i]) * TokenUnit}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = others
	return true
}

// SetStale says whether the counts of the others are old. Then each of the
// other gateways is taken to have as much in progress as this one.
func (l *Loads) SetStale(stale bool, gateways int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale, l.gateways = stale, max(gateways, 1)
}

// maxUnreadScale bounds the estimate of the prompts that others have sent to an
// endpoint. Among many gateways the prompt of one says little of the others'.
const maxUnreadScale = 8

// of returns the sum. The caller holds the lock.
func (l *Loads) of(endpoint string) Load {
	a, b := l.own[endpoint], l.others[endpoint]
	// Prompts are read within less time than counts take to go round, so those
	// of the others are estimated.
	unread := a.Unread * min(l.gateways, maxUnreadScale)
	if l.stale {
		return Load{Running: a.Running * l.gateways, Tokens: a.Tokens * l.gateways, Unread: unread}
	}
	return Load{Running: a.Running + b.Running, Tokens: a.Tokens + b.Tokens, Unread: unread}
}

const (
	// failureWeight is the share of the newest result in the failure rate.
	failureWeight = 0.15
	// suspectRate is the failure rate from which an endpoint is used only
	// where no better one is left.
	suspectRate = 0.3
	// rateHalfLife is the time in which a failure rate halves without results,
	// so that an endpoint that recovered is tried again.
	rateHalfLife = 2 * time.Second
	// unreachablePause is how long an endpoint that refused a connection or
	// said that it is another one is left alone.
	unreachablePause = time.Second
)

// health is what results say of an endpoint.
type health struct {
	rate    float64
	at      time.Duration
	blocked time.Duration
}

// Result is what became of one request at an endpoint.
type Result int

// Results of requests at an endpoint.
const (
	// Served requests got a whole answer of the endpoint.
	Served Result = iota
	// Faulty requests got an answer of the endpoint's own failure, or a broken one.
	Faulty
	// Unreachable endpoints took no connection or are not what the view says.
	Unreachable
)

// Note records a result at a time.
func (l *Loads) Note(endpoint string, r Result, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.health[endpoint]
	if h == nil {
		h = &health{}
		l.health[endpoint] = h
	}
	h.decay(now)
	failed := 0.0
	if r != Served {
		failed = 1
	}
	h.rate += failureWeight * (failed - h.rate)
	if r == Unreachable {
		h.blocked = now + unreachablePause
	}
}

func (h *health) decay(now time.Duration) {
	for now-h.at > rateHalfLife && h.rate > 0.01 {
		h.rate /= 2
		h.at += rateHalfLife
	}
	h.at = max(h.at, now-rateHalfLife)
}

// suspect reports whether the endpoint is to be avoided. The caller holds the
// lock.
func (l *Loads) suspect(endpoint string, now time.Duration) bool {
	h := l.health[endpoint]
	if h == nil {
		return false
	}
	h.decay(now)
	return now < h.blocked || h.rate > suspectRate
}
