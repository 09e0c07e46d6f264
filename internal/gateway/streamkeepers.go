package gateway

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"parsleyramp/internal/streamorigin"
	"parsleyramp/internal/wire"
	"parsleyramp/internal/wire/wireconnect"
)

const (
	// originLinger is how long origins for one keeper are collected, so that they go in one
	// call. A stream whose gateway dies within it is refused when it is taken up.
	originLinger = 3 * time.Millisecond
	// originTimeout bounds one call to a keeper.
	originTimeout = 300 * time.Millisecond
	// originRetryDelay is how long a keeper that is asked may take before it is asked once more.
	originRetryDelay = 100 * time.Millisecond
	// maxSubstitutes bounds the keepers that are told instead of one that does not respond.
	maxSubstitutes = 3
)

// streamOrigins holds the origins of streams that this gateway began, or keeps for others.
// Its zero value is empty. It is safe for concurrent use.
type streamOrigins struct {
	mu   sync.Mutex
	book streamorigin.Book
	// unsent are the origins to tell to each keeper, by its address.
	unsent map[string][]unsentOrigin
}

// unsentOrigin is an origin to tell to a keeper, and the keepers to tell instead if that one
// does not respond, best first.
type unsentOrigin struct {
	origin *wire.StreamOrigin
	next   []streamorigin.Keeper
	// repeated is set once the last keeper is told again.
	repeated bool
}

func (s *streamOrigins) record(id string, o streamorigin.Origin, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Record(id, o, now)
}

func (s *streamOrigins) find(id string, now time.Duration) (streamorigin.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Find(id, now)
}

func (s *streamOrigins) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Len()
}

// add adds an origin to those for the keeper. It returns true if the caller has to start
// their transfer.
func (s *streamOrigins) add(address string, o unsentOrigin) (start bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsent == nil {
		s.unsent = map[string][]unsentOrigin{}
	}
	_, running := s.unsent[address]
	s.unsent[address] = append(s.unsent[address], o)
	return !running
}

func (s *streamOrigins) take(address string) []unsentOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.unsent[address]
	delete(s.unsent, address)
	return out
}

// keepers returns the other gateways in the order in which they keep the origin of the
// stream.
func (g *Gateway) keepers(id, avoid string) []streamorigin.Keeper {
	var out []streamorigin.Keeper
	for _, other := range g.knownGateways() {
		if other.Id != g.cfg.ID && other.PeerAddress != "" {
			out = append(out, streamorigin.Keeper{ID: other.Id, Domain: other.Domain, Address: other.PeerAddress})
		}
	}
	return streamorigin.Rank(id, out, avoid)
}

func originToWire(id string, o streamorigin.Origin) *wire.StreamOrigin {
	return &wire.StreamOrigin{Id: id, Service: o.Service, Endpoint: o.Endpoint, Version: o.Version, Unconfirmed: o.Unconfirmed}
}

func originFromWire(w *wire.StreamOrigin) streamorigin.Origin {
	return streamorigin.Origin{Service: w.Service, Endpoint: w.Endpoint, Version: w.Version, Unconfirmed: w.Unconfirmed}
}

// recordOrigin records the origin of a stream here and tells it to its keepers.
func (g *Gateway) recordOrigin(id string, o streamorigin.Origin) {
	g.origins.record(id, o, g.clock())
	w := originToWire(id, o)
	keepers := g.keepers(id, g.cfg.Domain)
	n := min(streamorigin.Copies, len(keepers))
	for i, k := range keepers[:n] {
		// Each copy has other substitutes, so that no keeper gets two.
		var next []streamorigin.Keeper
		for j := n + i; j < len(keepers) && len(next) < maxSubstitutes; j += n {
			next = append(next, keepers[j])
		}
		g.tellKeeper(k, unsentOrigin{origin: w, next: next})
	}
}

func (g *Gateway) tellKeeper(k streamorigin.Keeper, o unsentOrigin) {
	if g.origins.add(k.Address, o) {
		go g.tellKeeperAll(k)
	}
}

// tellKeeperAll tells the keeper all that has been collected for it, or others if it does
// not respond; where none is left, the keeper once more.
func (g *Gateway) tellKeeperAll(k streamorigin.Keeper) {
	time.Sleep(originLinger)
	all := g.origins.take(k.Address)
	req := &wire.RecordStreamsRequest{}
	for _, o := range all {
		req.Streams = append(req.Streams, o.origin)
	}
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	_, err := g.peers.client(k.Address).RecordStreams(ctx, connect.NewRequest(req))
	if err == nil {
		originsTold.count("told", len(all))
		return
	}
	originsTold.count("failed", len(all))
	g.log.WithError(err).WithFields(logrus.Fields{"keeper": k.ID, "streams": len(all)}).Info("telling the origins of streams failed")
	for _, o := range all {
		switch {
		case len(o.next) > 0:
			g.tellKeeper(o.next[0], unsentOrigin{origin: o.origin, next: o.next[1:]})
		case !o.repeated:
			g.tellKeeper(k, unsentOrigin{origin: o.origin, repeated: true})
		}
	}
}

// findOrigin returns the origin of a stream, or nil if neither this gateway nor a keeper
// knows it, and how it was looked for.
func (g *Gateway) findOrigin(ctx context.Context, id string) (*streamorigin.Origin, originSearch) {
	if id == "" {
		return nil, originSearch{}
	}
	if o, ok := g.origins.find(id, g.clock()); ok {
		return &o, originSearch{source: originOwn}
	}
	started := g.clock()
	o, s := g.askKeepers(ctx, id)
	s.took = g.clock() - started
	return o, s
}

// askKeepers returns the origin of a stream as the first keeper that knows it says, or nil,
// and how many were asked and answered.
func (g *Gateway) askKeepers(ctx context.Context, id string) (*streamorigin.Origin, originSearch) {
	keepers := g.keepers(id, "")
	keepers = keepers[:min(len(keepers), streamorigin.MaxAsked)]
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	s := originSearch{asked: len(keepers)}
	found := make(chan keeperAnswer, len(keepers))
	for _, k := range keepers {
		go func() { found <- g.askKeeper(ctx, k, id) }()
	}
	for range keepers {
		a := <-found
		if a.err == nil {
			s.answered++
		}
		if a.origin != nil {
			o := originFromWire(a.origin)
			s.source = originKeeper
			return &o, s
		}
	}
	return nil, s
}

// keeperAnswer is what a keeper knows of a stream: nothing if origin is nil.
type keeperAnswer struct {
	origin *wire.StreamOrigin
	err    error
}

// askKeeper asks the keeper for the origin of the stream. If the call fails, or has no response
// after originRetryDelay, it asks once more over a new connection.
func (g *Gateway) askKeeper(ctx context.Context, k streamorigin.Keeper, id string) keeperAnswer {
	answers := make(chan keeperAnswer, 2)
	ask := func(c wireconnect.PeerServiceClient) { answers <- findStream(ctx, c, id) }
	go ask(g.peers.client(k.Address))
	retryAt := time.NewTimer(originRetryDelay)
	defer retryAt.Stop()
	var last keeperAnswer
	for calls, ended := 1, 0; ended < calls; {
		select {
		case last = <-answers:
			ended++
		case <-retryAt.C:
		}
		switch {
		case ended > 0 && last.err == nil:
			return last
		case ctx.Err() != nil:
			return keeperAnswer{err: ctx.Err()}
		}
		if calls == 1 {
			calls++
			go ask(g.peers.freshClient(k.Address))
		}
	}
	g.log.WithError(last.err).WithFields(logrus.Fields{"keeper": k.ID, "stream": id}).Info("asking for the origin of a stream failed")
	return last
}

func findStream(ctx context.Context, c wireconnect.PeerServiceClient, id string) keeperAnswer {
	resp, err := c.FindStream(ctx, connect.NewRequest(&wire.FindStreamRequest{Id: id}))
	if err != nil {
		return keeperAnswer{err: err}
	}
	return keeperAnswer{origin: resp.Msg.Stream}
}

// peerService serves the other gateways.
type peerService struct{ g *Gateway }

// RecordStreams records the origins of streams that another gateway began.
func (p *peerService) RecordStreams(_ context.Context, req *connect.Request[wire.RecordStreamsRequest]) (*connect.Response[wire.RecordStreamsResponse], error) {
	for _, s := range req.Msg.Streams {
		p.g.origins.record(s.Id, originFromWire(s), p.g.clock())
	}
	return connect.NewResponse(&wire.RecordStreamsResponse{}), nil
}

// FindStream returns the origin of a stream.
func (p *peerService) FindStream(_ context.Context, req *connect.Request[wire.FindStreamRequest]) (*connect.Response[wire.FindStreamResponse], error) {
	resp := &wire.FindStreamResponse{}
	if o, ok := p.g.origins.find(req.Msg.Id, p.g.clock()); ok {
		resp.Stream = originToWire(req.Msg.Id, o)
	}
	return connect.NewResponse(resp), nil
}
