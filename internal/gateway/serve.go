package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
)

const (
	// defaultBodyBytes bounds a body where the document sets no bound.
	defaultBodyBytes = 4 << 20
	// startingWait is how long a request waits at a gateway that has just
	// started and holds no document yet; it is at most startingShare of the time
	// that the caller has.
	startupWait      = 1200 * time.Millisecond
	startupWaitRatio = 0.25
	// startingRetry and its spread say when to come back after that.
	startupRetryAfter  = 500 * time.Millisecond
	startupRetryJitter = 500 * time.Millisecond
)

// request is one caller's request on its way.
type request struct {
	g           *Gateway
	w           http.ResponseWriter
	httpRequest *http.Request
	body        []byte
	info        RequestInfo
	route       *document.Route
	need        fleet.Need
	// keepPlace is how long the service's engines keep a place at most; zero where
	// they keep none. reservation is the place taken for the next send.
	maxReservation time.Duration
	reservation    string
	// arrived is when the request was read, and end when its time is over.
	arrived  time.Duration
	deadline time.Duration
	ctx      context.Context
	// placed is the time spent on finding endpoints, firstByte the time to the
	// first byte of a stream and longestPause the longest pause within it.
	selectionTime time.Duration
	firstByte     time.Duration
	longestPause  time.Duration
}

// ServeHTTP takes one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := g.clock()
	facts, err := g.deps.Protocol.ParseRequest(r)
	if err != nil {
		g.reject(w, r, facts, err)
		return
	}
	table, ok := g.awaitDocument(r.Context(), facts.Timeout)
	if !ok {
		after := startupRetryAfter + time.Duration(g.randFloat()*float64(startupRetryJitter))
		g.reject(w, r, facts, fail.New(fail.Unavailable, "no document is in force yet").WithRetryAfter(after))
		return
	}
	route := table.Find(r.Host, r.URL.Path)
	if route == nil {
		g.reject(w, r, facts, fail.New(fail.UnknownPath, "no route leads there"))
		return
	}
	body, err := readBody(w, r, table.Document.Limits.BodyBytes)
	if err != nil {
		g.reject(w, r, facts, err)
		return
	}
	q := &request{g: g, w: w, httpRequest: r, body: body, info: facts, route: route, arrived: arrived}
	q.deadline = arrived + route.Timeout
	if facts.Timeout > 0 {
		q.deadline = min(q.deadline, arrived+facts.Timeout)
	}
	q.need = g.needOf(table.Document, route, facts)
	if s := table.Document.Service(q.need.Service); s != nil && s.Engine != nil {
		q.maxReservation = s.Engine.MaxReservation
	}
	g.retries.Request(q.need.Service, arrived)
	ctx, cancel := context.WithTimeout(r.Context(), q.deadline-g.clock())
	defer cancel()
	q.ctx = ctx
	q.run()
}

// awaitDocument returns the routes in force. After a start of the whole system
// callers arrive before control has a leader, so it waits a little.
func (g *Gateway) awaitDocument(ctx context.Context, deadline time.Duration) (*document.Table, bool) {
	limit := startupWait
	if deadline > 0 {
		limit = min(limit, time.Duration(float64(deadline)*startupWaitRatio))
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

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fail.Wrap(err, fail.BodyTooLarge, "the body is larger than allowed")
	case err != nil:
		return nil, fail.Wrap(err, fail.BadRequest, "the body cannot be read")
	}
	return body, nil
}

// needOf returns what the request asks of an endpoint.
func (g *Gateway) needOf(d *document.Document, route *document.Route, f RequestInfo) fleet.Need {
	n := fleet.Need{
		Service: route.Pick(g.randFloat()), Model: f.Model, Adapter: f.Adapter,
		Tokens: f.PromptTokens + f.expectedOutput(), Domain: g.cfg.Domain,
	}
	if route.Sticky && f.Session != "" {
		n.Session = f.Model + "/" + f.Adapter + "/" + f.Session
	}
	s := d.Service(n.Service)
	if s == nil || s.Engine == nil {
		n.Model, n.Adapter, n.Session = "", "", ""
		return n
	}
	n.CacheTokens = s.Engine.CacheTokens
	return n
}

// expectedAnswer returns the tokens that the answer is expected to have.
func (f RequestInfo) expectedOutput() int {
	if f.ExpectedOutputTokens > 0 {
		return min(f.ExpectedOutputTokens, max(f.MaxOutputTokens, f.ExpectedOutputTokens))
	}
	return f.MaxOutputTokens
}

// refuse answers a request that has not run with the failure's status.
func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, facts RequestInfo, err error) {
	f := fail.From(err)
	if r.Context().Err() != nil {
		f = fail.New(fail.Canceled, "the caller has left")
	}
	status := f.Code.HTTPStatus()
	rejections.count(f.Code)
	g.log.WithFields(logrus.Fields{
		"request": facts.ID, "host": r.Host, "path": r.URL.Path, "outcome": "refused", "code": f.Code, "reason": f.Message,
		"status": status, "retry_after": f.RetryAfter,
	}).Info("request refused")
	if f.RetryAfter > 0 {
		g.deps.Protocol.SetRetryAfter(w.Header(), f.RetryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = io.WriteString(w, f.Message+"\n")
}
