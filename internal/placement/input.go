package placement

import (
	"math"
	"time"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/wire"
)

// Budget limits the loads from the weight store.
type Budget struct {
	// ModelLoads and AdapterLoads are the numbers of loads that may be in flight
	// at once.
	ModelLoads   int
	AdapterLoads int
	// ModelStarts is the number of model loads that may start now under the rate
	// limit of the store.
	ModelStarts int
}

// Policy is the operator's trade-off between attainment, the share of requests
// answered in time, and the number of moves.
type Policy struct {
	// MoveWeight is 0 if only attainment counts and 1 if moves count most.
	MoveWeight float64
	// ReplicaRate is the number of requests per second that one replica answers
	// in time.
	ReplicaRate float64
	// SpareReplicaGrace is how long a replica on an unresponsive engine still
	// counts for a model that serves elsewhere. MoveWeight lengthens it up to
	// fourfold. Zero means DefaultSpareReplicaGrace.
	SpareReplicaGrace time.Duration
}

// DefaultSpareReplicaGrace is longer than an engine takes to restart its
// network connection.
const DefaultSpareReplicaGrace = 10 * time.Second

// Demand is the estimated arrival rate of one model in requests per second,
// averaged over ShortWindow and LongWindow.
type Demand struct {
	Short float64
	Long  float64
}

// Health is the recent stability of an engine.
type Health struct {
	// UnresponsiveFor is how long the engine has been unresponsive, or zero.
	UnresponsiveFor time.Duration
	// Unstable engines have recently recovered or restarted, or an order to them
	// was abandoned. They are avoided.
	Unstable bool
}

// Input is the complete input of a plan.
type Input struct {
	Sections  []*desired.Section
	Endpoints []*wire.Endpoint
	Residents []*wire.Resident
	Orders    []*wire.Order
	// Idle reports whether a draining resident has no request in flight.
	Idle   func(*wire.Resident) bool
	Budget Budget
	Policy Policy
	// Demand holds the demand by full model name. A model without an entry has
	// none.
	Demand map[string]Demand
	// Health holds the health by engine. An engine without an entry is stable if
	// it is reachable, else it has been unresponsive for a long time.
	Health map[string]Health
}

// Action is what a step does to a resident.
type Action int

// Actions of a step.
const (
	Load Action = iota
	Drain
	Unload
)

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case Load:
		return "load"
	case Drain:
		return "drain"
	}
	return "unload"
}

// Step is one change to a resident. Reason is for operators.
type Step struct {
	Action   Action
	Endpoint string
	Model    string
	Version  string
	Adapter  string
	Memory   uint64
	Reason   string
}

// Command returns the command that commits the step, for the leader's term and
// the recorded incarnation of the engine.
func (s Step) Command(term uint64, incarnation string) *wire.Command {
	if s.Action == Drain {
		return &wire.Command{Body: &wire.Command_SetResident{SetResident: &wire.SetResident{
			Endpoint: s.Endpoint, Model: s.Model, Version: s.Version, Adapter: s.Adapter,
			State: wire.ResidentState_RESIDENT_STATE_DRAINING,
		}}}
	}
	kind := wire.OrderKind_ORDER_KIND_LOAD
	if s.Action == Unload {
		kind = wire.OrderKind_ORDER_KIND_UNLOAD
	}
	return &wire.Command{Body: &wire.Command_IssueOrder{IssueOrder: &wire.IssueOrder{Order: &wire.Order{
		FenceTerm: term, Kind: kind, Endpoint: s.Endpoint, Model: s.Model, Version: s.Version,
		Adapter: s.Adapter, MemoryBytes: s.Memory, Incarnation: incarnation, Reason: s.Reason,
	}}}}
}

// Unmet is a declared model or adapter that is not in service, with the reason.
type Unmet struct {
	Team    string
	Model   string
	Version string
	Adapter string
	Reason  string
}

// Result is a plan: the next steps, the most urgent first, and the unmet
// declarations.
type Result struct {
	Steps []Step
	Unmet []Unmet
}

const bytesPerMB = 1 << 20

// declaredModel is a declared model with its residents.
type declaredModel struct {
	team             string
	name             string
	version          string
	memory           uint64
	declaredReplicas int
	// priority is the lowest priority number among the section's classes. Models
	// with lower numbers are loaded first.
	priority int32
	adapters []desired.Adapter
	demand   float64
	// residents are the residents of the model itself, in any version and state.
	residents []replica
	// adapterReplicas are the residents of its adapters on the declared version,
	// by adapter name and version.
	adapterReplicas map[string][]replica
}

// replica is one resident model or adapter on its engine.
type replica struct {
	engine   *engine
	resident *wire.Resident
}

// estimate returns the long-term demand plus the fraction 1-MoveWeight of the
// short-term excess over it.
func (p Policy) estimate(d Demand) float64 {
	return d.Long + (1-p.MoveWeight)*max(0, d.Short-d.Long)
}

// loadRatio returns the demand as a multiple of what n replicas answer in time.
func (p Policy) loadRatio(m *declaredModel, n int) float64 {
	if m.demand == 0 {
		return 0
	}
	if n == 0 {
		return math.Inf(1)
	}
	return m.demand / (float64(n) * max(p.ReplicaRate, 1e-9))
}

// overloadRatio returns the load ratio above which a further replica is added.
func (p Policy) overloadRatio() float64 { return 0.8 + 0.4*p.MoveWeight }

// minEvictionGap returns by how much the load ratio of the model that gains
// memory must exceed that of the model that loses a replica.
func (p Policy) minEvictionGap() float64 { return 0.4 + 0.8*p.MoveWeight }

// adapterName returns the name and version under which an adapter is resident.
func adapterName(a desired.Adapter) string { return a.Name + "@" + a.Version }
