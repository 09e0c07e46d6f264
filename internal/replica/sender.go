package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	peerQueueSize  = 256
	deliverTimeout = 2 * time.Second
)

// NetworkSender sends messages by connect, with one goroutine a peer.
type NetworkSender struct {
	ctx    context.Context
	client *http.Client
	group  func() string
	mu     sync.Mutex
	peers  map[string]chan *wire.RaftMessage
}

// NewNetworkSender returns a sender that works until ctx ends. group names
// the group that receivers are to check.
func NewNetworkSender(ctx context.Context, client *http.Client, group func() string) *NetworkSender {
	return &NetworkSender{ctx: ctx, client: client, group: group, peers: map[string]chan *wire.RaftMessage{}}
}

// Send queues the messages. A full queue drops the message.
func (s *NetworkSender) Send(messages []*wire.RaftMessage, membership *wire.Membership) {
	for _, m := range messages {
		address := addressOf(membership, m.To)
		if address == "" {
			continue
		}
		select {
		case s.queue(address) <- m:
		default:
		}
	}
}

func addressOf(m *wire.Membership, id uint64) string {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return r.Address
		}
	}
	return ""
}

func (s *NetworkSender) queue(address string) chan *wire.RaftMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.peers[address]
	if !ok {
		q = make(chan *wire.RaftMessage, peerQueueSize)
		s.peers[address] = q
		go s.deliver(address, q)
	}
	return q
}

// deliver sends what is queued for one peer, as many messages at once as wait.
func (s *NetworkSender) deliver(address string, q chan *wire.RaftMessage) {
	client := wireconnect.NewReplicaServiceClient(s.client, "http://"+address)
	for {
		var batch []*wire.RaftMessage
		select {
		case <-s.ctx.Done():
			return
		case m := <-q:
			batch = append(batch, m)
		}
		for len(q) > 0 {
			batch = append(batch, <-q)
		}
		ctx, cancel := context.WithTimeout(s.ctx, deliverTimeout)
		// A lost batch is sent again by consensus.
		_, _ = client.Deliver(ctx, connect.NewRequest(&wire.DeliverRequest{Group: s.group(), Messages: batch}))
		cancel()
	}
}
