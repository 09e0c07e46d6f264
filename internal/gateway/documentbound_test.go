package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// applyBound is the time from the acknowledgement of a fleet document in which
	// every gateway that reaches the control group must route by it.
	applyBound = 2 * time.Second
	// settledTime is how long the VMs of the control group have been in their states
	// at the acknowledgement, and up to phases times phaseStep more, so that it comes at
	// each phase of the gateway's calls.
	settledTime = 3 * time.Second
	phaseStep   = 150 * time.Millisecond
	phases      = 30
)

// fakeTerm is the term of the only leader of a fakeGroup.
const fakeTerm = 1

// fakeGroup is a control group of which a gateway's client knows all VMs.
type fakeGroup struct {
	mu sync.Mutex
	// leader is the address of the leader, "" if there is none.
	leader  string
	version uint64
	// changed is closed at each change of leader and version.
	changed chan struct{}
}

func newFakeGroup() *fakeGroup { return &fakeGroup{version: 1, changed: make(chan struct{})} }

func (g *fakeGroup) set(leader string, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader, g.version = leader, version
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *fakeGroup) state() (leader string, version uint64, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.version, g.changed
}

// fakeReplica is one control VM of the group.
type fakeReplica struct {
	wireconnect.UnimplementedFleetServiceHandler
	group   *fakeGroup
	address string
	// silent VMs have no power or have left the group.
	silent bool
	// exchangeTime is how long the response to an exchange takes.
	exchangeTime time.Duration
	// stuck VMs do not deliver documents.
	stuck bool
	// exchanges and fetches count the calls that were answered.
	exchanges, fetches atomic.Int64
}

func (r *fakeReplica) Sync(ctx context.Context, req *connect.Request[wire.SyncRequest]) (*connect.Response[wire.SyncResponse], error) {
	leader, _, _ := r.group.state()
	if leader != r.address {
		return nil, rpcerror.ToConnect(fail.New(fail.NotLeader, "this replica does not lead"), leader)
	}
	if !wait.For(ctx, r.exchangeTime) {
		return nil, ctx.Err()
	}
	r.exchanges.Add(1)
	out := &wire.SyncResponse{Term: fakeTerm}
	if _, version, _ := r.group.state(); version > req.Msg.DocumentVersion {
		out.Document = testDocument(version)
	}
	return connect.NewResponse(out), nil
}

func (r *fakeReplica) Watch(ctx context.Context, req *connect.Request[wire.WatchRequest]) (*connect.Response[wire.WatchResponse], error) {
	hold := time.After(time.Duration(req.Msg.HoldMs) * time.Millisecond)
	for {
		leader, version, changed := r.group.state()
		newLeader := leader != "" && req.Msg.Term < fakeTerm
		if version <= req.Msg.DocumentVersion && !newLeader {
			select {
			case <-changed:
				continue
			case <-hold:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return connect.NewResponse(&wire.WatchResponse{DocumentVersion: version, Term: fakeTerm, Leader: leader}), nil
	}
}

func (r *fakeReplica) GetDocument(ctx context.Context, _ *connect.Request[wire.GetDocumentRequest]) (*connect.Response[wire.GetDocumentResponse], error) {
	if r.stuck {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.fetches.Add(1)
	_, version, _ := r.group.state()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writing to a buffer does not fail.
	_, _ = w.Write(testDocument(version).Text)
	_ = w.Close()
	return connect.NewResponse(&wire.GetDocumentResponse{Version: version, GzipText: b.Bytes()}), nil
}

func testDocument(version uint64) *wire.Document {
	return &wire.Document{Version: version, Text: []byte(strconv.FormatUint(version, 10))}
}

// replicaTransport routes calls to the replicas by address.
type replicaTransport map[string]*fakeReplica

func (t replicaTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	r := t[req.URL.Host]
	if r == nil || r.silent {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	_, handler := wireconnect.NewFleetServiceHandler(r, transport.PeerHandlerOptions()...)
	return roundTripper{handler}.RoundTrip(req)
}

// controlCase is a state of the control group, with the VMs in the order in which the
// gateway knows them.
type controlCase struct {
	name string
	vms  []*fakeReplica
	// leader is the index of the VM that leads at the acknowledgement. It has just been
	// elected then if elected is set.
	leader  int
	elected bool
}

func liveVMs(n int) []*fakeReplica {
	out := make([]*fakeReplica, n)
	for i := range out {
		out[i] = &fakeReplica{}
	}
	return out
}

func silentVMs(n int) []*fakeReplica {
	out := liveVMs(n)
	for _, r := range out {
		r.silent = true
	}
	return out
}

func TestAcknowledgedDocumentIsAppliedInTimeInEveryStateOfControl(t *testing.T) {
	for _, c := range []controlCase{
		{name: "leader responds at once", vms: liveVMs(3)},
		{name: "two VMs without power", vms: append(silentVMs(2), liveVMs(3)...), leader: 2},
		{name: "two VMs without power before a leader that was just elected", vms: append(silentVMs(2), liveVMs(3)...), leader: 4, elected: true},
		{name: "two VMs without power and four that left the group, new leader", vms: append(silentVMs(6), liveVMs(3)...), leader: 8, elected: true},
		{name: "leader responds to exchanges too late", vms: []*fakeReplica{{exchangeTime: 700 * time.Millisecond}, {}, {}}},
		{name: "leader responds to exchanges too late and one VM is without power", vms: []*fakeReplica{{silent: true}, {exchangeTime: 700 * time.Millisecond}, {}}, leader: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for phase := range phases {
				synctest.Test(t, func(t *testing.T) { c.check(t, settledTime+time.Duration(phase)*phaseStep) })
			}
		})
	}
}

// start starts a gateway that knows the VMs of the control group in their order, and
// returns it with their addresses.
func (c controlCase) start(ctx context.Context, t *testing.T, group *fakeGroup) (*Gateway, []string) {
	t.Helper()
	replicas, addresses := replicaTransport{}, []string(nil)
	for i, r := range c.vms {
		r.group, r.address = group, fmt.Sprintf("10.0.0.%d:1", i+1)
		replicas[r.address], addresses = r, append(addresses, r.address)
	}
	g := newTestGateway(t, idempotent, document.Service{})
	g.deps.Decode = func(text []byte) (*document.Document, error) {
		version, err := strconv.ParseUint(string(text), 10, 64)
		return &document.Document{Version: version}, err
	}
	g.control = controlclient.New(&http.Client{Transport: replicas}, addresses)
	g.control.SetTimeouts(controlTimeout, controlRetryDelay)
	g.followControl(ctx)
	return g, addresses
}

// check acknowledges a document after the time settled, and checks when the gateway
// applies it.
func (c controlCase) check(t *testing.T, settled time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	group := newFakeGroup()
	g, addresses := c.start(ctx, t, group)
	if !c.elected {
		group.set(addresses[c.leader], 1)
	}
	time.Sleep(settled)
	acknowledged := g.clock()
	group.set(addresses[c.leader], 2)
	for g.documentVersion() < 2 && g.clock() < acknowledged+10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if took := g.clock() - acknowledged; took > applyBound {
		t.Errorf("document applied %v after its acknowledgement at %v, want within %v", took, settled, applyBound)
	}
}

func TestNewLeaderIsExchangedWithAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := controlCase{vms: append(silentVMs(6), liveVMs(3)...)}
		group := newFakeGroup()
		_, addresses := c.start(ctx, t, group)
		time.Sleep(settledTime)
		group.set(addresses[8], 1)
		// The call in flight ends, and the next one follows.
		time.Sleep(2 * controlRetryDelay)
		if c.vms[8].exchanges.Load() == 0 {
			t.Error("no exchange with the new leader right after a VM has named it")
		}
	})
}

func TestNewDocumentIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := controlCase{vms: liveVMs(5)}
		group := newFakeGroup()
		g, addresses := c.start(ctx, t, group)
		group.set(addresses[0], 1)
		// Between two exchanges, the next of which would bring the document too.
		time.Sleep(settledTime + g.cfg.SyncInterval.D()/2)
		group.set(addresses[0], 2)
		synctest.Wait()
		fetches := int64(0)
		for _, r := range c.vms {
			fetches += r.fetches.Load()
		}
		if g.documentVersion() != 2 || fetches != 1 {
			t.Errorf("version %d after %d fetches, want version 2 after one", g.documentVersion(), fetches)
		}
	})
}

func TestDocumentIsFetchedFromAnotherVMIfOneDoesNotDeliver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := controlCase{vms: liveVMs(3)}
		// Exchanges take too long to bring the document.
		c.vms[0].exchangeTime, c.vms[0].stuck, c.vms[1].stuck = time.Minute, true, true
		group := newFakeGroup()
		g, addresses := c.start(ctx, t, group)
		group.set(addresses[0], 1)
		time.Sleep(settledTime)
		group.set(addresses[0], 2)
		time.Sleep(2*fetchHedge + time.Millisecond)
		if g.documentVersion() != 2 {
			t.Errorf("version %d, want 2 from the VM that delivers it", g.documentVersion())
		}
	})
}
