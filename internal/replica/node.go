package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

const (
	// minTick is the minimum interval between two ticks of an idle node.
	minTick = time.Millisecond
	// inboxSize bounds the functions that wait for the Run goroutine. Messages
	// beyond it are dropped, and consensus resends them.
	inboxSize = 1024
	// maxBatch bounds the inbox functions that share one sync of the journal.
	maxBatch = 512
	// maxInboxBytes bounds the messages that wait for the Run goroutine.
	maxInboxBytes = 8 << 20
	// snapshotThresholdBytes is the size of the applied entries that triggers a
	// snapshot, whatever their number.
	snapshotThresholdBytes = 4 << 20
	// retainedLogBytes bounds the entries retained for slow followers after a
	// snapshot.
	retainedLogBytes = 1 << 20
)

// Storage is the durable storage of a node. Each call is atomic and synced before
// it returns.
type Storage interface {
	// Save appends the hard state, if not nil, and the entries.
	Save(h *wire.HardState, entries []*wire.LogEntry) error
	// SaveSnapshot replaces the log by the snapshot, the hard state, if not nil,
	// and the remaining entries.
	SaveSnapshot(s *wire.Snapshot, h *wire.HardState, remaining []*wire.LogEntry) error
}

// Sender sends messages to other replicas without blocking. It may drop messages.
type Sender interface {
	// Send sends messages to the members, and to others whose addresses it has learned.
	Send(messages []*wire.RaftMessage, members *wire.Membership)
}

// Options configures a Node.
type Options struct {
	Recovered *journal.Recovered
	Storage   Storage
	// Reopen opens the Storage again after a write to it failed with the code
	// storage_failed, and returns what it holds. An error with that code is retried; any other
	// one ends the node. Without Reopen the node ends at the first failed write.
	Reopen    func() (*journal.Recovered, error)
	Sender    Sender
	Consensus consensus.Config
	// SnapshotEntries is the number of applied entries that triggers a snapshot.
	SnapshotEntries uint64
	// Now returns the current monotonic time.
	Now  func() time.Duration
	Seed uint64
	Log  *logrus.Entry
	// OnChange, if not nil, is called on the Run goroutine with each new summary, and
	// with the first one. It must not block.
	OnChange func(Summary)
}

// Summary is what a replica knows of the group's leader and of the fleet document.
type Summary struct {
	// DocumentVersion is the version of the newest document that is known to be
	// committed, zero if there is none.
	DocumentVersion uint64
	Term            uint64
	// Leader is the address of the leader of the term, "" if it is not known.
	Leader string
}

// Node is one control replica.
type Node struct {
	opt     Options
	core    *consensus.Core
	machine *state.Machine
	inbox   chan func()
	// stopped is closed when Run returns.
	stopped chan struct{}
	// pending holds the proposals that are not yet committed, by log index.
	pending map[uint64]pendingProposal
	// snapshotIndex is the index of the latest stored snapshot. sinceSnapshot is
	// the size of the entries applied after it, in bytes.
	snapshotIndex uint64
	sinceSnapshot int
	inboxBytes    atomic.Int64
	lastRole      consensus.Role
	lastTerm      uint64
	// transferring is true once TransferLeadership was called; proposals are then
	// rejected.
	transferring bool
	// summary is the last one that was given to OnChange, and summaryLeader the id of
	// its leader.
	summary       Summary
	summaryLeader uint64
	summarized    bool
	// lostVoter is the voter whose lost disk was logged last.
	lostVoter uint64
	// campaignSince is when this replica began to campaign without winning, and
	// campaignLoggedAt when its missing votes were logged last; zero if it doesn't.
	campaignSince    time.Duration
	campaignLoggedAt time.Duration
	// storageErr is the error of a write outside of processEffects.
	storageErr error
	// outage is nil unless the storage refuses writes. The core must not be used meanwhile.
	outage         *outage
	storageFailing atomic.Bool
}

type pendingProposal struct {
	term uint64
	done chan proposalResult
}

type proposalResult struct {
	result *wire.CommandResult
	err    error
}

// NewNode restores a node from its recovered journal.
func NewNode(opt Options) (*Node, error) {
	n := &Node{opt: opt, inbox: make(chan func(), inboxSize), stopped: make(chan struct{}), pending: map[uint64]pendingProposal{}}
	if err := n.restore(opt.Recovered, 0); err != nil {
		return nil, err
	}
	return n, nil
}

// restore starts the core and the state machine from the stored state, of which the entries
// up to the index committed are known to be committed.
func (n *Node) restore(r *journal.Recovered, committed uint64) error {
	machine, err := state.Restore(r.Snapshot.GetData())
	if err != nil {
		return err
	}
	initial := consensus.InitialState{ID: r.Identity.ID, HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries, Committed: committed}
	n.core = consensus.New(n.opt.Consensus, initial, n.opt.Now(), n.opt.Seed)
	n.machine = machine
	n.snapshotIndex, n.sinceSnapshot = r.Snapshot.GetIndex(), 0
	return nil
}

// Run runs the replica until ctx ends. It returns an error if the storage fails for good.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	defer n.failAllPending()
	tick := time.NewTimer(minTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-n.inbox:
			f()
			n.drainInbox()
		case <-tick.C:
		}
		if err := n.step(); err != nil {
			n.opt.Log.WithError(err).Error("persisting the replica's state failed; stopping the replica")
			return err
		}
		tick.Reset(max(minTick, n.deadline()-n.opt.Now()))
	}
}

// step does the work that is due. It returns an error if the node must end.
func (n *Node) step() error {
	if n.outage != nil {
		if err := n.resume(); err != nil || n.outage != nil {
			return err
		}
	}
	n.core.Tick(n.opt.Now())
	n.core.Flush()
	err := n.storageErr
	if err == nil {
		err = n.processEffects()
	}
	if err != nil {
		return n.suspend(err)
	}
	n.updateRole()
	n.logMissingVotes()
	n.updateSummary()
	return nil
}

// deadline returns the time at which step must be called next.
func (n *Node) deadline() time.Duration {
	if n.outage != nil {
		return n.outage.retryAt
	}
	return n.core.Deadline()
}

// drainInbox runs the functions that already wait in the inbox, so that they share
// one sync of the journal.
func (n *Node) drainInbox() {
	for range maxBatch {
		select {
		case f := <-n.inbox:
			f()
		default:
			return
		}
	}
}

// processEffects persists, sends and applies the effects of the core until there
// are none left. The sync precedes the sending, because a message may acknowledge
// what the sync stores; only the early messages need no sync.
func (n *Node) processEffects() error {
	for {
		e := n.core.Effects()
		if e.Empty() {
			return nil
		}
		n.opt.Sender.Send(e.EarlyMessages, n.core.Members())
		if err := n.save(e); err != nil {
			// These are committed and were stored before.
			n.apply(e.Committed)
			return err
		}
		n.core.Persisted(e)
		n.opt.Sender.Send(e.Messages, n.core.Members())
		n.apply(e.Committed)
		if err := n.maybeSnapshot(); err != nil {
			return err
		}
	}
}

func (n *Node) save(e consensus.Effects) error {
	if e.Snapshot == nil {
		return n.opt.Storage.Save(e.HardState, e.Entries)
	}
	s := e.Snapshot
	machine, err := state.Restore(s.Data)
	if err != nil {
		return err
	}
	if err := n.opt.Storage.SaveSnapshot(s, e.HardState, e.Entries); err != nil {
		return err
	}
	n.machine = machine
	n.snapshotIndex, n.sinceSnapshot = s.Index, 0
	n.opt.Log.WithField("index", s.Index).Info("snapshot installed")
	return nil
}

func (n *Node) apply(entries []*wire.LogEntry) {
	for _, e := range entries {
		result := n.applyEntry(e)
		n.sinceSnapshot += len(e.Data)
		p, ok := n.pending[e.Index]
		if !ok {
			continue
		}
		delete(n.pending, e.Index)
		if p.term == e.Term {
			p.done <- proposalResult{result: result}
		} else {
			p.done <- proposalResult{err: errLostLeadership}
		}
	}
}

func (n *Node) applyEntry(e *wire.LogEntry) *wire.CommandResult {
	if e.Kind != wire.LogEntryKind_LOG_ENTRY_KIND_COMMAND {
		return &wire.CommandResult{Applied: true}
	}
	var c wire.Command
	if err := proto.Unmarshal(e.Data, &c); err != nil {
		return &wire.CommandResult{Reason: "the command cannot be decoded"}
	}
	return n.machine.Apply(e.Index, &c)
}

func (n *Node) maybeSnapshot() error {
	applied := n.core.Applied()
	if applied < n.snapshotIndex+n.opt.SnapshotEntries && n.sinceSnapshot < snapshotThresholdBytes {
		return nil
	}
	data, err := n.machine.Snapshot()
	if err != nil {
		return err
	}
	term, _ := n.core.TermAt(applied)
	s := &wire.Snapshot{Index: applied, Term: term, Membership: n.core.MembershipAt(applied), Data: data}
	if err := n.opt.Storage.SaveSnapshot(s, nil, n.core.EntriesAfter(applied)); err != nil {
		return err
	}
	n.core.Compact(s, n.opt.SnapshotEntries/4, retainedLogBytes)
	n.snapshotIndex, n.sinceSnapshot = applied, 0
	n.opt.Log.WithFields(logrus.Fields{"index": applied, "bytes": len(data)}).Info("snapshot stored")
	return nil
}

func (n *Node) updateRole() {
	role, term := n.core.Role(), n.core.Term()
	if role == n.lastRole && (role != consensus.Leader || term == n.lastTerm) {
		return
	}
	if n.lastRole == consensus.Leader {
		n.failOutdatedPending()
	}
	n.opt.Log.WithFields(logrus.Fields{"role": role.String(), "term": term}).Info("role changed")
	n.lastRole, n.lastTerm = role, term
}

// missingVotesLogInterval is how long a replica campaigns in vain before it logs the
// votes that it lacks, and the time between two such lines.
const missingVotesLogInterval = 2 * time.Second

// logMissingVotes logs at intervals which votes this replica lacks while the group has
// no leader and none can be elected.
func (n *Node) logMissingVotes() {
	now := n.opt.Now()
	if role := n.core.Role(); role != consensus.PreCandidate && role != consensus.Candidate {
		n.campaignSince, n.campaignLoggedAt = 0, 0
		return
	}
	if n.campaignSince == 0 {
		n.campaignSince, n.campaignLoggedAt = now, now
	}
	if now-n.campaignLoggedAt < missingVotesLogInterval {
		return
	}
	n.campaignLoggedAt = now
	n.opt.Log.WithFields(logrus.Fields{
		"for_ms": (now - n.campaignSince).Milliseconds(), "term": n.core.Term(), "missing": n.addresses(n.core.MissingVotes()),
		"voters": len(n.core.Voters()), "membership_committed": n.core.MembershipCommitted(), "lost_disk": addressOf(n.core.Members(), n.core.LostVoter()),
	}).Warn("no leader can be elected: votes are missing")
}

// addresses returns the addresses of the replicas.
func (n *Node) addresses(ids []uint64) []string {
	var out []string
	for _, id := range ids {
		out = append(out, addressOf(n.core.Members(), id))
	}
	return out
}

// updateSummary calls OnChange if the summary has changed.
func (n *Node) updateSummary() {
	next := Summary{DocumentVersion: n.machine.Document().GetVersion(), Term: n.core.Term(), Leader: n.summary.Leader}
	leader := n.core.Leader()
	if leader != n.summaryLeader || next.Term != n.summary.Term || next.Leader == "" {
		next.Leader = addressOf(n.core.Membership(), leader)
	}
	if n.opt.OnChange == nil || n.summarized && next == n.summary {
		return
	}
	n.summary, n.summaryLeader, n.summarized = next, leader, true
	n.opt.OnChange(next)
}

var errLostLeadership = fail.New(fail.Unavailable, "the leadership changed while the command was being committed").WithRan(fail.RanUnknown)

func (n *Node) failAllPending() {
	for i, p := range n.pending {
		p.done <- proposalResult{err: errLostLeadership}
		delete(n.pending, i)
	}
}

// failOutdatedPending fails the pending proposals of earlier terms, or all of them
// if the replica is not the leader.
func (n *Node) failOutdatedPending() {
	for i, p := range n.pending {
		if n.core.Role() == consensus.Leader && p.term == n.core.Term() {
			continue
		}
		p.done <- proposalResult{err: errLostLeadership}
		delete(n.pending, i)
	}
}
