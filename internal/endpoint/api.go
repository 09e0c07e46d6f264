package endpoint

// Paths of the engine protocol in addition to the OpenAI-style ones.
const (
	PathState  = "/engine/state"
	PathOrders = "/engine/orders"
	PathLoad   = "/engine/load"
	PathEvents = "/engine/events"
	PathCancel = "/engine/cancel"
)

// Headers of the engine protocol.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderIncarnation = "X-Engine-Incarnation"
	// HeaderLimit names, in responses, the requests a second that the endpoint takes from
	// all callers together, for as long as responses name it.
	HeaderLimit = "X-Engine-Request-Limit"
)

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is the body of POST /engine/orders.
type Order struct {
	FenceTerm     uint64    `json:"fence_term"`
	FenceSequence uint64    `json:"fence_sequence"`
	Kind          OrderKind `json:"kind"`
	Model         string    `json:"model,omitempty"`
	Version       string    `json:"version,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	MemoryBytes   uint64    `json:"memory_bytes,omitempty"`
	// Incarnation is that of the engine process that the order is meant for. An
	// engine with another incarnation rejects the order.
	Incarnation string `json:"incarnation"`
	Role        string `json:"role,omitempty"`
}

// OrderResult is the response to an order.
type OrderResult struct {
	Done bool `json:"done"`
	// Reason is why the order was not executed: stale_fence, incarnation, memory
	// or busy.
	Reason string `json:"reason,omitempty"`
}

// ResidentState is one model or adapter version in an engine's memory.
type ResidentState struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	MemoryBytes uint64 `json:"memory_bytes"`
	Running     int    `json:"running"`
	// Loading is true until the weights are loaded. Their memory is allocated
	// already.
	Loading bool `json:"loading,omitempty"`
}

// EngineState is the body of GET /engine/state. It is exact and does not lag.
type EngineState struct {
	Incarnation   string          `json:"incarnation"`
	MemoryBytes   uint64          `json:"memory_bytes"`
	UsedBytes     uint64          `json:"used_bytes"`
	Slots         int             `json:"slots"`
	Accelerators  int             `json:"accelerators"`
	Residents     []ResidentState `json:"residents"`
	FenceTerm     uint64          `json:"fence_term"`
	FenceSequence uint64          `json:"fence_sequence"`
}

// LoadReport is the body of GET /engine/load. It lags.
type LoadReport struct {
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	TokensPerSec  float64 `json:"tokens_per_second"`
	CacheTokens   int     `json:"cache_tokens"`
	ReportedUnix  int64   `json:"reported_unix_ms"`
	QueueDelayMS  int64   `json:"queue_delay_ms"`
	CacheCapacity int     `json:"cache_capacity_tokens"`
}

// CacheEvent records that a prefix was cached or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	// Prefix is the digest of the prompt's prefix.
	Prefix uint64 `json:"prefix"`
	Model  string `json:"model"`
}

// ServedName returns the model name under which an engine serves a resident.
func ServedName(model, version, adapter string) string {
	name := model + "@" + version
	if adapter != "" {
		name += ":" + adapter
	}
	return name
}
