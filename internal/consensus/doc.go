// Package consensus implements the core of the Raft consensus algorithm: leader
// election with pre-vote, log replication, snapshots, one-at-a-time membership
// changes with learners, leadership transfer and a leader lease. It follows
// Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
// 2014, and Ongaro's dissertation, 2014, chapters 4, 6.4 and 9.6.
//
// The core does no I/O and reads no clock. The caller passes in messages,
// proposals and the monotonic time, and receives a batch of Effects. It sends
// Effects.EarlyMessages at once, must sync Effects.HardState, Effects.Snapshot
// and Effects.Entries before it sends Effects.Messages, and calls Persisted
// afterwards. This order makes votes and acknowledged entries survive a crash.
package consensus
