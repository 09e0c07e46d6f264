package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/attempt"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/streamorigin"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wire"
)

// Headers between a gateway that does not reach the endpoints of a service and the one that
// relays its requests.
const (
	relayHeaderPrefix = "Parsleyramp-"
	// Of the request: how much time is left, the service that the route's draw gave, the
	// client's address, and the last event that the client has.
	headerRelayTimeLeft  = relayHeaderPrefix + "Time-Left-Ms"
	headerRelayService   = relayHeaderPrefix + "Service"
	headerRelayClient    = relayHeaderPrefix + "Client"
	headerRelayLastEvent = relayHeaderPrefix + "Last-Event"
	// Of the request: its workspace, and the fingerprint of the key that it carried.
	headerRelayWorkspace = relayHeaderPrefix + "Workspace"
	headerRelayKey       = relayHeaderPrefix + "Key"
	// Of both: where the stream began.
	headerRelayEndpoint    = relayHeaderPrefix + "Endpoint"
	headerRelayVersion     = relayHeaderPrefix + "Version"
	headerRelayUnconfirmed = relayHeaderPrefix + "Unconfirmed"
	// Of a response that the relaying gateway itself gives: the failure, whether the request
	// has run, and when to come back.
	headerRelayCode       = relayHeaderPrefix + "Code"
	headerRelayRan        = relayHeaderPrefix + "Ran"
	headerRelayRetryAfter = relayHeaderPrefix + "Retry-After-Ms"
)

// relayHeaderBytes is more than what a relaying gateway adds to a head.
const relayHeaderBytes = 8 << 10

// limitHeads sets the largest size of the heads of clients' requests; zero for the default.
func (g *Gateway) limitHeads(bytes int) {
	g.clientServer.LimitHeads(bytes)
	if bytes > 0 && g.peerServer != nil {
		g.peerServer.LimitHeads(bytes + relayHeaderBytes)
	}
}

// outOfReachRetryAfter is the Retry-After of a request that no gateway could send.
const outOfReachRetryAfter = 400 * time.Millisecond

// relayBlockTime is how long a gateway that did not respond is not asked again.
const relayBlockTime = time.Second

// relayPeers holds the connections to gateways that relay requests, and those of them that
// did not respond lately. Its zero value is ready. It is safe for concurrent use.
type relayPeers struct {
	mu           sync.Mutex
	pool         *upstream.Pool
	blockedUntil map[string]time.Duration
}

func (r *relayPeers) connections() *upstream.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pool == nil {
		r.pool = upstream.NewPool()
	}
	return r.pool
}

// retain closes idle connections to gateways that are not in the view.
func (r *relayPeers) retain(v *fleet.View) {
	addresses := map[string]bool{}
	for _, g := range v.Gateways {
		addresses[g.PeerAddress] = true
	}
	r.connections().Retain(addresses)
}

func (r *relayPeers) block(id string, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blockedUntil == nil {
		r.blockedUntil = map[string]time.Duration{}
	}
	r.blockedUntil[id] = until
}

func (r *relayPeers) blocked(id string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now < r.blockedUntil[id]
}

// hop is what the gateway that relays a request is told by the one that took it.
type hop struct {
	timeLeft  time.Duration
	service   string
	client    string
	lastEvent string
	// workspace is that of the request, empty for none, and key the fingerprint of its key.
	workspace string
	key       string
	// origin is where the stream began that the request goes on with; nil for none.
	origin *streamorigin.Origin
}

// takeHop returns the hop that the headers of a relayed request describe, and removes them.
func takeHop(h http.Header) (*hop, error) {
	ms, err := strconv.ParseInt(h.Get(headerRelayTimeLeft), 10, 64)
	if err != nil || h.Get(headerRelayService) == "" {
		return nil, fail.New(fail.BadRequest, "a relayed request names neither its time nor its service")
	}
	out := &hop{
		timeLeft: time.Duration(ms) * time.Millisecond, service: h.Get(headerRelayService), client: h.Get(headerRelayClient), lastEvent: h.Get(headerRelayLastEvent),
		workspace: h.Get(headerRelayWorkspace), key: h.Get(headerRelayKey), origin: originOf(h, h.Get(headerRelayService)),
	}
	removeRelayHeaders(h)
	return out, nil
}

// originOf returns the origin that the headers name, or nil.
func originOf(h http.Header, service string) *streamorigin.Origin {
	if h.Get(headerRelayEndpoint) == "" {
		return nil
	}
	return &streamorigin.Origin{Service: service, Endpoint: h.Get(headerRelayEndpoint), Version: h.Get(headerRelayVersion), Unconfirmed: h.Get(headerRelayUnconfirmed) != ""}
}

func setOrigin(h http.Header, o *streamorigin.Origin) {
	if o != nil {
		h.Set(headerRelayEndpoint, o.Endpoint)
		h.Set(headerRelayVersion, o.Version)
		if o.Unconfirmed {
			h.Set(headerRelayUnconfirmed, "1")
		}
	}
}

func removeRelayHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, relayHeaderPrefix) {
			delete(h, name)
		}
	}
}

// isRelayed reports whether another gateway relays a request of a client with the headers.
func isRelayed(h http.Header) bool { return h.Get(headerRelayTimeLeft) != "" }

// serveRelayed serves a request that another gateway relays here.
func (g *Gateway) serveRelayed(w http.ResponseWriter, r *http.Request) {
	h, err := takeHop(r.Header)
	if err != nil {
		g.reject(w, r, RequestInfo{}, err)
		return
	}
	g.serve(w, r.WithContext(context.WithValue(r.Context(), hopKey{}, h)), h)
}

type hopKey struct{}

// describeFailure states, in the response to a gateway that relayed the request, what has
// become of it.
func describeFailure(w http.ResponseWriter, r *http.Request, f *fail.Error) {
	if r.Context().Value(hopKey{}) == nil {
		return
	}
	w.Header().Set(headerRelayCode, string(f.Code))
	w.Header().Set(headerRelayRan, string(f.Ran))
	w.Header().Set(headerRelayRetryAfter, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
}

// failureOf returns the failure that the relaying gateway gives as its own, or nil if the
// response is that of an endpoint.
func failureOf(h http.Header) *fail.Error {
	code := h.Get(headerRelayCode)
	if code == "" {
		return nil
	}
	// The time is zero if it is missing.
	ms, _ := strconv.ParseInt(h.Get(headerRelayRetryAfter), 10, 64)
	ran := cmp.Or(fail.Ran(h.Get(headerRelayRan)), fail.RanUnknown)
	return fail.New(fail.Code(code), "the gateway that relayed the request failed it").WithRan(ran).WithRetryAfter(time.Duration(ms) * time.Millisecond)
}

// selectPeer returns a gateway by way of which the request can be sent although this one
// does not reach the endpoints, or nil if there is none that was not tried.
func (q *request) selectPeer(tried map[string]bool) *wire.Gateway {
	g, now := q.g, q.g.clock()
	var candidates []*wire.Gateway
	for _, other := range g.knownGateways() {
		if other.Id != g.cfg.ID && other.Accepting && other.PeerAddress != "" && !tried[other.Id] &&
			!slices.Contains(other.OutOfReach, q.requirements.Service) && !g.relays.blocked(other.Id, now) {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[int(g.randFloat()*float64(len(candidates)))]
}

// outOfReach reports whether this gateway reaches none of the endpoints that the request may
// be sent to.
func (q *request) outOfReach() bool {
	return q.g.loads.AllOutOfReach(q.g.view.Load(), q.requirements, q.g.clock())
}

// sendByPeer sends the request by way of another gateway and forwards the response.
func (q *request) sendByPeer(peer *wire.Gateway, out *relay) sendResult {
	g := q.g
	now := g.clock()
	q.state.setSent("gateway "+peer.Id, now)
	out.beginRelayedSend(now)
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	out.beginHold(ctx, cancel)
	defer out.endHold()
	resp, err := g.relays.connections().Do(ctx, peer.PeerAddress, q.relayedRequest(out), func(http.Header) bool { return true })
	if err != nil {
		s := out.failedSend(err)
		if !q.revokedUnsent(&s) && !errors.Is(err, upstream.ErrMayNotWrite) {
			g.relays.block(peer.Id, g.clock()+relayBlockTime)
		}
		return s
	}
	defer resp.Close()
	failure := failureOf(resp.Header)
	if failure == nil {
		if o := originOf(resp.Header, q.requirements.Service); o != nil && q.origin == nil {
			q.origin = o
		}
		removeRelayHeaders(resp.Header)
		return out.forward(resp, g.deps.Protocol.ParseResponse(resp.Status, resp.Header))
	}
	s := out.drainRejection(resp, ResponseInfo{})
	s.err = failure
	switch {
	case failure.Ran != fail.RanNo:
		return out.unusable(failure)
	case failure.Code == fail.UnknownPath:
		// It has another document than this gateway, whose route led here.
		s.outcome, s.err = attempt.Unsent, errOutOfReach
	case failure.Code == fail.OutOfReach || failure.Code == fail.Draining:
		s.outcome = attempt.Unsent
	default:
		s.refused = true
	}
	return s
}

// relayedRequest returns the request to the gateway that relays it.
func (q *request) relayedRequest(out *relay) *upstream.Request {
	header := q.httpRequest.Header.Clone()
	upstream.RemoveHopByHopHeaders(header)
	removeRelayHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	header.Set(headerRelayTimeLeft, strconv.FormatInt(max(q.timeLeft().Milliseconds(), 1), 10))
	header.Set(headerRelayService, q.requirements.Service)
	header.Set(headerRelayClient, q.clientAddress())
	if out.lastEventID != "" {
		header.Set(headerRelayLastEvent, out.lastEventID)
	}
	if q.admission.withKeys {
		q.g.deps.Protocol.RemoveKey(header)
	}
	if q.admission.workspace != nil {
		header.Set(headerRelayWorkspace, q.admission.workspace.Name)
		header.Set(headerRelayKey, q.info.Key.Fingerprint())
	}
	setOrigin(header, q.origin)
	return &upstream.Request{
		Method: q.httpRequest.Method, Target: q.httpRequest.RequestURI, Host: q.httpRequest.Host, Header: header, Body: q.body, MayWrite: q.mayWrite(nil),
		HoldHead: out.held.holdHead,
	}
}

// runByPeer sends the request by way of another gateway, and records the result of that.
func (q *request) runByPeer(out *relay, tried map[string]bool) (sendResult, error) {
	if err := q.readmit(); err != nil {
		return sendResult{}, err
	}
	if !q.finishesInTime(q.g.clock()) {
		return sendResult{}, errShutdown
	}
	peer := q.selectPeer(tried)
	if peer == nil {
		return sendResult{}, errOutOfReach
	}
	tried[peer.Id] = true
	q.recordRetrySent()
	s := q.sendByPeer(peer, out)
	outcome := s.outcome.String()
	switch {
	case s.complete:
		outcome = "done"
	case s.refused:
		outcome = "refused"
	}
	relayedSends.count(outcome)
	if !s.complete {
		q.g.log.WithError(s.err).WithFields(logrus.Fields{"request": q.info.ID, "relay": peer.Id, "outcome": outcome}).Info("request failed by way of another gateway")
	}
	return s, nil
}
