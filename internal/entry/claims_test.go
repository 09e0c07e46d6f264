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

// TestMain fixes the seed of rapid, so that the verdict is the same every time.
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

var errNoAnswer = fail.New(fail.Unavailable, "no answer").WithRan(fail.RanUnknown)

// holderProcess is one incarnation of an entry.
type holderProcess struct {
	id, incarnation string
	killed          bool
	// background holds the outcomes that it goes on to record.
	background []*wire.FinishClaim
}

// claimWorld is the replicated state, the entries that claim from it and an
// endpoint that counts its runs.
type claimWorld struct {
	t       *rapid.T
	machine *state.Machine
	index   uint64
	entries []*holderProcess
	// late holds commands that are still on their way to the leader.
	late   []*wire.Command
	runs   map[string]int
	digest map[string]uint64
	calls  int
	nested int
}

func (w *claimWorld) apply(c *wire.Command) *wire.CommandResult {
	w.index++
	key := c.GetBeginClaim().GetKey()
	before := w.machine.Claim(key)
	r := w.machine.Apply(w.index, proto.Clone(c).(*wire.Command))
	if before != nil && w.machine.Claim(key).Digest != before.Digest {
		w.t.Fatalf("%s was used with two requests", key)
	}
	return r
}

func (w *claimWorld) start(i int) {
	old := w.entries[i]
	w.entries[i] = &holderProcess{id: old.id, incarnation: old.incarnation + "'"}
	w.register(w.entries[i])
}

func (w *claimWorld) register(p *holderProcess) {
	w.apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{
		Entry:                &wire.EntryVM{Id: p.id, Incarnation: p.incarnation, Live: true},
		ExpectedRegistration: w.machine.Entry(p.id).GetRegistration(),
	}}})
}

func (w *claimWorld) markDead(p *holderProcess) {
	gone := w.machine.Entry(p.id)
	if gone.GetIncarnation() != p.incarnation {
		return
	}
	gone.Live = false
	w.apply(&wire.Command{Body: &wire.Command_SetEntry{SetEntry: &wire.SetEntry{Entry: gone, ExpectedRegistration: gone.Registration}}})
}

func (w *claimWorld) deliverLate() {
	if len(w.late) > 0 {
		i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")
		w.apply(w.late[i])
		w.late = append(w.late[:i:i], w.late[i+1:]...)
	}
}

func (w *claimWorld) flush(p *holderProcess) {
	for _, f := range p.background {
		if !p.killed {
			w.apply(&wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: f}})
		}
	}
	p.background = nil
}

// meanwhile lets other things happen at a point where a process may hang.
func (w *claimWorld) meanwhile() {
	for range rapid.IntRange(0, 2).Draw(w.t, "events") {
		i := rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")
		p := w.entries[i]
		switch rapid.IntRange(0, 8).Draw(w.t, "event") {
		case 0, 1, 2:
			w.call(p)
		case 3:
			w.markDead(p)
		case 4:
			w.register(p)
		case 5:
			p.killed = rapid.Bool().Draw(w.t, "killed")
			w.start(i)
		case 6:
			w.deliverLate()
		case 7:
			w.flush(p)
		case 8:
			w.restart()
		}
	}
}

// restart is a leader change: the new leader works by a snapshot.
func (w *claimWorld) restart() {
	data, err := w.machine.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	if w.machine, err = state.Restore(data); err != nil {
		w.t.Fatal(err)
	}
	if rapid.IntRange(0, 9).Draw(w.t, "expire") == 0 {
		before := int64(rapid.IntRange(0, 3).Draw(w.t, "before"))
		w.apply(&wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{ClaimsBeforeUnixMs: before}}})
	}
}

// call sends one caller's request through an entry and checks the answer.
func (w *claimWorld) call(p *holderProcess) {
	if w.nested == maxNested || w.calls == maxClaimCalls {
		return
	}
	w.nested++
	defer func() { w.nested-- }()
	w.calls++
	token := fmt.Sprint("token", w.calls)
	keyTime := rapid.IntRange(0, 2).Draw(w.t, "key")
	key := fmt.Sprint("key", keyTime)
	digest := uint64(rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(w.t, "digest"))
	b := &wire.BeginClaim{Key: key, Digest: digest, HolderEntry: p.id, HolderIncarnation: p.incarnation, KeyUnixMs: int64(keyTime), Token: token}
	answer, err := w.claims(p).runOnce(context.Background(), b, func(context.Context) (*wire.RecordedAnswer, error) {
		return w.run(p, key, digest)
	})
	switch {
	case p.killed:
	case err == nil && (w.digest[key] != digest || string(answer.Body) != key):
		w.t.Fatalf("%s with digest %d got the answer %q of digest %d", key, digest, answer.Body, w.digest[key])
	case err != nil && fail.From(err).Ran == fail.RanNo && w.runs[key] > 0 && w.digest[key] == digest:
		w.t.Fatalf("%s has run, but %s was told that it did not: %v", key, token, err)
	}
}

func (w *claimWorld) claims(p *holderProcess) claims {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return claims{store: &fakeClaimStore{w: w, p: p}, log: logrus.NewEntry(log)}
}

// run is the endpoint. The entry may hang before it sends.
func (w *claimWorld) run(p *holderProcess, key string, digest uint64) (*wire.RecordedAnswer, error) {
	w.meanwhile()
	if p.killed {
		return nil, errNoAnswer
	}
	kind := rapid.IntRange(0, 3).Draw(w.t, "run")
	if kind == 0 {
		return nil, fail.New(fail.NoReplica, "not sent")
	}
	if kind > 1 {
		w.runs[key]++
		w.digest[key] = digest
		if w.runs[key] > 1 {
			w.t.Fatalf("%s ran twice", key)
		}
	}
	w.meanwhile()
	if kind < 3 {
		return nil, errNoAnswer
	}
	return &wire.RecordedAnswer{Status: 200, Body: []byte(key)}, nil
}

// fakeClaimStore loses, delays and repeats what one entry asks of control.
type fakeClaimStore struct {
	w *claimWorld
	p *holderProcess
}

func (f *fakeClaimStore) begin(_ context.Context, b *wire.BeginClaim) (claimReply, error) {
	c := &wire.Command{Body: &wire.Command_BeginClaim{BeginClaim: b}}
	for attempt := range 2 {
		f.w.meanwhile()
		if f.p.killed {
			break
		}
		switch rapid.IntRange(0, 3).Draw(f.w.t, "begin") {
		case 0:
			f.w.late = append(f.w.late, c)
		case 1:
			f.w.apply(c)
		default:
			r := f.w.apply(c)
			f.w.meanwhile()
			if r.HolderNotLive {
				return claimReply{}, fail.New(fail.NoLease, r.Reason)
			}
			return claimReply{granted: r.Applied, claim: r.Claim, repeated: attempt > 0}, nil
		}
	}
	return claimReply{}, errNoAnswer
}

func (f *fakeClaimStore) finish(_ context.Context, finish *wire.FinishClaim) error {
	if f.p.killed {
		return errNoAnswer
	}
	c := &wire.Command{Body: &wire.Command_FinishClaim{FinishClaim: finish}}
	if rapid.Bool().Draw(f.w.t, "finish late") {
		f.w.late = append(f.w.late, c)
	}
	if rapid.Bool().Draw(f.w.t, "finish in background") {
		f.p.background = append(f.p.background, finish)
		return errNoAnswer
	}
	f.w.apply(c)
	return nil
}

// TestClaimedCallRunsAtMostOnce checks G5 and G4: whatever is lost, late or
// repeated, whichever entries and leaders hang, die and come back, a key runs at
// most once, an answer belongs to its request, "did not run" is true, and no
// key stays in progress once its holders have answered or died.
func TestClaimedCallRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimWorld{
			t: t, machine: state.New(), runs: map[string]int{}, digest: map[string]uint64{},
			entries: []*holderProcess{{id: "a", incarnation: "1"}, {id: "b", incarnation: "1"}},
		}
		everyone := append([]*holderProcess(nil), w.entries...)
		for _, p := range w.entries {
			w.register(p)
		}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			w.meanwhile()
			everyone = append(everyone, w.entries...)
		}
		for _, p := range everyone {
			w.flush(p)
		}
		for len(w.late) > 0 {
			w.deliverLate()
		}
		for i := range w.entries {
			if w.entries[i].killed {
				w.start(i)
			}
		}
		for i := range 3 {
			c := w.machine.Claim(fmt.Sprint("key", i))
			if c.GetState() == wire.ClaimState_CLAIM_STATE_PENDING {
				t.Fatalf("%v is in progress though nobody runs it", c)
			}
		}
	})
}
