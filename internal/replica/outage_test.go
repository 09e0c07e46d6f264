package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// refusingStorage is a memoryStorage that is full at times. A refused write may nevertheless be
// found on the disk later.
type refusingStorage struct {
	memoryStorage
	id       uint64
	random   *rand.Rand
	full     bool
	writeErr error
	left     func()
}

func (d *refusingStorage) write(s *wire.Snapshot, h *wire.HardState, entries []*wire.LogEntry) error {
	d.mu.Lock()
	full, writeErr := d.full, d.writeErr
	d.mu.Unlock()
	if writeErr != nil || !full {
		if writeErr == nil {
			writeErr = d.memoryStorage.write(s, h, entries)
		}
		return writeErr
	}
	d.writeErr = fail.New(fail.StorageFailed, "no room")
	if d.random.IntN(2) == 0 {
		d.left = func() { _ = d.memoryStorage.write(s, h, entries) }
	}
	return d.writeErr
}

func (d *refusingStorage) Save(h *wire.HardState, entries []*wire.LogEntry) error {
	return d.write(nil, h, entries)
}

func (d *refusingStorage) SaveSnapshot(s *wire.Snapshot, h *wire.HardState, rest []*wire.LogEntry) error {
	return d.write(s, h, rest)
}

func (d *refusingStorage) reopen() (*journal.Recovered, error) {
	d.mu.Lock()
	full := d.full
	d.mu.Unlock()
	if full {
		return nil, fail.New(fail.StorageFailed, "no room")
	}
	if d.left != nil {
		d.left()
	}
	d.writeErr, d.left = nil, nil
	return d.recovered(), nil
}

func (d *refusingStorage) recovered() *journal.Recovered {
	r := d.memoryStorage.recovered(d.id)
	r.HardState = proto.CloneOf(r.HardState)
	if r.HardState == nil {
		r.HardState = &wire.HardState{}
	}
	return r
}

func (d *refusingStorage) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// diskGroup is a group whose disks are full at times.
type diskGroup struct {
	*group
	random *rand.Rand
	disks  map[uint64]*refusingStorage
	// acknowledged are the entries of all changes that were acknowledged.
	acknowledged []string
}

func (g *diskGroup) addReplica(id uint64) *member {
	d := &refusingStorage{id: id, random: rand.New(rand.NewPCG(g.random.Uint64(), id))}
	g.disks[id] = d
	return g.startReplica(d)
}

func (g *diskGroup) startReplica(d *refusingStorage) *member {
	return g.runWith(d.id, d.recovered(), d, memorySender{g.group, d.id}, 16)
}

// ackTimeout is how long an operator waits for the acknowledgement of a change.
const ackTimeout = 4 * time.Second

// changeFor commits changes for the time, each of which is acknowledged within ackTimeout.
func (g *diskGroup) changeFor(d time.Duration) {
	g.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		id, start := fmt.Sprintf("e%05d", len(g.acknowledged)), time.Now()
		g.commit(id)
		g.acknowledged = append(g.acknowledged, id)
		if took := time.Since(start); took > ackTimeout {
			g.t.Errorf("change %s was acknowledged after %v, want within %v", id, took, ackTimeout)
		}
	}
}

// check fails the test if a replica has ended or lacks what was acknowledged.
func (g *diskGroup) check() {
	g.t.Helper()
	for id, m := range g.nodes {
		select {
		case err := <-m.done:
			m.done <- err
			g.t.Fatalf("replica %d has ended: %v", id, err)
		default:
		}
		status, err := m.node.Status(context.Background())
		if err != nil || m.node.StorageFailing() || status.Leader == 0 {
			g.t.Fatalf("replica %d: %+v, %v; want one that follows a leader", id, status, err)
		}
		var got []string
		err = m.node.ReadStale(context.Background(), func(m *state.Machine) {
			for _, e := range m.View().Entries {
				got = append(got, e.Id)
			}
		})
		for _, want := range g.acknowledged {
			if err != nil || !slices.Contains(got, want) {
				g.t.Fatalf("replica %d has %d of %d changes, %v; %s is missing", id, len(got), len(g.acknowledged), err, want)
			}
		}
	}
}

// TestDisksFullOneAfterAnotherStopNoReplica guards against replicas that end, lead or vote while
// they can't store, or that do not come back.
func TestDisksFullOneAfterAnotherStopNoReplica(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := &diskGroup{group: newGroup(t), random: rand.New(rand.NewPCG(seed, 0)), disks: map[uint64]*refusingStorage{}}
			defer g.stop()
			for id := uint64(1); id <= 3; id++ {
				if err := g.addReplica(id).node.Bootstrap(t.Context(), membershipOf(1, 2, 3)); err != nil {
					t.Fatal(err)
				}
			}
			voters := []uint64{1, 2, 3}
			for round := range 9 {
				id := voters[round%3]
				if g.random.IntN(2) == 0 {
					id = g.leader().Identity().ID
				}
				g.disks[id].setFull(true)
				g.changeFor(time.Duration(g.random.Int64N(int64(6 * time.Second))))
				switch g.random.IntN(4) {
				case 0:
					g.kill(id)
					g.disks[id].writeErr, g.disks[id].left = nil, nil
					g.disks[id].setFull(false)
					g.startReplica(g.disks[id])
				default:
					g.disks[id].setFull(false)
				}
				g.changeFor(3 * time.Second)
				time.Sleep(time.Second)
				g.check()
				if round == 4 {
					// A machine is lost with its disk and replaced.
					lost, added := voters[1], uint64(4)
					g.kill(lost)
					left := []uint64{voters[0], voters[2]}
					g.addReplica(added)
					replace(t, g.group, lost, added, left...)
					voters = append(left, added)
					g.changeFor(time.Second)
				}
			}
		})
	}
}

// fickleStorage can be opened again at any time, and refuses a commit index alone.
type fickleStorage struct{ refusingStorage }

func (d *fickleStorage) Save(h *wire.HardState, entries []*wire.LogEntry) error {
	d.mu.Lock()
	refuse := d.full && h != nil && len(entries) == 0
	d.mu.Unlock()
	if refuse {
		return fail.New(fail.StorageFailed, "no room")
	}
	return d.memoryStorage.Save(h, entries)
}

func (d *fickleStorage) reopen() (*journal.Recovered, error) { return d.recovered(), nil }

// TestRefusalAfterAnOutageDoesNotTakeStateBack guards against a replica that tells of an earlier
// state when its disk refuses the first write after an outage.
func TestRefusalAfterAnOutageDoesNotTakeStateBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stop()
		d := &fickleStorage{refusingStorage{id: 1}}
		g.runWith(1, d.recovered(), d, memorySender{g, 1}, 64)
		g.add(2)
		g.add(3)
		for _, m := range g.nodes {
			if err := m.node.Bootstrap(t.Context(), membershipOf(1, 2, 3)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range 5 {
			g.commit(fmt.Sprint("e", i))
		}
		time.Sleep(time.Second)
		d.setFull(true)
		withLearner := membershipOf(1, 2, 3)
		withLearner.Replicas = append(withLearner.Replicas, &wire.Replica{Id: 9, Learner: true})
		g.change(withLearner)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			got := -1
			err := g.nodes[1].node.ReadStale(t.Context(), func(m *state.Machine) { got = len(m.View().Entries) })
			if err != nil || got != 5 || !g.nodes[1].node.StorageFailing() {
				t.Fatalf("%d changes, error %v, want the 5 that were applied, in an outage", got, err)
			}
		}
	})
}
