// Package replica runs one control replica: it connects the consensus core, the
// journal, the replicated state machine and the network. The goroutine that runs
// Node.Run owns the core and the state machine; other goroutines pass functions
// to it through a channel.
package replica
