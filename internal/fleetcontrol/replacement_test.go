package fleetcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/journal"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/testnet"
)

// bed runs replicas of one group as servers on loopback addresses, with the same ports
// as on VMs.
type bed struct {
	t                      *testing.T
	internalPort, operator int
	net                    string
	machines               map[int]*machine
}

// machine is one replica with its data folder.
type machine struct {
	cfg    Settings
	server *Server
	cancel context.CancelFunc
}

// testNets gives each bed addresses of its own.
var testNets struct {
	sync.Mutex
	next int
}

func freePort(t *testing.T) int {
	t.Helper()
	_, port, err := net.SplitHostPort(testnet.Address(t))
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func newBed(t *testing.T) *bed {
	testNets.Lock()
	defer testNets.Unlock()
	testNets.next++
	b := &bed{t: t, internalPort: freePort(t), operator: freePort(t), net: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, testNets.next), machines: map[int]*machine{}}
	t.Cleanup(func() {
		for _, m := range b.machines {
			m.kill()
		}
	})
	return b
}

func (b *bed) address(id, port int) string { return fmt.Sprintf("%s.%d:%d", b.net, id, port) }

// add starts machine id with an empty disk, in a failure domain of its own; the seeds are
// machines 1 to 3.
func (b *bed) add(id int, first bool) *machine {
	b.t.Helper()
	m := b.prepare(id, first)
	b.start(m)
	return m
}

// addSuccessor starts machine id with an empty disk, in the failure domain of another one.
func (b *bed) addSuccessor(id int, old *machine) *machine {
	b.t.Helper()
	m := b.prepare(id, false)
	m.cfg.Domain = old.cfg.Domain
	b.start(m)
	return m
}

// prepare returns machine id with an empty disk, which does not run yet.
func (b *bed) prepare(id int, first bool) *machine {
	cfg := DefaultSettings()
	cfg.ID, cfg.Domain, cfg.DataFolder, cfg.LiveList = fmt.Sprint("core-", id), fmt.Sprint("d", id), b.t.TempDir(), "127.0.0.1:1"
	cfg.Address, cfg.OperatorAddress, cfg.FirstStart = b.address(id, b.internalPort), b.address(id, b.operator), first
	for seed := range 3 {
		cfg.Seeds = append(cfg.Seeds, b.address(seed+1, b.operator))
	}
	m := &machine{cfg: cfg}
	b.machines[id] = m
	return m
}

func (b *bed) start(m *machine) {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	deps := Dependencies{
		Platform: &fakeEngine{}, Decode: decodeVersion,
		OperatorHandler: func(DocumentStore) http.Handler { return http.NewServeMux() },
	}
	s, err := Start(ctx, m.cfg, deps, testLog())
	if err != nil {
		cancel()
		b.t.Fatal(err)
	}
	m.server, m.cancel = s, cancel
}

// kill ends the process without a shutdown; its disk remains.
func (m *machine) kill() {
	if m.server == nil {
		return
	}
	m.cancel()
	m.server.internalServer.Close()
	m.server.operatorServer.Close()
	<-m.server.Stopped()
	m.server.journal.Close()
	m.server = nil
}

// terminate ends the process as SIGTERM does.
func (m *machine) terminate() error {
	err := m.server.Shutdown(context.Background(), m.cancel)
	m.server = nil
	return err
}

// wipe kills the process, empties its disk and starts it again after a pause.
func (b *bed) wipe(m *machine, pause time.Duration) {
	b.t.Helper()
	m.kill()
	m.cfg.DataFolder, m.cfg.FirstStart = b.t.TempDir(), false
	time.Sleep(pause)
	b.start(m)
}

// leader returns the machine that leads, with its status, or nil.
func (b *bed) leader(ctx context.Context) (*machine, replica.Status) {
	for _, m := range b.machines {
		if m.server == nil {
			continue
		}
		if s, err := m.server.node.Status(ctx); err == nil && s.Leading {
			return m, s
		}
	}
	return nil, replica.Status{}
}

// awaitVoters waits until the group has n voters, some of which are given, and all of which run
// and know that the membership is committed.
func (b *bed) awaitVoters(n int, some ...*machine) {
	b.t.Helper()
	eventually(b.t, func(ctx context.Context) error {
		_, s := b.leader(ctx)
		voters := voterIDs(s)
		ready := 0
		for _, m := range b.machines {
			if m.server == nil {
				continue
			}
			own, err := m.server.node.Status(ctx)
			if err == nil && own.MembershipCommitted && slices.Equal(voterIDs(own), voters) && slices.Contains(voters, own.ID) {
				ready++
			}
		}
		for _, m := range some {
			if !slices.Contains(voters, m.server.node.Identity().ID) {
				return fail.New(fail.Unavailable, m.cfg.ID+" has no vote")
			}
		}
		if len(voters) != n || ready != n {
			return fail.New(fail.Unavailable, fmt.Sprintf("%d voters, %d of them run and know it, want %d", len(voters), ready, n))
		}
		return nil
	})
}

func voterIDs(s replica.Status) []uint64 {
	var ids []uint64
	for _, r := range s.Membership.GetReplicas() {
		if !r.Learner {
			ids = append(ids, r.Id)
		}
	}
	return ids
}

var errNoLeader = fail.New(fail.NotLeader, "no leader")

// put commits a document.
func (b *bed) put(version int) {
	b.t.Helper()
	eventually(b.t, func(ctx context.Context) error {
		m, _ := b.leader(ctx)
		if m == nil {
			return errNoLeader
		}
		return m.server.Put(ctx, []byte(strconv.Itoa(version)))
	})
}

// want checks that the newest document has the version.
func (b *bed) want(version int) {
	b.t.Helper()
	eventually(b.t, func(ctx context.Context) error {
		m, _ := b.leader(ctx)
		if m == nil {
			return errNoLeader
		}
		text, err := m.server.Newest(ctx)
		if err == nil && string(text) != strconv.Itoa(version) {
			b.t.Fatalf("the newest document is %s, want %d", text, version)
		}
		return err
	})
}

// formGroup starts machines 1 to 3 and commits a document.
func (b *bed) formGroup() {
	b.t.Helper()
	for id := range 3 {
		b.add(id+1, true)
	}
	b.put(1)
	b.awaitVoters(3)
}

// TestGroupBearsTheLossOfADiskRightAfterAReplacement guards against a group that never
// has a leader again: one machine, whose successor has joined, is gone for good, with
// SIGTERM or without, and then one disk is lost at once.
func TestGroupBearsTheLossOfADiskRightAfterAReplacement(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for _, leader := range []bool{false, true} {
			t.Run(fmt.Sprintf("killed %t leader %t", killed, leader), func(t *testing.T) {
				t.Parallel()
				b := newBed(t)
				b.formGroup()
				old, _ := b.leader(t.Context())
				if !leader {
					old = b.followerOf(old)
				}
				b.awaitVoters(3, b.addSuccessor(4, old))
				if killed {
					old.kill()
				} else if err := old.terminate(); err != nil {
					t.Error(err)
				}
				b.put(7)
				lost, _ := b.leader(t.Context())
				b.wipe(lost, 300*time.Millisecond)
				b.want(7)
				b.put(9)
				b.awaitVoters(3)
			})
		}
	}
}

// followerOf returns one of machines 1 to 3 that is not the leader.
func (b *bed) followerOf(leader *machine) *machine {
	for id := range 3 {
		if m := b.machines[id+1]; m != leader {
			return m
		}
	}
	return nil
}

// TestGroupBearsTheLossOfADiskWhileAllAreKilled guards against a group that waits for a voter
// that is gone for good, after all processes were killed at once and one disk was lost.
func TestGroupBearsTheLossOfADiskWhileAllAreKilled(t *testing.T) {
	b := newBed(t)
	b.formGroup()
	b.awaitVoters(3, b.addSuccessor(4, b.machines[1]))
	b.put(7)
	for _, m := range b.machines {
		m.kill()
	}
	for _, id := range []int{3, 4} {
		b.machines[id].cfg.FirstStart = false
		b.start(b.machines[id])
	}
	b.wipe(b.machines[2], 0)
	b.want(7)
	b.put(9)
	b.awaitVoters(3)
}

// TestFirstStartEndsWhateverItsInterruption guards against a group that never forms because all
// seeds ended after they had stored its name and before its first membership.
func TestFirstStartEndsWhateverItsInterruption(t *testing.T) {
	for _, first := range []bool{true, false} {
		b := newBed(t)
		for id := range 3 {
			m := b.prepare(id+1, first)
			j, _, err := journal.Open(m.cfg.DataFolder, func() uint64 { return seedID(m.cfg.Address) })
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(j.SetGroup(replica.GroupName(firstMembership(m.cfg.seedPeers()))), j.Close()); err != nil {
				t.Fatal(err)
			}
			b.start(m)
		}
		b.put(1)
	}
}
