package replica

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	peerQueueSize = 256
	// peerQueueBytes bounds the messages queued for one peer. A larger message,
	// such as a snapshot, is queued only when the queue is empty.
	peerQueueBytes = 4 << 20
	deliverTimeout = 2 * time.Second
	// maxContacts bounds the contacts of a replica without a group.
	maxContacts = 16
)

// NetworkSender sends messages over Connect RPC, with one goroutine per peer.
type NetworkSender struct {
	ctx    context.Context
	client *http.Client
	group  func() string
	mu     sync.Mutex
	peers  map[string]*peerQueue
	// address is the address of this replica. learnedAddresses holds the addresses
	// that other replicas sent with their messages.
	address          string
	learnedAddresses map[uint64]string
	// contacts are the addresses of replicas that sent messages for a replica that had
	// this address before.
	contacts []string
	// reportLost is called with the id of each replica at whose address another one
	// answers.
	reportLost func(id uint64)
}

// peerQueue is the queue of the messages to one peer.
type peerQueue struct {
	messages chan *wire.RaftMessage
	bytes    atomic.Int64
}

// push queues a message, or drops it if the queue is full.
func (q *peerQueue) push(m *wire.RaftMessage) {
	size := int64(messageBytes(m))
	if queued := q.bytes.Load(); queued > 0 && queued+size > peerQueueBytes {
		return
	}
	q.bytes.Add(size)
	select {
	case q.messages <- m:
	default:
		q.bytes.Add(-size)
	}
}

// NewNetworkSender returns a sender that runs until ctx ends. group returns the name
// of the group, which receivers check; address is the address of this replica, to
// which they respond.
func NewNetworkSender(ctx context.Context, client *http.Client, address string, group func() string) *NetworkSender {
	return &NetworkSender{
		ctx: ctx, client: client, address: address, group: group, peers: map[string]*peerQueue{},
		learnedAddresses: map[uint64]string{}, reportLost: func(uint64) {},
	}
}

// ReportLost sets the function that is called with the id of each replica at whose
// address another replica of the group, or of none, answers: its disk is lost. It must
// be called before the first Send, and f must not block.
func (s *NetworkSender) ReportLost(f func(id uint64)) { s.reportLost = f }

// Contacts returns the addresses from which messages came for a replica that had this
// address before. A replica with an empty disk finds its group through them.
func (s *NetworkSender) Contacts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.contacts)
}

func (s *NetworkSender) learnContact(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != "" && len(s.contacts) < maxContacts && !slices.Contains(s.contacts, address) {
		s.contacts = append(s.contacts, address)
	}
}

// LearnAddress records the address of the replicas that sent the messages. It is
// used for replicas that the membership does not contain.
func (s *NetworkSender) LearnAddress(messages []*wire.RaftMessage, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range messages {
		s.learnedAddresses[m.From] = address
	}
}

// Send queues the messages. It drops a message if the queue of its peer is full or
// the peer's address is unknown.
func (s *NetworkSender) Send(messages []*wire.RaftMessage, members *wire.Membership) {
	for _, m := range messages {
		address := s.addressOf(members, m.To)
		if address == "" {
			continue
		}
		s.queue(address).push(m)
	}
}

func (s *NetworkSender) addressOf(m *wire.Membership, id uint64) string {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return r.Address
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learnedAddresses[id]
}

func (s *NetworkSender) queue(address string) *peerQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.peers[address]
	if !ok {
		q = &peerQueue{messages: make(chan *wire.RaftMessage, peerQueueSize)}
		s.peers[address] = q
		go s.deliver(address, q)
	}
	return q
}

// deliver sends the queued messages of one peer, in batches of all that are queued.
func (s *NetworkSender) deliver(address string, q *peerQueue) {
	client := wireconnect.NewReplicaServiceClient(s.client, "http://"+address)
	for {
		var batch []*wire.RaftMessage
		select {
		case <-s.ctx.Done():
			return
		case m := <-q.messages:
			batch = append(batch, m)
		}
		for len(q.messages) > 0 {
			batch = append(batch, <-q.messages)
		}
		q.bytes.Add(-int64(messageBytes(batch...)))
		ctx, cancel := context.WithTimeout(s.ctx, deliverTimeout)
		// Errors are ignored: consensus resends lost messages.
		reply, err := client.Deliver(ctx, connect.NewRequest(&wire.DeliverRequest{Group: s.group(), Messages: batch, Address: s.address}))
		cancel()
		s.reportOthers(batch, answeringReplica(reply, err))
	}
}

// answeringReplica returns the id of the replica that answered, or zero if it is
// unknown.
func answeringReplica(reply *connect.Response[wire.DeliverResponse], err error) uint64 {
	var failure *connect.Error
	text := ""
	switch {
	case err == nil:
		text = reply.Header().Get(replicaHeader)
	case errors.As(err, &failure):
		text = failure.Meta().Get(replicaHeader)
	}
	// Other text than a number counts as unknown.
	id, _ := strconv.ParseUint(text, 10, 64)
	return id
}

// reportOthers reports the recipients of the messages other than the replica that
// answered, if that is known.
func (s *NetworkSender) reportOthers(batch []*wire.RaftMessage, answered uint64) {
	if answered == 0 {
		return
	}
	for i, m := range batch {
		sameAsBefore := i > 0 && batch[i-1].To == m.To
		if m.To != answered && !sameAsBefore {
			s.reportLost(m.To)
		}
	}
}
