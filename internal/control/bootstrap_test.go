package control

import (
	"context"
	"io"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/testnet"
	"parsleyramp/internal/transport"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const blankServerSeed = 9

// blankServer starts a control replica with an empty data folder.
func blankServer(t *testing.T) *Server { return startServer(t, "127.0.0.1:0", blankServerSeed) }

func startServer(t *testing.T, address string, seed uint64) *Server {
	t.Helper()
	cfg := DefaultSettings()
	cfg.Address, cfg.LiveList, cfg.DataFolder = address, "127.0.0.1:1", t.TempDir()
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := Start(ctx, cfg, seed, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Shutdown(context.Background(), cancel) })
	return s
}

func clientsOf(s *Server) (wireconnect.ReplicaServiceClient, wireconnect.BootstrapServiceClient) {
	url := "http://" + s.http.Address()
	return wireconnect.NewReplicaServiceClient(http.DefaultClient, url), wireconnect.NewBootstrapServiceClient(http.DefaultClient, url)
}

func deliver(t *testing.T, s *Server, group string, kind wire.RaftMessageType, to uint64) error {
	t.Helper()
	c, _ := clientsOf(s)
	_, err := c.Deliver(t.Context(), connect.NewRequest(&wire.DeliverRequest{Group: group, Messages: []*wire.RaftMessage{{Type: kind, From: 1, To: to, Term: 1}}}))
	return err
}

// A blank replica joins the first group whose leader sends it the log, and no
// other: not a group whose message is for an earlier replica at this address, not
// one that only requests a vote, and not a second one.
func TestBlankReplicaJoinsGroupThatAddressesIt(t *testing.T) {
	s := blankServer(t)
	id := s.node.Identity().ID
	appendType, voteType := wire.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, wire.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE
	if deliver(t, s, "earlier", appendType, id+2) == nil || deliver(t, s, "asks", voteType, id) == nil {
		t.Fatal("a message that must not make the replica join a group was accepted")
	}
	results := make(chan error, 2)
	for _, group := range []string{"a", "b"} {
		go func() { results <- deliver(t, s, group, appendType, id) }()
	}
	first, second := <-results, <-results
	if (first == nil) == (second == nil) {
		t.Fatalf("of two concurrent groups exactly one must be accepted, got errors %v and %v", first, second)
	}
	joined := s.group.Name()
	if joined != "a" && joined != "b" {
		t.Fatalf("joined group %q, want a or b", joined)
	}
}

// Bootstrap that is repeated after a lost response, or after a crash between its
// two writes, forms the same group. Another group is rejected.
func TestBootstrapIsIdempotent(t *testing.T) {
	s := blankServer(t)
	_, c := clientsOf(s)
	m := &wire.Membership{Replicas: []*wire.Replica{{Id: s.node.Identity().ID, Address: "127.0.0.1:1"}}}
	call := func(group string, m *wire.Membership) error {
		_, err := c.Bootstrap(t.Context(), connect.NewRequest(&wire.BootstrapRequest{Group: group, Membership: m}))
		return err
	}
	expectRejection := func(err error) {
		t.Helper()
		if f, _ := rpcerror.FromConnect(err); err == nil || !fail.Is(f, fail.BadRequest) && !fail.Is(f, fail.MembershipChange) {
			t.Fatalf("got %v, want a rejection", err)
		}
	}
	expectRejection(call("g", m))
	foreign := &wire.Membership{Replicas: []*wire.Replica{{Id: 1}}}
	expectRejection(call(replica.GroupName(foreign), foreign))
	if err := s.group.Join(replica.GroupName(m)); err != nil { // As after a crash between the two writes.
		t.Fatal(err)
	}
	for range 2 {
		if err := call(replica.GroupName(m), m); err != nil {
			t.Fatal(err)
		}
	}
	other := &wire.Membership{Replicas: append(m.Replicas, &wire.Replica{Id: 4})}
	expectRejection(call(replica.GroupName(other), other))
}

// A blank replica that knows no membership responds to its leader, catches up
// with the log and replaces a lost replica, over real connections.
func TestBlankReplicaReplacesLostReplica(t *testing.T) {
	m := &wire.Membership{}
	var servers []*Server
	var addresses []string
	for i := range uint64(4) {
		a := testnet.Address(t)
		s := startServer(t, a, i+1)
		servers, addresses = append(servers, s), append(addresses, a)
		if i < 2 {
			m.Replicas = append(m.Replicas, &wire.Replica{Id: s.node.Identity().ID, Address: a})
		}
	}
	// The third voter of the group never runs.
	const lost = 77
	m.Replicas = append(m.Replicas, &wire.Replica{Id: lost, Address: addresses[3]})
	for _, s := range servers[:2] {
		if err := s.bootstrap(t.Context(), &wire.BootstrapRequest{Group: replica.GroupName(m), Membership: m}); err != nil {
			t.Fatal(err)
		}
	}
	added := &wire.Replica{Id: servers[3].node.Identity().ID, Address: addresses[3]}
	c := controlclient.New(transport.NewPeerClient(), addresses[:2])
	const attempts = 60
	var got *wire.Membership
	for i := 0; got == nil; i++ {
		err := c.Do(t.Context(), func(ctx context.Context, conn controlclient.Conn) error {
			r, err := conn.Operator.ReplaceReplica(ctx, connect.NewRequest(&wire.ReplaceReplicaRequest{RemoveId: lost, Add: added}))
			if err == nil {
				got = r.Msg.Membership
			}
			return err
		})
		if err != nil && (fail.From(err).RetryAfter == 0 || i == attempts) {
			t.Fatal(err)
		}
	}
	if findReplica(got, lost) != nil || findReplica(got, added.Id) == nil || findReplica(got, added.Id).Learner {
		t.Fatalf("membership after the replacement: %v, want the new replica as a voter and the lost one removed", got)
	}
}
