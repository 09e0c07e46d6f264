package replica

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/rpcerror"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

// Group holds the name of the group that a replica belongs to. It is safe for
// concurrent use.
type Group struct {
	joinMu sync.Mutex
	name   atomic.Pointer[string]
	store  func(name string) error
}

// NewGroup returns a group with the name from the replica's identity, which is
// empty if the replica belongs to no group. store writes a name to the identity.
func NewGroup(name string, store func(name string) error) *Group {
	g := &Group{store: store}
	g.name.Store(&name)
	return g
}

// Name returns the name of the group, or "" if the replica belongs to none.
func (g *Group) Name() string { return *g.name.Load() }

// ErrOtherGroup is returned for requests that concern another group.
var ErrOtherGroup = fail.New(fail.MembershipChange, "the replica belongs to another group or to none")

// Join stores the name of the group in the replica's identity, before anything of
// the group's log is stored. Of two concurrent calls the first one wins.
func (g *Group) Join(name string) error {
	g.joinMu.Lock()
	defer g.joinMu.Unlock()
	switch g.Name() {
	case name:
		return nil
	case "":
	default:
		return ErrOtherGroup
	}
	if err := g.store(name); err != nil {
		return err
	}
	g.name.Store(&name)
	return nil
}

// Service receives messages from other replicas.
type Service struct {
	node   *Node
	group  *Group
	sender *NetworkSender
}

var _ wireconnect.ReplicaServiceHandler = (*Service)(nil)

// NewService returns a service that passes messages of the group to the node.
func NewService(node *Node, group *Group, sender *NetworkSender) *Service {
	return &Service{node: node, group: group, sender: sender}
}

// replicaHeader is the header of a response, or of an error, with the id of the replica
// that answers, which belongs to the group of the messages or to none.
const replicaHeader = "Parsleyramp-Replica"

// Deliver passes messages to the node and rejects those of another group. A replica
// without a group joins the group whose leader sends it the log. Other messages are
// meant for a replica that had its address before; it rejects them with its own id.
func (s *Service) Deliver(_ context.Context, req *connect.Request[wire.DeliverRequest]) (*connect.Response[wire.DeliverResponse], error) {
	if s.group.Name() == "" && s.node.AddressedByLeader(req.Msg.Messages) {
		if err := s.group.Join(req.Msg.Group); err != nil {
			return nil, rpcerror.ToConnect(err, "")
		}
	}
	id := strconv.FormatUint(s.node.Identity().ID, 10)
	if req.Msg.Group == "" || req.Msg.Group != s.group.Name() {
		err := rpcerror.ToConnect(ErrOtherGroup, "")
		if s.group.Name() == "" {
			s.sender.learnContact(req.Msg.Address)
			err.Meta().Set(replicaHeader, id)
		}
		return nil, err
	}
	s.sender.LearnAddress(req.Msg.Messages, req.Msg.Address)
	s.node.Deliver(req.Msg.Messages)
	resp := connect.NewResponse(&wire.DeliverResponse{})
	resp.Header().Set(replicaHeader, id)
	return resp, nil
}
