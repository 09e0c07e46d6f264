// Package placement decides which models, adapters and versions are resident
// on which engines. It does no I/O: a plan is a function of its input, and the
// control plane executes its steps, with one committed order at a time for each
// engine.
package placement
