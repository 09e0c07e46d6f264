// Package consensus is the core of a replicated log: leader election with
// pre-vote, log replication, snapshots, one-at-a-time membership changes with
// learners and a leader lease. It follows Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014, and Ongaro's
// dissertation, 2014, chapters 4, 6.4 and 9.6).
//
// The core does no I/O and reads no clock. Messages, proposals and the
// monotonic time are passed in; a batch of Effects comes out. The caller sends
// Effects.Early at once, must sync Effects.HardState, Effects.Snapshot and
// Effects.Entries before it sends Effects.Messages, and calls Persisted
// afterwards. This order is what makes
// a vote or an acknowledged entry survive a crash.
package consensus
