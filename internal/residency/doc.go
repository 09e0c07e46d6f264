// Package residency decides which models are resident on the engines of a service,
// from the demand of the last seconds. It is designed for fleets whose demand shifts
// between models within seconds: a requested model without a replica comes first,
// then other models without one, then the model with the highest demand per replica. A model is unloaded only to
// free memory for another one, and the last replica of a model is unloaded last.
//
// It does no I/O and reads no clock. The rate of the weight store is a budget that
// the caller passes in.
package residency
