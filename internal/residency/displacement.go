package residency

// Reason is why a plan unloads a replica for another model.
type Reason int

// Reasons to unload a replica.
const (
	// NotDisplaced is the reason of a replica that may not be unloaded.
	NotDisplaced Reason = iota
	// Undeclared models are part of the fleet document no more.
	Undeclared
	// SpareReplica is one that the demand for its model does not need.
	SpareReplica
	// LessLoaded replicas serve much less demand than those of the other model.
	LessLoaded
	// IdleModel is a model that nobody uses.
	IdleModel
	// PatientModel is one whose requests can wait, unlike those of the other model.
	PatientModel
	// PatientTurn is a model whose requests can wait, and which takes turns with another one.
	PatientTurn
)

// String returns the reason in a form for logs and metrics.
func (r Reason) String() string {
	return [...]string{"none", "undeclared", "spare", "less_loaded", "idle", "patient", "patient_turn"}[r]
}
