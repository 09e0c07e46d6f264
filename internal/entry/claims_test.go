package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// TestMain fixes the seed of rapid, so that the tests are deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	maxNested     = 3
	maxClaimCalls = 12
)

var errNoResponse = fail.New(fail.Unavailable, "no response").WithRan(fail.RanUnknown)

// holderProcess is one incarnation of an entry.
type holderProcess struct {
	id, incarnation string
	killed          bool
	// background holds the outcomes that it records in the background.
	background []*wire.FinishClaim
}

// claimSimulation consists of the replicated state, entries that record claims in
// it, and an endpoint that counts its runs.
type claimSimulation struct {
	t       *rapid.T
	machine *state.Machine
	index   uint64
	entries []*holderProcess
	// delayed holds commands that have not reached the leader yet.
	delayed []*wire.Command
	runs    map[string]int
	digest  map[string]uint64
	calls   int
	nested  int
}

func (s *claimSimulation) apply(c *wire.Command) *wire.CommandResult {
	s.index++
	key := c.GetBeginClaim().GetKey()
	before := s.machine.Claim(key)
	r := s.machine.Apply(s.index, proto.Clone(c).(*wire.Command))
	if before != nil && s.machine.Claim(key).Digest != before.Digest {
		s.t.Fatalf("%s was granted to two different requests", key)
	}
	return r
}

func (s *claimSimulation) start(i int) {
	old := s.entries[i]
	s.entries[i] = &holderProcess{id: old.id, incarnation: old.incarnation + "'"}
	s.register(s.entries[i])
}

func (s *claimSimulation) register(p *holderProcess) {
	s.apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{
		Entry:                &wire.EntryVM{Id: p.id, Incarnation: p.incarnation, Live: true},
		ExpectedRegistration: s.machine.Entry(p.id).GetRegistration(),
	}}})
}

func (s *claimSimulation) markNotLive(p *holderProcess) {
	entry := s.machine.Entry(p.id)
	if entry.GetIncarnation() != p.incarnation {
		return
	}
	entry.Live = false
	s.apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: entry, ExpectedRegistration: entry.Registration}}})
}

func (s *claimSimulation) deliverDelayed() {
	if len(s.delayed) > 0 {
		i := rapid.IntRange(0, len(s.delayed)-1).Draw(s.t, "late")
		s.apply(s.delayed[i])
		s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
	}
}

func (s *claimSimulation) recordPending(p *holderProcess) {
	for _, f := range p.background {
		if !p.killed {
			s.apply(&wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: f}})
		}
	}
	p.background = nil
}

// interleave runs random other events at a point where a process may be suspended.
func (s *claimSimulation) interleave() {
	for range rapid.IntRange(0, 2).Draw(s.t, "events") {
		i := rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry")
		p := s.entries[i]
		switch rapid.IntRange(0, 8).Draw(s.t, "event") {
		case 0, 1, 2:
			s.call(p)
		case 3:
			s.markNotLive(p)
		case 4:
			s.register(p)
		case 5:
			p.killed = rapid.Bool().Draw(s.t, "killed")
			s.start(i)
		case 6:
			s.deliverDelayed()
		case 7:
			s.recordPending(p)
		case 8:
			s.changeLeader()
		}
	}
}

// changeLeader simulates a leader change: the new leader restores a snapshot.
func (s *claimSimulation) changeLeader() {
	data, err := s.machine.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	if s.machine, err = state.Restore(data); err != nil {
		s.t.Fatal(err)
	}
	if rapid.IntRange(0, 9).Draw(s.t, "expire") == 0 {
		before := int64(rapid.IntRange(0, 3).Draw(s.t, "before"))
		s.apply(&wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{ClaimsBeforeUnixMs: before}}})
	}
}

// call sends one client request through an entry and checks the response.
func (s *claimSimulation) call(p *holderProcess) {
	if s.nested == maxNested || s.calls == maxClaimCalls {
		return
	}
	s.nested++
	defer func() { s.nested-- }()
	s.calls++
	token := fmt.Sprint("token", s.calls)
	keyTime := rapid.IntRange(0, 2).Draw(s.t, "key")
	key := fmt.Sprint("key", keyTime)
	digest := uint64(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(s.t, "digest"))
	b := &wire.BeginClaim{Key: key, Digest: digest, HolderEntry: p.id, HolderIncarnation: p.incarnation, KeyUnixMs: int64(keyTime), Token: token}
	response, err := s.claims(p).runOnce(context.Background(), b, func(context.Context) (*wire.RecordedAnswer, error) {
		return s.run(p, key, digest)
	})
	switch {
	case p.killed:
	case err == nil && (s.digest[key] != digest || string(response.Body) != key):
		s.t.Fatalf("%s with digest %d got the response %q of digest %d", key, digest, response.Body, s.digest[key])
	case err != nil && fail.From(err).Ran == fail.RanNo && s.runs[key] > 0 && s.digest[key] == digest:
		s.t.Fatalf("%s has run, but %s got an error with ran=no: %v", key, token, err)
	}
}

func (s *claimSimulation) claims(p *holderProcess) claims {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return claims{store: &fakeClaimStore{sim: s, process: p}, log: logrus.NewEntry(log)}
}

// run simulates the endpoint. The entry may be suspended before it sends the call.
func (s *claimSimulation) run(p *holderProcess, key string, digest uint64) (*wire.RecordedAnswer, error) {
	s.interleave()
	if p.killed {
		return nil, errNoResponse
	}
	kind := rapid.IntRange(0, 3).Draw(s.t, "run")
	if kind == 0 {
		return nil, fail.New(fail.NoReplica, "not sent")
	}
	if kind > 1 {
		s.runs[key]++
		s.digest[key] = digest
		if s.runs[key] > 1 {
			s.t.Fatalf("%s ran twice", key)
		}
	}
	s.interleave()
	if kind < 3 {
		return nil, errNoResponse
	}
	return &wire.RecordedAnswer{Status: 200, Body: []byte(key)}, nil
}

// fakeClaimStore loses, delays and duplicates the commands of one entry to the
// control plane.
type fakeClaimStore struct {
	sim     *claimSimulation
	process *holderProcess
}

func (f *fakeClaimStore) begin(_ context.Context, b *wire.BeginClaim) (claimResponse, error) {
	c := &wire.Command{Body: &wire.Command_BeginClaim{BeginClaim: b}}
	for attempt := range 2 {
		f.sim.interleave()
		if f.process.killed {
			break
		}
		switch rapid.IntRange(0, 3).Draw(f.sim.t, "begin") {
		case 0:
			f.sim.delayed = append(f.sim.delayed, c)
		case 1:
			f.sim.apply(c)
		default:
			r := f.sim.apply(c)
			f.sim.interleave()
			if r.HolderNotLive {
				return claimResponse{}, fail.New(fail.NoLease, r.Reason)
			}
			return claimResponse{granted: r.Applied, claim: r.Claim, mayDuplicate: attempt > 0}, nil
		}
	}
	return claimResponse{}, errNoResponse
}

func (f *fakeClaimStore) finish(_ context.Context, finish *wire.FinishClaim) error {
	if f.process.killed {
		return errNoResponse
	}
	c := &wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: finish}}
	if rapid.Bool().Draw(f.sim.t, "finish late") {
		f.sim.delayed = append(f.sim.delayed, c)
	}
	if rapid.Bool().Draw(f.sim.t, "finish in background") {
		f.process.background = append(f.process.background, finish)
		return errNoResponse
	}
	f.sim.apply(c)
	return nil
}

// TestClaimedCallRunsAtMostOnce checks guarantees G4 and G5 while commands are lost,
// delayed or duplicated, and entries and leaders are suspended, killed or restarted:
// a key runs at most once, a response belongs to its request, an error with RanNo
// is true, and no key stays pending after its holders have responded or died.
func TestClaimedCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &claimSimulation{
			t: t, machine: state.New(), runs: map[string]int{}, digest: map[string]uint64{},
			entries: []*holderProcess{{id: "a", incarnation: "1"}, {id: "b", incarnation: "1"}},
		}
		processes := append([]*holderProcess(nil), s.entries...)
		for _, p := range s.entries {
			s.register(p)
		}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			s.interleave()
			processes = append(processes, s.entries...)
		}
		for _, p := range processes {
			s.recordPending(p)
		}
		for len(s.delayed) > 0 {
			s.deliverDelayed()
		}
		for i := range s.entries {
			if s.entries[i].killed {
				s.start(i)
			}
		}
		for i := range 3 {
			c := s.machine.Claim(fmt.Sprint("key", i))
			if c.GetState() == wire.ClaimState_CLAIM_STATE_PENDING {
				t.Fatalf("claim %v is pending, but no entry runs it", c)
			}
		}
	})
}
