package consensus

import (
	"math/rand/v2"
	"time"

	"parsleyramp/internal/wire"
)

// Role is the role of a replica in its current term.
type Role int

// The roles of a replica. A PreCandidate asks for pre-votes before it starts an
// election in a new term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config holds the timing and limits of a replica.
type Config struct {
	// HeartbeatInterval is the time between two broadcasts of an idle leader,
	// and between two vote requests of a candidate.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum election timeout. The timeouts are
	// random, between this value and twice this value.
	ElectionTimeout time.Duration
	// ClockDrift is the bound on clock drift: the largest fraction by which the
	// rates of two replicas' clocks may differ. It shortens the leader lease.
	ClockDrift float64
	// MaxAppendEntries and MaxAppendBytes limit one append message.
	MaxAppendEntries int
	MaxAppendBytes   int
	// MaxCommandBytes limits one command, and MaxUncommittedBytes the total of
	// the entries that a leader has appended and not yet committed.
	MaxCommandBytes     int
	MaxUncommittedBytes int
}

// DefaultConfig returns the configuration for replicas within one region.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval: 250 * time.Millisecond,
		ElectionTimeout:   1000 * time.Millisecond,
		ClockDrift:        0.1,
		MaxAppendEntries:  512,
		MaxAppendBytes:    1 << 20,

		MaxCommandBytes:     2 << 20,
		MaxUncommittedBytes: 4 << 20,
	}
}

// InitialState is the persistent state that a replica starts from.
type InitialState struct {
	ID        uint64
	HardState *wire.HardState
	// Snapshot is nil for a replica without stored state.
	Snapshot *wire.Snapshot
	Entries  []*wire.LogEntry
	// Committed is the index up to which the entries are known to be committed, whatever the
	// hard state tells.
	Committed uint64
}

// Core is the Raft state of one replica. It is not safe for concurrent use.
type Core struct {
	id   uint64
	cfg  Config
	rand *rand.Rand
	now  time.Duration

	role     Role
	term     uint64
	votedFor uint64
	leader   uint64

	log         entryLog
	commitIndex uint64
	lastApplied uint64
	memberships membershipLog

	// electionAt is when this replica starts an election, and heartbeatAt when its
	// next heartbeat or vote requests are due.
	electionAt  time.Duration
	heartbeatAt time.Duration
	// leaderContactAt is when the last message from the current leader arrived.
	// For an election timeout from then on the replica grants no vote, which the
	// leader lease relies on.
	leaderContactAt  time.Duration
	hasLeaderContact bool
	startedAt        time.Duration

	// stopping is true once this replica is about to stop.
	stopping bool
	// lostVoter is the voter whose disk is known to be lost, and discounted the one that
	// was known so when this replica's last campaign began; zero if there is none.
	lostVoter  uint64
	discounted uint64

	votes    map[uint64]bool
	progress map[uint64]*progress
	rounds   rounds
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	// leadershipTransfer is set while this replica is a candidate at the request
	// of the leader of the previous term.
	leadershipTransfer bool
	// uncommittedBytes is the size of the leader's entries of this term that are
	// not yet committed.
	uncommittedBytes int

	// savedHardState is the hard state that was synced last. pendingSnapshot is a
	// snapshot from a leader that is not yet synced, and snapshot the newest one.
	savedHardState  *wire.HardState
	pendingSnapshot *wire.Snapshot
	snapshot        *wire.Snapshot
	messages        []*wire.RaftMessage
}

// New returns a replica that starts from its stored state. now is any monotonic
// time; the seed makes the random election timeouts reproducible.
func New(cfg Config, initial InitialState, now time.Duration, seed uint64) *Core {
	c := &Core{
		id:             initial.ID,
		cfg:            cfg,
		rand:           rand.New(rand.NewPCG(seed, initial.ID)),
		now:            now,
		startedAt:      now,
		term:           initial.HardState.GetTerm(),
		votedFor:       initial.HardState.GetVote(),
		savedHardState: initial.HardState,
		progress:       map[uint64]*progress{},
	}
	if s := initial.Snapshot; s != nil {
		c.snapshot = s
		c.log.restore(s.Index, s.Term)
		c.commitIndex, c.lastApplied = s.Index, s.Index
		c.memberships = membershipLog{{index: s.Index, value: s.Membership}}
	}
	c.log.entries = initial.Entries
	c.log.stable = c.log.lastIndex()
	c.commitIndex = max(c.commitIndex, min(max(initial.Committed, initial.HardState.GetCommit()), c.log.stable))
	c.recordMemberships(initial.Entries)
	if t := c.log.lastTerm(); t > c.term {
		// The replica may have crashed after it synced a snapshot and before it
		// synced the term of the leader that sent it.
		c.term, c.votedFor = t, 0
	}
	c.resetElection()
	return c
}

func (c *Core) ID() uint64 { return c.id }

func (c *Core) Role() Role { return c.role }

func (c *Core) Term() uint64 { return c.term }

// Leader returns the id of the current term's leader, or zero if it is unknown.
func (c *Core) Leader() uint64 { return c.leader }

// Commit returns the commit index.
func (c *Core) Commit() uint64 { return c.commitIndex }

// Membership returns the latest membership in the log, committed or not.
func (c *Core) Membership() *wire.Membership { return c.memberships.current() }

// Tick advances the time. It starts elections and sends heartbeats and vote
// requests when they are due.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if now >= c.electionAt {
		c.campaign(PreCandidate)
	} else if c.role == Candidate && now >= c.heartbeatAt {
		c.requestVotes()
	}
}

// Deadline returns the time at which Tick must be called next.
func (c *Core) Deadline() time.Duration {
	switch c.role {
	case Leader:
		return c.heartbeatAt
	case Candidate:
		return min(c.heartbeatAt, c.electionAt)
	}
	return c.electionAt
}

// tickLeader sends heartbeats when due, and steps down if no quorum has
// responded for an election timeout.
func (c *Core) tickLeader() {
	if c.now-c.quorumContactAt() > c.cfg.ElectionTimeout {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.now >= c.heartbeatAt {
		c.broadcast()
	}
}

func (c *Core) resetElection() {
	c.electionAt = c.now + c.cfg.ElectionTimeout + time.Duration(c.rand.Int64N(int64(c.cfg.ElectionTimeout)))
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.term, c.votedFor = term, 0
	}
	c.role, c.leader = Follower, leader
	c.leadershipTransfer = false
	c.votes = nil
	c.progress = map[uint64]*progress{}
	c.resetElection()
}

// campaign starts an election as a Candidate, or a pre-vote as a PreCandidate,
// which leaves the term unchanged. A voter that an uncommitted membership leaves out
// campaigns too: it may be the only one left that stores that membership and whose vote the
// others need (Ongaro 2014, 4.2.2).
func (c *Core) campaign(role Role) {
	c.resetElection()
	if !c.isActiveVoter(c.id) {
		return
	}
	if role == PreCandidate {
		c.leadershipTransfer = false
		// A pre-vote disrupts no other replica, so it is retried after a quarter
		// to half of an election timeout: the others may have rejected it only
		// because their minimum election timeout was not over.
		c.electionAt = c.now + c.cfg.ElectionTimeout/4 + time.Duration(c.rand.Int64N(int64(c.cfg.ElectionTimeout/4)))
	}
	c.role, c.leader = role, 0
	c.discounted = c.LostVoter()
	c.votes = map[uint64]bool{c.id: true}
	if role == Candidate {
		c.term++
		c.votedFor = c.id
	}
	c.requestVotes()
	c.countVotes()
}

// requestVotes sends a vote or pre-vote request to every voter that has not
// responded yet.
func (c *Core) requestVotes() {
	c.heartbeatAt = c.now + c.cfg.HeartbeatInterval
	kind, term := wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, c.term+1
	if c.role == Candidate {
		kind, term = wire.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, c.term
	}
	for _, id := range c.activeReplicas(func(r *wire.Replica) bool { return !r.Learner }) {
		if _, responded := c.votes[id]; !responded {
			c.send(&wire.RaftMessage{Type: kind, To: id, Term: term, LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), HandOver: c.leadershipTransfer})
		}
	}
}

func (c *Core) countVotes() {
	won, lost := c.voteResult()
	switch {
	case won && c.role == PreCandidate:
		c.campaign(Candidate)
	case won && c.role == Candidate:
		c.becomeLeader()
	case lost && c.role == Candidate:
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.id
	c.votes = nil
	c.rounds = rounds{}
	c.progress = map[uint64]*progress{}
	c.updateProgress()
	for _, p := range c.progress {
		p.contactAt = c.now
	}
	c.termStart = c.log.lastIndex() + 1
	c.uncommittedBytes = 0
	c.appendLocal(wire.LogEntryKind_LOG_ENTRY_KIND_EMPTY, nil)
	c.broadcast()
}

func (c *Core) appendLocal(kind wire.LogEntryKind, data []byte) uint64 {
	e := &wire.LogEntry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append(e)
	c.uncommittedBytes += len(data)
	c.recordMemberships([]*wire.LogEntry{e})
	return e.Index
}

func (c *Core) recordMemberships(entries []*wire.LogEntry) {
	for _, e := range entries {
		if e.Kind == wire.LogEntryKind_LOG_ENTRY_KIND_MEMBERSHIP {
			c.memberships = append(c.memberships.truncate(e.Index), membershipAt{index: e.Index, value: decodeMembership(e)})
		}
	}
}

func (c *Core) send(m *wire.RaftMessage) {
	m.From = c.id
	c.messages = append(c.messages, m)
}

// Applied returns the index of the last entry returned in Effects.Committed or
// covered by a restored snapshot.
func (c *Core) Applied() uint64 { return c.lastApplied }

// EntriesAfter returns the log entries after the index.
func (c *Core) EntriesAfter(index uint64) []*wire.LogEntry {
	return c.log.slice(index+1, int(c.log.lastIndex()), 1<<62)
}
