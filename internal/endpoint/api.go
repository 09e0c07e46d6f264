package endpoint

// Paths of the engine protocol beside the usual OpenAI-style ones.
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
)

// OrderKind is what an engine is told to do.
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
	// Incarnation is the one the order is meant for; another one refuses it.
	Incarnation string `json:"incarnation"`
	Role        string `json:"role,omitempty"`
}

// OrderResult is the answer to an order.
type OrderResult struct {
	Done bool `json:"done"`
	// Reason says why it was not done: stale_fence, incarnation, memory, busy.
	Reason string `json:"reason,omitempty"`
}

// ResidentState is one model or adapter version in an engine's memory.
type ResidentState struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Adapter     string `json:"adapter,omitempty"`
	MemoryBytes uint64 `json:"memory_bytes"`
	Running     int    `json:"running"`
	// Loading is true until the weights have arrived. The memory is taken already.
	Loading bool `json:"loading,omitempty"`
}

// EngineState is the body of GET /engine/state: exact, not lagging.
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

// CacheEvent tells that a prefix was cached or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Stored   bool   `json:"stored"`
	// Prefix is the digest of the prompt's prefix.
	Prefix uint64 `json:"prefix"`
	Model  string `json:"model"`
}

// ServedName returns the model name that an engine knows a resident by.
func ServedName(model, version, adapter string) string {
	name := model + "@" + version
	if adapter != "" {
		name += ":" + adapter
	}
	return name
}
