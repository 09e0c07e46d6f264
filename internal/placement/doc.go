// Package placement decides which models, adapters and versions are resident
// on which engines. It does no I/O: a plan is a function of its input, and
// its steps are carried out by control, one recorded order at a time.
package placement
