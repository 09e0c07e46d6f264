// Package replica runs one control replica: it joins the consensus core, the
// journal, the replicated state machine and the network. One goroutine owns
// all of them; others reach them through channels.
package replica
