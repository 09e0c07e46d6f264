package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/quota"
	"parsleyramp/internal/streamorigin"
)

const (
	// startupWait is how long a request waits at a gateway that has just started
	// and has no fleet document or view yet. It is at most startupWaitRatio of the
	// client's time-out.
	startupWait      = 1200 * time.Millisecond
	startupWaitRatio = 0.25
	// startupRetryAfter plus a random part of startupRetryJitter is the
	// Retry-After of a request for which neither arrived in that time.
	startupRetryAfter  = 500 * time.Millisecond
	startupRetryJitter = 500 * time.Millisecond
)

// maxNameBytes bounds the names of the model and adapter of a request, which tables of gateways and of control keep.
const maxNameBytes = 512

// errNameTooLong rejects a request for a model or adapter whose name exceeds maxNameBytes.
var errNameTooLong = fail.New(fail.NoReplica, "no engine holds a model or adapter with so long a name")

// request is the state of one client request.
type request struct {
	g           *Gateway
	w           http.ResponseWriter
	httpRequest *http.Request
	body        []byte
	info        RequestInfo
	state       *requestState
	route       *document.Route
	// What the document says of the request's key; its workspace is nil for none.
	admission
	requirements fleet.Requirements
	// origin is where the stream began; nil until it is known.
	origin *streamorigin.Origin
	// search is how it was looked for, and distrust why the stream may not go on.
	search   originSearch
	distrust distrust
	// hop is set if another gateway relays the request here.
	hop *hop
	// endpoint is that of the current send, and endpointVersion the version of its software
	// when the request was sent.
	endpoint        *fleet.Endpoint
	endpointVersion string
	// versionSure is whether the leader had confirmed that version recently.
	versionSure bool
	// maxReservation is the longest time for which the service's engines reserve a
	// slot; zero if they reserve none. reservation is the id of the slot reserved
	// for the next send.
	maxReservation time.Duration
	reservation    string
	// arrived is when the request arrived, and deadline when it times out.
	arrived  time.Duration
	deadline time.Duration
	ctx      context.Context
	// selectionTime is the time spent on selecting endpoints, firstByte the time
	// to the first byte of a stream and longestPause the longest pause within it.
	selectionTime time.Duration
	firstByte     time.Duration
	longestPause  time.Duration
	// retryWithdrawn is set while a retry is withdrawn from the budget and not sent yet.
	retryWithdrawn bool
	// slotWaiter is the request in the queue for slots; nil if it does not wait.
	slotWaiter *slotWaiter
	// permit is that for the next send, if it needs one, and unusedPermit one of a suspect
	// that was not used and has not been returned.
	permit, unusedPermit *permit
	// tokens are what the request was charged, and mayHaveRun is set once an endpoint may have
	// run it.
	tokens     quota.Receipt
	mayHaveRun bool
	// framing is how the last response of an endpoint was framed; empty for none.
	framing string
	// knownFingerprints is nil until the fingerprints have been computed.
	knownFingerprints []uint64
}

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, nil) }

// serve serves one request of a client, or of a gateway that relays one here by hop.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, hop *hop) {
	arrived := g.clock()
	info, err := g.deps.Protocol.ParseRequest(r)
	if hop != nil {
		info.Timeout = max(hop.timeLeft, time.Millisecond)
	}
	requestCtx, cancelRequest := context.WithCancelCause(r.Context())
	defer cancelRequest(nil)
	state := g.inFlight.begin(info.ID, arrived, cancelRequest)
	defer g.inFlight.end(state)
	if err != nil {
		g.reject(w, r, info, err)
		return
	}
	table, ok := g.awaitDocument(requestCtx, info.Timeout)
	if !ok {
		after := startupRetryAfter + time.Duration(g.randFloat()*float64(startupRetryJitter))
		g.reject(w, r, info, fail.New(fail.Unavailable, "the gateway has no fleet document or view yet").WithRetryAfter(after))
		return
	}
	route := table.Find(r.Host, r.URL.Path)
	if route == nil {
		g.reject(w, r, info, fail.New(fail.UnknownPath, "no route matches the host and path"))
		return
	}
	q := &request{g: g, w: w, httpRequest: r, info: info, state: state, route: route, arrived: arrived, hop: hop}
	if q.admission, err = admit(table, route, info.Key, hop); err != nil {
		g.reject(w, r, info, err)
		return
	}
	if err := q.readmit(); err != nil {
		q.reject(err)
		return
	}
	q.deadline = arrived + route.Timeout
	if info.Timeout > 0 {
		q.deadline = min(q.deadline, arrived+info.Timeout)
	}
	if err := q.readBodyInTime(requestCtx, table.Document.Limits.BodyBytes); err != nil {
		q.reject(err)
		return
	}
	readAt := g.clock()
	state.readAt.Store(int64(readAt))
	if d := g.drain.Load(); !d.admits(readAt) || d != nil && hop != nil {
		q.reject(errShutdown)
		return
	}
	service := q.service()
	q.info = info.boundTokens(table.Document.Service(service))
	q.requirements = g.requirementsOf(table.Document, route, q.info, service)
	if len(q.requirements.Model)+len(q.requirements.Adapter) > maxNameBytes {
		q.reject(errNameTooLong)
		return
	}
	if q.suspected() {
		q.requirements.Session = q.suspectSession()
	}
	if s := table.Document.Service(q.requirements.Service); s != nil && s.Engine != nil {
		q.maxReservation = s.Engine.MaxReservation
	}
	if hop == nil {
		g.retries.RecordRequest(q.requirements.Service, arrived)
	}
	ctx, cancel := context.WithTimeout(requestCtx, q.deadline-g.clock())
	defer cancel()
	q.ctx = ctx
	if err := q.findOriginOrHop(); err != nil {
		q.reject(err)
		return
	}
	if err := q.chargeQuota(); err != nil {
		q.reject(err)
		return
	}
	defer q.returnQuota()
	q.run()
}

// awaitDocument returns the current routes once the gateway has a fleet document
// and a view. When the whole system starts, requests arrive before the control
// plane has a leader, so it waits up to startupWait.
func (g *Gateway) awaitDocument(ctx context.Context, timeout time.Duration) (*document.Table, bool) {
	limit := startupWait
	if timeout > 0 {
		limit = min(limit, time.Duration(float64(timeout)*startupWaitRatio))
	}
	waitUntil := g.clock() + limit
	for {
		changed := g.changed.wait()
		if table := g.table.Load(); table != nil && g.view.Load() != nil {
			return table, true
		}
		if !waitForChange(ctx, changed, waitUntil-g.clock()) {
			return nil, false
		}
	}
}

// service returns the service that the request goes to.
func (q *request) service() string {
	if q.hop != nil {
		return q.hop.service
	}
	return q.route.Pick(q.g.randFloat())
}

// clientAddress returns the address of the client.
func (q *request) clientAddress() string {
	if q.hop != nil {
		return q.hop.client
	}
	return q.httpRequest.RemoteAddr
}

// requirementsOf returns what the request requires of an endpoint of the service.
func (g *Gateway) requirementsOf(d *document.Document, route *document.Route, info RequestInfo, service string) fleet.Requirements {
	n := fleet.Requirements{
		Service: service, Model: info.Model, Adapter: info.Adapter,
		Tokens: info.PromptTokens + info.expectedOutput(), Domain: g.cfg.Domain,
	}
	if route.Sticky && info.Session != "" {
		n.Session = info.Model + "/" + info.Adapter + "/" + info.Session
	}
	s := d.Service(n.Service)
	if s == nil || s.Engine == nil {
		n.Model, n.Adapter, n.Session = "", "", ""
		n.Target = route.TargetLatency
		return n
	}
	n.CacheTokens, n.PromptTokens = s.Engine.CacheTokens, info.PromptTokens
	if route.Kind == document.Stream {
		n.FirstEventTarget = route.TargetLatency
	}
	return n
}

// maxStatedTokens bounds the tokens that a client states, where the engine's memory is not
// declared.
const maxStatedTokens = 1 << 20

// boundTokens returns the information with no more tokens than an engine of the service
// holds: engines reject larger requests, and a false statement would make them look full.
func (r RequestInfo) boundTokens(s *document.Service) RequestInfo {
	limit := maxStatedTokens
	if s != nil && s.Engine != nil && s.Engine.CacheTokens > 0 {
		limit = s.Engine.CacheTokens
	}
	bound := func(n int) int { return min(max(n, 0), limit) }
	r.PromptTokens, r.MaxOutputTokens, r.ExpectedOutputTokens = bound(r.PromptTokens), bound(r.MaxOutputTokens), bound(r.ExpectedOutputTokens)
	return r
}

// expectedOutput returns the expected number of output tokens: the client's
// estimate, or else the maximum.
func (r RequestInfo) expectedOutput() int {
	if r.ExpectedOutputTokens > 0 {
		return min(r.ExpectedOutputTokens, max(r.MaxOutputTokens, r.ExpectedOutputTokens))
	}
	return r.MaxOutputTokens
}

// reject responds to a request of a workspace, or on a route that needs no key, that has not
// run.
func (q *request) reject(err error) {
	q.countByWorkspace("refused")
	q.countTakeUp(err)
	q.g.rejectWith(q.w, q.httpRequest, q.info, err, q.takeUpFields())
}

// reject responds to a request that has not run with the status of the error.
func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, info RequestInfo, err error) {
	g.rejectWith(w, r, info, err, info.takeUpFields())
}

// rejectWith is reject with further fields in the line of the log.
func (g *Gateway) rejectWith(w http.ResponseWriter, r *http.Request, info RequestInfo, err error, more logrus.Fields) {
	f := fail.From(err)
	// A shutdown ends the read of a body, which net/http may take for a disconnect.
	if r.Context().Err() != nil && f.Code != fail.Draining {
		f = fail.New(fail.Canceled, "the client has disconnected")
	}
	status := f.Code.HTTPStatus()
	rejections.count(f.Code)
	describeFailure(w, r, f.WithRan(fail.RanNo))
	fields := logrus.Fields{
		"request": info.ID, "host": r.Host, "path": r.URL.Path, "outcome": "refused", "code": f.Code, "reason": f.Message,
		"status": status, "retry_after": f.RetryAfter,
	}
	if f.Code == fail.Unauthenticated && !info.Key.Empty() {
		fields["key"] = info.Key.Fingerprint()
	}
	g.log.WithFields(fields).WithFields(more).Info("request rejected")
	setChallenge(w.Header(), f.Code)
	if f.RetryAfter > 0 {
		g.deps.Protocol.SetRetryAfter(w.Header(), f.RetryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = io.WriteString(w, f.Message+"\n")
}
