// Package document defines the fleet document: routes by host and path, the services
// that they lead to, and the models of each engine service. A document replaces the
// previous one completely, and the one with the highest version applies. The
// desired-state document, in contrast, is changed one section at a time.
package document

import (
	"slices"
	"time"
)

// UrgentTarget is the longest target latency of urgent routes. Routes without a target are urgent
// too; the requests of others are patient, so that they can wait for their turn.
const UrgentTarget = time.Second

// Kind determines whether requests of a route may be retried.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce
	// Stream marks requests whose response is a stream of events. They run at most
	// once, unless the route is resumable.
	Stream
)

// String returns the kind's name, for logs and metrics.
func (k Kind) String() string {
	return [...]string{"idempotent", "once", "stream"}[k]
}

// Document is one version of the fleet document.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Workspaces are those whose keys clients need; empty if requests need no key.
	Workspaces []Workspace
	Limits     Limits
}

// Route determines the services for requests with a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds a request from its arrival to the end of its response.
	Timeout time.Duration
	// TargetLatency is the time to the response, or to the first event of a stream,
	// within which the request counts as served on time.
	TargetLatency time.Duration
	// MaxPause is the longest pause between events of a stream that counts as on
	// time; zero if not declared.
	MaxPause time.Duration
	// ClientEventTimeout is how long clients wait for the next event of a stream,
	// including the first one, before they disconnect; zero if not known.
	ClientEventTimeout time.Duration
	// Priority orders the routes of one service; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Resumable streams may be resumed at another endpoint after an interruption.
	Resumable bool
	// Public routes are served without a key.
	Public bool
	// Sticky requests identify their session by the last part of their prompt.
	Sticky bool
	// Split holds the services that share the route, by weight.
	Split []Share
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Serves reports whether the service has a share of the route.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service })
}

// Share is the weight of one service on a route.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one endpoint accepts in total; zero for
	// no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many concurrent requests an engine serves.
	Slots int
	// CacheTokens is how many tokens the memory of an engine holds.
	CacheTokens int
	// WeightsMB bounds the memory of the models and adapters on an engine.
	WeightsMB float64
	// AdapterSlots bounds the number of adapters on an engine.
	AdapterSlots int
	// MaxReservation is the maximum time for which an engine reserves a slot; zero if
	// it does not support reservations.
	MaxReservation time.Duration
	// LoadsPerSecond bounds the rate of loads from the weight store by all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a model that can be loaded on engines.
type Model struct {
	Name      string
	WeightsMB float64
	// Load is the load time from the weight store, LoadFromMemory that from the
	// engine's own memory and LoadFromDisk that from its disk.
	Load           time.Duration
	LoadFromMemory time.Duration
	LoadFromDisk   time.Duration
	// Adapters is how many adapters the model has, and AdapterMB the size of each.
	Adapters  int
	AdapterMB float64
}

// Limits bound the requests of clients.
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
