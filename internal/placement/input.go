package placement

import (
	"math"
	"time"

	"parsleyramp/internal/closing"
	"parsleyramp/internal/wire"
)

// Budget bounds what may be in flight at the weight store.
type Budget struct {
	// ModelLoads and AdapterLoads are how many may be in flight at once.
	ModelLoads   int
	AdapterLoads int
	// ModelStarts is how many model loads may start now by the store's rate.
	ModelStarts int
}

// Policy is the operator's choice between attainment and moves.
type Policy struct {
	// MoveWeight is 0 where only attainment counts and 1 where moves count most.
	MoveWeight float64
	// ReplicaRate is how many requests a second one replica answers in time.
	ReplicaRate float64
	// SpareGrace is how long the replica on a lost engine still counts for a
	// model that serves elsewhere. The weight of moves lengthens it fourfold at
	// most. Zero stands for DefaultSpareGrace.
	SpareReplicaGrace time.Duration
}

// DefaultSpareGrace outlasts an engine's restart of its network connection.
const DefaultSpareReplicaGrace = 10 * time.Second

// Demand is the estimated arrival rate of one model in requests a second.
type Demand struct {
	Short float64
	Long  float64
}

// Health is how steady an engine has been.
type Health struct {
	// LostFor is how long the engine has not answered; zero while it answers.
	UnresponsiveFor time.Duration
	// Unstable engines came back a short while ago and are avoided.
	Unstable bool
}

// Input is everything that a plan depends on.
type Input struct {
	Sections  []*closing.Section
	Endpoints []*wire.Endpoint
	Residents []*wire.Resident
	Orders    []*wire.Order
	// Idle reports that no request runs on a draining resident any more.
	Idle   func(*wire.Resident) bool
	Budget Budget
	Policy Policy
	// Demand by full model name. A model without an entry has no demand.
	Demand map[string]Demand
	// Health by engine. An engine without an entry has been steady, or lost
	// for long where it is not reachable.
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

// Step is one change of what is resident, with the reason for operators.
type Step struct {
	Action   Action
	Endpoint string
	Model    string
	Version  string
	Adapter  string
	Memory   uint64
	Reason   string
}

// Command returns the command that records the step, for the term's leader
// and the engine's incarnation on record.
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

// Unmet is a declared model or adapter that is not in service, and why.
type Unmet struct {
	Team    string
	Model   string
	Version string
	Adapter string
	Reason  string
}

// Result is a plan: the next steps, the most urgent first, and what is unmet.
type Result struct {
	Steps []Step
	Unmet []Unmet
}

const bytesPerMB = 1 << 20

// wanted is one declared model with what is resident of it.
type declaredModel struct {
	team             string
	name             string
	version          string
	memory           uint64
	declaredReplicas int
	// urgency is the lowest priority number of the section's classes.
	priority int32
	adapters []closing.Adapter
	demand   float64
	// held are the residents of the model itself, in every version and state.
	residents []replica
	// homes are the declared adapters' residents of the declared version.
	adapterReplicas map[string][]replica
}

type replica struct {
	engine   *engine
	resident *wire.Resident
}

// estimate weighs a burst by how little moves count.
func (p Policy) estimate(d Demand) float64 {
	return d.Long + (1-p.MoveWeight)*max(0, d.Short-d.Long)
}

// ratio is the demand in units of what n replicas answer in time.
func (p Policy) loadRatio(m *declaredModel, n int) float64 {
	if m.demand == 0 {
		return 0
	}
	if n == 0 {
		return math.Inf(1)
	}
	return m.demand / (float64(n) * max(p.ReplicaRate, 1e-9))
}

// overload is the ratio from which a further replica is worth a load.
func (p Policy) overloadRatio() float64 { return 0.8 + 0.4*p.MoveWeight }

// evictionGap is by how much the ratio of the model that gains must exceed
// that of the model that loses a replica.
func (p Policy) minEvictionGap() float64 { return 0.4 + 0.8*p.MoveWeight }

// adapterName is the name under which an adapter's version is resident.
func adapterName(a closing.Adapter) string { return a.Name + "@" + a.Version }
