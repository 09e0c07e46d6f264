// Package document holds the whole declaration of a fleet: routes by host and
// path, the services behind them, and the models of each engine service. One
// document replaces another whole; the one with the highest version is in
// force. The closing document, by contrast, is changed a section at a time.
package document

import "time"

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce
	// Stream marks answers that are a series of events. They run at most once,
	// unless the route allows them to be resumed.
	Stream
)

// String returns the kind's name, for logs and metrics.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "stream"}[k]
}

// Document is one whole declaration.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream,
	// within which the request counts as served in time.
	TargetLatency time.Duration
	// MaxPause is the longest pause between events of a stream that counts as
	// in time; zero where none is declared.
	MaxPause time.Duration
	// ClientEventTimeout is the longest wait for the next event of a stream, the first one
	// included, after which callers leave; zero where that is not known.
	ClientEventTimeout time.Duration
	// Priority ranks routes of one service; 0 is served first.
	Priority int
	// MaxAttempts is to how many endpoints one request may be sent.
	MaxAttempts int
	// Resumable streams may go on at another endpoint after a break.
	Resumable bool
	// Sticky requests name their session by the last part of their prompt.
	Sticky bool
	// Split holds the services that share the route, by weight.
	Split []Share
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is the weight of one service on a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of endpoints that are alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one endpoint accepts from all
	// callers together; zero for no bound.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine works on at once.
	Slots int
	// CacheTokens is how many tokens its memory holds.
	CacheTokens int
	// WeightsMB bounds the weights and adapters that an engine holds.
	WeightsMB float64
	// AdapterSlots bounds the adapters that an engine holds.
	AdapterSlots int
	// MaxReservation is how long an engine reserves a place at most; zero where it
	// reserves none.
	MaxReservation time.Duration
	// LoadsPerSecond bounds the loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Model is one model that engines may hold.
type Model struct {
	Name      string
	WeightsMB float64
	// Load is the time of a load from the weight store, LoadFromMemory from
	// the engine's own memory and LoadFromDisk from its disk.
	Load           time.Duration
	LoadFromMemory time.Duration
	LoadFromDisk   time.Duration
	// Adapters is how many adapters the model has, and AdapterMB their size.
	Adapters  int
	AdapterMB float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service returns the named service, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Model returns the named model of an engine service, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}
