package replica

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// Status is the state of the group as one replica knows it.
type Status struct {
	ID         uint64
	Leader     uint64
	Term       uint64
	Commit     uint64
	Leading    bool
	Membership *wire.Membership
	// MembershipCommitted is true if the replica knows that the membership is committed.
	// Until then, a decision needs a quorum of the one before, too.
	MembershipCommitted bool
	// StorageFailing is true while the storage of this replica refuses writes. It then takes
	// no part in the group, and the other fields are those of before, except for the leader.
	StorageFailing bool
	// Reachable, CaughtUp and Stopping are known only to a leader: the replicas that
	// responded within an election timeout, those that store nearly the whole log, and
	// those that are about to stop.
	Reachable map[uint64]bool
	CaughtUp  map[uint64]bool
	Stopping  map[uint64]bool
}

// LeaderAddress returns the address of the leader, or "" if it is unknown.
func (s Status) LeaderAddress() string { return addressOf(s.Membership, s.Leader) }

// addressOf returns the address of the replica with the id, or "" if there is none.
func addressOf(m *wire.Membership, id uint64) string {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return r.Address
		}
	}
	return ""
}

// Deliver queues messages from other replicas. It drops them when the inbox is
// full or the queued messages exceed maxInboxBytes.
func (n *Node) Deliver(messages []*wire.RaftMessage) {
	size := int64(messageBytes(messages...))
	if n.inboxBytes.Add(size) > maxInboxBytes+size {
		n.inboxBytes.Add(-size)
		return
	}
	f := func() {
		n.inboxBytes.Add(-size)
		if n.outage != nil {
			n.outage.hear(messages)
			return
		}
		now := n.opt.Now()
		for _, m := range messages {
			n.core.Step(now, m)
		}
	}
	select {
	case n.inbox <- f:
	default:
		n.inboxBytes.Add(-size)
	}
}

// MarkLost records that another replica answers at the address of the replica with the
// id, whose disk is lost. It does not block: while the inbox is full it does nothing,
// and the next answer repeats it.
func (n *Node) MarkLost(id uint64) {
	f := func() {
		if n.outage != nil {
			return
		}
		n.core.MarkLost(id)
		if n.core.LostVoter() == id && n.lostVoter != id {
			n.lostVoter = id
			fields := logrus.Fields{"replica": id, "at": addressOf(n.core.Members(), id)}
			n.opt.Log.WithFields(fields).Warn("the disk of a voter is lost: another replica answers at its address")
		}
	}
	select {
	case n.inbox <- f:
	default:
	}
}

// messageBytes returns the approximate memory size of the messages.
func messageBytes(messages ...*wire.RaftMessage) int {
	const overhead = 64
	n := 0
	for _, m := range messages {
		n += overhead + len(m.Snapshot.GetData())
		for _, e := range m.Entries {
			n += overhead + len(e.Data)
		}
	}
	return n
}

// do runs f, which may use the core, on the Run goroutine and waits for it, or returns
// errStorageFailing. After an error with an unknown outcome f may still run, so the caller must
// not read what f writes.
func (n *Node) do(ctx context.Context, f func()) error {
	failing := false
	err := n.doAlways(ctx, func() {
		if failing = n.outage != nil; !failing {
			f()
		}
	})
	if err == nil && failing {
		return errStorageFailing
	}
	return err
}

// doAlways is do for a function that handles an outage itself.
func (n *Node) doAlways(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case n.inbox <- func() { f(); close(done) }:
	case <-ctx.Done():
		return fail.Wrap(ctx.Err(), fail.Unavailable, "the control replica is busy")
	case <-n.stopped:
		return errStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fail.Wrap(ctx.Err(), fail.Unavailable, "the control replica is busy").WithRan(fail.RanUnknown)
	case <-n.stopped:
	}
	// No function runs after the stop, but f may have run just before it.
	select {
	case <-done:
		return nil
	default:
		return errStopped
	}
}

var errStopped = fail.New(fail.Unavailable, "the replica has stopped")

// Propose commits the command and returns the result of applying it. After an
// error with an unknown outcome the command may still take effect.
func (n *Node) Propose(ctx context.Context, c *wire.Command) (*wire.CommandResult, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fail.Wrap(err, fail.Internal, "encode command")
	}
	return n.propose(ctx, func() (uint64, error) { return n.core.Propose(data) })
}

// ProposeMembership commits a membership change.
func (n *Node) ProposeMembership(ctx context.Context, m *wire.Membership) error {
	_, err := n.propose(ctx, func() (uint64, error) { return n.core.ProposeMembership(m) })
	return err
}

func (n *Node) propose(ctx context.Context, start func() (uint64, error)) (*wire.CommandResult, error) {
	done := make(chan proposalResult, 1)
	err := n.do(ctx, func() {
		if n.transferring {
			done <- proposalResult{err: errTransferring}
			return
		}
		index, err := start()
		if err != nil {
			done <- proposalResult{err: err}
			return
		}
		if old, ok := n.pending[index]; ok {
			old.done <- proposalResult{err: errLostLeadership}
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
		return nil, fail.Wrap(ctx.Err(), fail.Unavailable, "the proposal was not committed before the deadline").WithRan(fail.RanUnknown)
	}
}

var errTransferring = fail.New(fail.NotLeader, "this replica is transferring its leadership")

const transferPollInterval = 10 * time.Millisecond

// TransferLeadership ends the replica's leadership before a planned stop. It rejects
// new proposals, completes those in flight, and returns once the replica knows the
// next leader or ctx ends. It returns at once if the replica is not the leader, or
// is the only one; proposals in flight on the only replica are not awaited.
func (n *Node) TransferLeadership(ctx context.Context) {
	for wasLeader := false; ; {
		done := false
		err := n.doAlways(ctx, func() {
			n.transferring = true
			if n.outage != nil {
				done = true
				return
			}
			n.core.SetStopping()
			leading := n.core.Role() == consensus.Leader
			if leading && len(n.pending) == 0 {
				n.core.TransferLeadership()
			}
			wasLeader = wasLeader || leading
			singleReplica := len(n.core.Membership().GetReplicas()) < 2
			done = !wasLeader || singleReplica || !leading && n.core.Leader() != 0
		})
		if err != nil || done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(transferPollInterval):
		}
	}
}

// Leadership describes the leadership under which a read runs.
type Leadership struct {
	Term uint64
	// Now is the monotonic time at which the lease was checked.
	Now time.Duration
}

// Read runs f on the Run goroutine if the replica is the leader and holds the
// lease, so that f sees every command acknowledged before. f must not block or
// retain the machine.
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

// ReadStale runs f on the Run goroutine of any replica. The state that f sees may
// lack commands that others have acknowledged. f must not block or retain the
// machine.
func (n *Node) ReadStale(ctx context.Context, f func(*state.Machine)) error {
	return n.doAlways(ctx, func() { f(n.machine) })
}

// Status returns the state of the group as this replica knows it, on a leader or
// not.
func (n *Node) Status(ctx context.Context) (Status, error) {
	var s Status
	err := n.doAlways(ctx, func() {
		if n.outage != nil {
			s = n.outage.status
			return
		}
		s = n.coreStatus()
	})
	if err != nil {
		return Status{}, err
	}
	return s, nil
}

func (n *Node) coreStatus() Status {
	s := Status{
		ID: n.core.ID(), Leader: n.core.Leader(), Term: n.core.Term(), Commit: n.core.Commit(),
		Leading: n.core.Role() == consensus.Leader, Membership: proto.Clone(n.core.Membership()).(*wire.Membership),
		MembershipCommitted: n.core.MembershipCommitted(), Reachable: map[uint64]bool{}, CaughtUp: map[uint64]bool{}, Stopping: map[uint64]bool{},
	}
	for _, r := range s.Membership.Replicas {
		s.Reachable[r.Id], s.CaughtUp[r.Id], s.Stopping[r.Id] = n.core.Reachable(r.Id), n.core.CaughtUp(r.Id), n.core.Stopping(r.Id)
	}
	return s
}

// RPCError converts an error for an RPC response, with the address of the leader if it is
// known. A replica that leads and is not ready yet names itself.
func (n *Node) RPCError(ctx context.Context, err error) error {
	leader := ""
	if status, statusErr := n.Status(ctx); statusErr == nil {
		leader = status.LeaderAddress()
	}
	return rpcerror.ToConnect(err, leader)
}

// GroupName returns the name of the group that is bootstrapped with the membership.
// It depends only on the ids and addresses of the replicas, so that a repeated
// bootstrap yields the same group, and one of other replicas another group.
func GroupName(m *wire.Membership) string {
	var names []string
	for _, r := range m.GetReplicas() {
		names = append(names, fmt.Sprintf("%d@%s", r.Id, r.Address))
	}
	slices.Sort(names)
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(names, ",")))
}

// Bootstrap installs the initial membership on a replica with an empty log, with
// one write. A replica that already has a term or a membership keeps its state. The
// caller must have checked the name of the group and stored it in the identity.
func (n *Node) Bootstrap(ctx context.Context, m *wire.Membership) error {
	var failure error
	err := n.do(ctx, func() {
		if n.core.Term() > 0 || len(n.core.Membership().GetReplicas()) > 0 {
			// A leader of the group has contacted the replica, which receives
			// the log from it.
			return
		}
		s := &wire.Snapshot{Index: 1, Term: 1, Membership: m}
		initial := consensus.InitialState{ID: n.core.ID(), HardState: &wire.HardState{Term: 1}, Snapshot: s}
		if failure = n.opt.Storage.SaveSnapshot(s, initial.HardState, nil); failure != nil {
			n.storageErr = failure
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

// Identity returns the replica's identity at its start.
func (n *Node) Identity() journal.Identity { return n.opt.Recovered.Identity }

// AddressedByLeader reports whether a leader sends this replica its log, which shows
// that the group has added it. Vote requests, and messages to a replica that had
// the same address before, do not count.
func (n *Node) AddressedByLeader(messages []*wire.RaftMessage) bool {
	for _, m := range messages {
		fromLeader := m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND || m.Type == wire.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT
		if fromLeader && m.To == n.Identity().ID {
			return true
		}
	}
	return false
}
