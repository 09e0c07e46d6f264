// Package wire defines the protocol between the processes of the system and the
// encoding of the replicated state. Its code is generated from proto/ by
// `make generate` and committed.
package wire
