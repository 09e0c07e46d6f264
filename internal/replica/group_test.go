package replica

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/wire"
)

var consensusConfig = consensus.DefaultConfig()

// memoryStorage is a Storage that holds only synced data.
type memoryStorage struct {
	mu      sync.Mutex
	hard    *wire.HardState
	snap    *wire.Snapshot
	entries []*wire.LogEntry
	failing bool
	syncs   int
	// delay is the duration of one sync.
	delay time.Duration
}

func (d *memoryStorage) write(s *wire.Snapshot, h *wire.HardState, entries []*wire.LogEntry) error {
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncs++
	if d.failing {
		return fail.New(fail.StorageFailed, "disk full")
	}
	if s != nil {
		d.snap, d.entries = s, nil
	}
	if h != nil {
		d.hard = proto.Clone(h).(*wire.HardState)
	}
	for _, e := range entries {
		prefixLen := e.Index - d.snap.GetIndex() - 1
		d.entries = append(d.entries[:prefixLen:prefixLen], e)
	}
	return nil
}

func (d *memoryStorage) Save(h *wire.HardState, entries []*wire.LogEntry) error {
	return d.write(nil, h, entries)
}

func (d *memoryStorage) SaveSnapshot(s *wire.Snapshot, h *wire.HardState, rest []*wire.LogEntry) error {
	return d.write(s, h, rest)
}

func (d *memoryStorage) recovered(id uint64) *journal.Recovered {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &journal.Recovered{Identity: journal.Identity{ID: id}, HardState: d.hard, Snapshot: d.snap, Entries: slices.Clone(d.entries)}
}

// group is a set of nodes connected by an in-memory network.
type group struct {
	t        testing.TB
	mu       sync.Mutex
	nodes    map[uint64]*member
	start    time.Time
	isolated map[uint64]bool
}

type member struct {
	node    *Node
	storage Storage
	stop    context.CancelFunc
	done    chan error
}

func newGroup(t testing.TB) *group {
	return &group{t: t, nodes: map[uint64]*member{}, start: time.Now(), isolated: map[uint64]bool{}}
}

// memorySender is the sender of one replica on the in-memory network.
type memorySender struct {
	g    *group
	from uint64
}

func (s memorySender) Send(messages []*wire.RaftMessage, _ *wire.Membership) {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	for _, m := range messages {
		to := s.g.nodes[m.To]
		if to != nil && !s.g.isolated[m.To] && !s.g.isolated[s.from] {
			to.node.Deliver([]*wire.RaftMessage{m})
		}
	}
}

func (g *group) run(id uint64, r *journal.Recovered, s Storage) *member {
	const snapshotEntries = 64
	return g.runWith(id, r, s, memorySender{g, id}, snapshotEntries)
}

func (g *group) runWith(id uint64, r *journal.Recovered, s Storage, sender Sender, snapshotEntries uint64) *member {
	g.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var reopen func() (*journal.Recovered, error)
	if d, ok := s.(interface {
		reopen() (*journal.Recovered, error)
	}); ok {
		reopen = d.reopen
	}
	node, err := NewNode(Options{
		Recovered: r, Storage: s, Reopen: reopen, Sender: sender, Consensus: consensusConfig,
		SnapshotEntries: snapshotEntries, Now: func() time.Duration { return time.Since(g.start) }, Seed: id, Log: logrus.NewEntry(log),
	})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{node: node, storage: s, stop: cancel, done: make(chan error, 1)}
	go func() { m.done <- node.Run(ctx) }()
	g.mu.Lock()
	g.nodes[id] = m
	g.mu.Unlock()
	return m
}

func (g *group) add(id uint64) *member {
	d := &memoryStorage{}
	return g.run(id, d.recovered(id), d)
}

// kill stops a replica; unsynced data is lost.
func (g *group) kill(id uint64) *member {
	g.mu.Lock()
	m := g.nodes[id]
	delete(g.nodes, id)
	g.mu.Unlock()
	m.stop()
	<-m.done
	return m
}

func (g *group) restart(id uint64, old *member) *member {
	d := old.storage.(*memoryStorage)
	return g.run(id, d.recovered(id), d)
}

func (g *group) stop() {
	g.mu.Lock()
	members := g.nodes
	g.nodes = map[uint64]*member{}
	g.mu.Unlock()
	for _, m := range members {
		m.stop()
		<-m.done
	}
}

// isolate starts or ends a network partition of one replica, in which messages are
// dropped without an error.
func (g *group) isolate(id uint64, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[id] = isolated
}

func membershipOf(ids ...uint64) *wire.Membership {
	m := &wire.Membership{}
	for _, id := range ids {
		m.Replicas = append(m.Replicas, &wire.Replica{Id: id})
	}
	return m
}

func (g *group) bootstrap(ids ...uint64) {
	for _, id := range ids {
		if err := g.add(id).node.Bootstrap(context.Background(), membershipOf(ids...)); err != nil {
			g.t.Fatal(err)
		}
	}
}

// leader waits until a replica that is not isolated holds the lease.
func (g *group) leader() *Node {
	g.t.Helper()
	for range 4000 {
		g.mu.Lock()
		var nodes []*Node
		for id, m := range g.nodes {
			if !g.isolated[id] {
				nodes = append(nodes, m.node)
			}
		}
		g.mu.Unlock()
		for _, n := range nodes {
			if s, err := n.Status(context.Background()); err == nil && s.Leading && s.Reachable[s.ID] && g.holdsLease(n) {
				return n
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatal("no replica holds the leader lease")
	return nil
}

func (g *group) holdsLease(n *Node) bool {
	return n.Read(context.Background(), func(Leadership, *stateMachine) {}) == nil
}

func entryCommand(id string) *wire.Command {
	return &wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: &wire.EntryVM{Id: id, Live: true}}}}
}

// commit retries a proposal until one is acknowledged.
func (g *group) commit(id string) {
	g.t.Helper()
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := g.leader().Propose(ctx, entryCommand(id))
		cancel()
		if err == nil {
			return
		}
	}
	g.t.Fatal("no proposal acknowledged for entry " + id)
}

func (g *group) entries() []string {
	var ids []string
	err := g.leader().Read(context.Background(), func(_ Leadership, m *stateMachine) {
		for _, e := range m.View().Entries {
			ids = append(ids, e.Id)
		}
	})
	if err != nil {
		g.t.Fatal(err)
	}
	return ids
}

// change commits one membership change.
func (g *group) change(m *wire.Membership) {
	g.t.Helper()
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		err := g.leader().ProposeMembership(ctx, m)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Fatal("membership change not committed")
}
