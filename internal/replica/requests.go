package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// Status is what a replica knows of its group.
type Status struct {
	ID         uint64
	Leader     uint64
	Term       uint64
	Commit     uint64
	Leading    bool
	Membership *wire.Membership
}

// LeaderAddress returns the address of the known leader, or "".
func (s Status) LeaderAddress() string {
	for _, r := range s.Membership.GetReplicas() {
		if r.Id == s.Leader {
			return r.Address
		}
	}
	return ""
}

// Deliver passes in messages from other replicas. It drops them where the
// control goroutine cannot keep up.
func (n *Node) Deliver(messages []*wire.RaftMessage) {
	f := func() {
		now := n.opt.Now()
		for _, m := range messages {
			n.core.Step(now, m)
		}
	}
	select {
	case n.inbox <- f:
	default:
	}
}

// do runs f on the control goroutine and waits for it.
func (n *Node) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case n.inbox <- func() { f(); close(done) }:
	case <-ctx.Done():
		return fail.Wrap(ctx.Err(), fail.Unavailable, "control is busy")
	case <-n.stopped:
		return errStopped
	}
	select {
	case <-done:
		return nil
	case <-n.stopped:
		return errStopped
	}
}

var errStopped = fail.New(fail.Unavailable, "the replica has stopped")

// Propose commits the command and returns the state machine's answer. An
// error with an unknown outcome means that the command may still take effect.
func (n *Node) Propose(ctx context.Context, c *wire.Command) (*wire.CommandResult, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fail.Wrap(err, fail.Internal, "encode command")
	}
	return n.propose(ctx, func() (uint64, error) { return n.core.Propose(data) })
}

// ProposeMembership commits a change of the replicas.
func (n *Node) ProposeMembership(ctx context.Context, m *wire.Membership) error {
	_, err := n.propose(ctx, func() (uint64, error) { return n.core.ProposeMembership(m) })
	return err
}

func (n *Node) propose(ctx context.Context, start func() (uint64, error)) (*wire.CommandResult, error) {
	done := make(chan proposalResult, 1)
	err := n.do(ctx, func() {
		index, err := start()
		if err != nil {
			done <- proposalResult{err: err}
			return
		}
		n.pending[index] = pendingProposal{term: n.core.Term(), done: done}
	})
	if err != nil {
		return nil, err
	}
	select {
	case r := <-done:
		return r.result, r.err
	case <-ctx.Done():
		return nil, fail.Wrap(ctx.Err(), fail.Unavailable, "not committed in time").WithRan(fail.RanUnknown)
	}
}

// Leadership is what a read on the leader is told.
type Leadership struct {
	Term uint64
	// Since is the monotonic time at which the lease was last checked.
	Now time.Duration
}

// Read runs f on the control goroutine of a leader whose lease holds, so that
// f sees every command that was acknowledged before. f must not block or keep
// the machine.
func (n *Node) Read(ctx context.Context, f func(Leadership, *state.Machine)) error {
	var failure error
	err := n.do(ctx, func() {
		now := n.opt.Now()
		if n.core.Role() != consensus.Leader || n.core.LeaseUntil() <= now {
			failure = fail.New(fail.NotLeader, "this replica does not hold the leader lease")
			return
		}
		f(Leadership{Term: n.core.Term(), Now: now}, n.machine)
	})
	if err != nil {
		return err
	}
	return failure
}

// Status returns what the replica knows of its group, leader or not.
func (n *Node) Status(ctx context.Context) (Status, error) {
	var s Status
	err := n.do(ctx, func() {
		s = Status{
			ID: n.core.ID(), Leader: n.core.Leader(), Term: n.core.Term(), Commit: n.core.Commit(),
			Leading: n.core.Role() == consensus.Leader, Membership: proto.Clone(n.core.Membership()).(*wire.Membership),
		}
	})
	return s, err
}

// CaughtUp reports whether a learner has stored nearly the whole log.
func (n *Node) CaughtUp(ctx context.Context, id uint64) (bool, error) {
	var ok bool
	err := n.do(ctx, func() { ok = n.core.CaughtUp(id) })
	return ok, err
}

// Bootstrap installs the first membership on a blank replica.
func (n *Node) Bootstrap(ctx context.Context, m *wire.Membership) error {
	var failure error
	err := n.do(ctx, func() {
		if len(n.core.Membership().GetReplicas()) > 0 {
			failure = fail.New(fail.MembershipChange, "the replica belongs to a group already")
			return
		}
		s := &wire.Snapshot{Index: 1, Term: 1, Membership: m}
		if failure = n.opt.Storage.SaveSnapshot(s, nil); failure != nil {
			return
		}
		initial := consensus.Initial{ID: n.core.ID(), HardState: &wire.HardState{Term: 1}, Snapshot: s}
		if failure = n.opt.Storage.Save(initial.HardState, nil); failure != nil {
			return
		}
		n.core = consensus.New(n.opt.Consensus, initial, n.opt.Now(), n.opt.Seed)
		n.snapshotIndex = s.Index
	})
	if err != nil {
		return err
	}
	return failure
}

// Identity returns the replica's identity as it was at start.
func (n *Node) Identity() journal.Identity { return n.opt.Identity }
