// Package residency decides which models the engines of a service hold, from
// the demand of the last seconds. It answers the load of a fleet whose demand
// moves to other models within seconds: a model that is asked for and held
// nowhere comes first, then the model whose replicas are fullest. A model is
// unloaded only to make room, and the last replica of a model goes last.
//
// It does no I/O and reads no clock; the weight store's rate is a budget that
// the caller passes in.
package residency
