// Package wire is the protocol between the system's own processes and the
// form of the replicated state. The code is generated from proto/ by
// `make generate` and committed.
package wire
