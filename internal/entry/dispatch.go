package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/retry"
	"parsleyramp/internal/routing"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

// job is one client request to be run on an endpoint.
type job struct {
	id string
	// template holds the fields that do not depend on the attempt and its target.
	template *wire.ForwardRequest
	// targets returns the endpoints that serve the request according to a catalog.
	targets func(*catalog) []target
	// body returns the body to send to a target.
	body func(target) []byte
	// resume returns the body that requests the response without its first tokens.
	// It is nil if the response cannot be resumed.
	resume func(t target, tokens int) []byte
	// stream is set if the response is forwarded to the client as it arrives.
	stream bool
	// prefixDigest is the digest of the beginning of the prompt; zero for none.
	prefixDigest uint64
	// finishBy is the time by which a deferred request must finish; zero for others.
	finishBy time.Time
}

// forwarder sends an attempt to the owner of its endpoint at another entry.
type forwarder interface {
	forward(ctx context.Context, address string, r *wire.ForwardRequest, out eventSink) error
}

// dispatcher selects endpoints and sends attempts to their owners.
type dispatcher struct {
	session     *session
	owner       *owner
	peers       forwarder
	reporter    crashReporter
	maxAttempts int
	// allowRedirects is set if owners may redirect requests that would wait. The
	// baseline routing policies do not support that.
	allowRedirects bool

	mu     sync.Mutex
	table  *routing.Table
	budget *retry.Budget
	// tableRevision is the revision of the view for which removed endpoints and
	// entries were last dropped from table.
	tableRevision uint64
}

func newDispatcher(s *session, o *owner, p forwarder, r crashReporter, seed uint64) *dispatcher {
	return &dispatcher{
		session: s, owner: o, peers: p, reporter: r, maxAttempts: s.cfg.MaxAttempts,
		allowRedirects: routing.Policy(s.cfg.RoutingPolicy) == routing.Owner,
		table:          routing.NewTable(routing.Policy(s.cfg.RoutingPolicy), seed), budget: retry.NewBudget(),
	}
}

const (
	// deadlineMargin is how much earlier an owner abandons an attempt than the
	// entry that sent it, so that the owner's exact outcome arrives in time.
	deadlineMargin = 50 * time.Millisecond
	// defaultRetryAfter is returned to clients if no better estimate is known.
	defaultRetryAfter = time.Second
	// clearTimeout bounds the removal of a request from the suspects.
	clearTimeout = 5 * time.Second
)

// run makes attempts at the job, one after another, until one returns a complete
// response. It makes no further attempt if that could repeat tokens that reached
// the client, or if a non-idempotent request may have run.
func (d *dispatcher) run(ctx context.Context, j *job, out eventSink) error {
	p := &progress{
		query:   routing.Query{Group: j.template.Model + j.template.Path, Prefix: j.prefixDigest},
		relay:   &relay{stream: j.stream, out: out},
		ran:     fail.RanNo,
		lastErr: fail.New(fail.NoReplica, "no endpoint currently serves the request").WithRetryAfter(defaultRetryAfter),
	}
	now := d.session.clock()
	p.arrivedAt = now
	p.awaitOwnerUntil = now + takeoverTimeout(j)
	p.awaitReplicaUntil = min(p.awaitOwnerUntil, now+viewLagHeartbeats*d.session.cfg.Heartbeat.D())
	d.countRequest(j)
	for p.failures < d.maxAttempts {
		err := d.tryOnce(ctx, j, p)
		if err == nil {
			d.clearSuspicion(j, p)
			return nil
		}
		if errors.Is(err, errNoEndpointLeft) {
			if !d.awaitOwner(ctx, p) {
				break
			}
			continue
		}
		p.recordOutcome(fail.From(err))
		if p.relay.complete {
			d.clearSuspicion(j, p)
			return nil
		}
		if !d.mayRetry(ctx, j, p) {
			break
		}
	}
	return d.finalError(ctx, p)
}

// errNoEndpointLeft means that no endpoint can be selected for the next attempt.
var errNoEndpointLeft = fail.New(fail.NoReplica, "no endpoint is left to try")

const (
	// maxTakeoverWait bounds how long a request waits for endpoints to get a new
	// owner, and takeoverPollInterval is the time between two checks.
	maxTakeoverWait      = 3 * time.Second
	takeoverPollInterval = 50 * time.Millisecond
	// viewLagHeartbeats is how many heartbeats a view may lag behind the control
	// plane: one just missed and one in flight.
	viewLagHeartbeats = 2
)

// takeoverTimeout returns how long the job may wait for a new owner.
func takeoverTimeout(j *job) time.Duration {
	target := time.Duration(j.template.FirstTokenDeadlineMs) * time.Millisecond
	if target == 0 {
		return maxTakeoverWait
	}
	return min(target, maxTakeoverWait)
}

// isViewMismatch reports whether the failure is a rejection that no longer occurs
// once all entries have the same view.
func isViewMismatch(f *fail.Error) bool {
	switch f.Code {
	case fail.NotOwner, fail.NoLease, fail.NoReplica, fail.Unavailable:
		return f.Ran == fail.RanNo
	}
	return false
}

// awaitOwner waits for one poll interval if endpoints are changing owners, or if
// this entry's view may not contain the first replica yet, and makes the endpoints
// eligible again. It returns false if the job must not wait any longer.
func (d *dispatcher) awaitOwner(ctx context.Context, p *progress) bool {
	now := d.session.clock()
	viewMayLag := p.attempts == 0 && now < p.awaitReplicaUntil
	if ctx.Err() != nil || now >= p.awaitOwnerUntil || (len(p.viewMismatches) == 0 && !viewMayLag) {
		return false
	}
	wait.For(ctx, takeoverPollInterval)
	p.makeEligible(&p.viewMismatches)
	return true
}

// tryOnce selects an endpoint and makes one attempt.
func (d *dispatcher) tryOnce(ctx context.Context, j *job, p *progress) error {
	if ending(ctx) {
		p.stop = true
		return errStopping
	}
	c, err := d.session.catalog()
	if err != nil {
		p.stop = true
		return err
	}
	switch quarantine.Decide(c.suspects[j.template.Fingerprint], p.crashes) {
	case quarantine.Reject:
		p.stop = true
		return quarantine.NewError()
	case quarantine.RunIsolated:
		p.isolated = true
	}
	if p.isolated {
		if err := d.awaitIsolation(ctx, j.template.Fingerprint); err != nil {
			return err
		}
	}
	p.query.Isolated = p.isolated
	t, ok := d.choose(j.targets(c), p, c)
	if !ok && len(p.interrupted) > 0 {
		// An endpoint whose response was truncated may still return the rest.
		p.makeEligible(&p.interrupted)
		t, ok = d.choose(j.targets(c), p, c)
	}
	if !ok && len(p.redirected) > 0 {
		p.makeEligible(&p.redirected)
		t, ok = d.choose(j.targets(c), p, c)
	}
	if !ok {
		return errNoEndpointLeft
	}
	p.allowRedirect = d.allowRedirects && p.mayRedirect(j.targets(c))
	err = d.sendAttempt(ctx, c, j, t, p, p.attempts)
	p.attempts++
	d.recordResult(t, err)
	p.recordTargetFailure(t, err)
	return err
}

// permanentCodes are failures that another attempt would return again.
var permanentCodes = map[fail.Code]bool{
	fail.BadRequest: true, fail.Quarantined: true, fail.Canceled: true, fail.DeadlinePassed: true,
	fail.BodyTooLarge: true,
}

// maxOverloadRetries bounds the attempts after rejections for overload. Under
// overload many requests are rejected at once, and their retries add load.
const maxOverloadRetries = 1

// firstTokenTimeLeft returns the time left until the first token is due. For a
// job without a first-token target it is always positive.
func (d *dispatcher) firstTokenTimeLeft(j *job, p *progress) time.Duration {
	if j.template.FirstTokenDeadlineMs == 0 {
		return time.Second
	}
	return p.arrivedAt + time.Duration(j.template.FirstTokenDeadlineMs)*time.Millisecond - d.session.clock()
}

// mayRetry reports whether another attempt is allowed and useful.
func (d *dispatcher) mayRetry(ctx context.Context, j *job, p *progress) bool {
	f := p.lastErr
	switch {
	case ctx.Err() != nil:
		return false
	case p.stop || permanentCodes[f.Code]:
		return false
	case f.Ran != fail.RanNo && !j.template.Idempotent:
		return false
	case !p.relay.canContinue(j.resume != nil):
		return false
	case p.overloadRejections > maxOverloadRetries, p.overloadRejections > 0 && d.firstTokenTimeLeft(j, p) <= 0:
		return false
	case isViewMismatch(f):
		return d.session.clock() < p.awaitOwnerUntil
	case f.Code == fail.Redirected:
		return true
	}
	cost := retry.CostMayHaveRun
	if f.Ran == fail.RanNo {
		cost = retry.CostNotRun
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.TryWithdraw(d.session.clock(), j.template.Team, cost)
}

// finalError returns the error that is sent to the client.
func (d *dispatcher) finalError(ctx context.Context, p *progress) error {
	if p.crashes >= quarantine.MaxCrashes {
		return quarantine.NewError().WithRan(fail.RanUnknown)
	}
	f := p.lastErr
	if f.RetryAfter == 0 && !permanentCodes[f.Code] {
		f = f.WithRetryAfter(defaultRetryAfter)
	}
	return shutdownError(ctx, f.WithRan(worseRan(f.Ran, p.ran)))
}

// worseRan returns the outcome that guarantees less: b if a is RanNo, and a
// otherwise.
func worseRan(a, b fail.Ran) fail.Ran {
	if a == fail.RanNo {
		return b
	}
	return a
}

func (d *dispatcher) countRequest(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordRequest(d.session.clock(), j.template.Team)
}

func (d *dispatcher) choose(targets []target, p *progress, c *catalog) (target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tableRevision != c.view.Revision {
		d.tableRevision = c.view.Revision
		d.table.DropMissing(func(name string) bool { return c.endpoints[name] != nil || c.entries[name] != nil })
	}
	i := d.table.Choose(d.session.clock(), len(targets), func(i int) *routing.Replica { return &targets[i].replica }, p.query)
	if i < 0 {
		return target{}, false
	}
	d.table.AddInFlight(targets[i].vm.Id, 1)
	return targets[i], true
}

// recordResult ends an attempt, and records whether the endpoint and its owner
// are reachable.
func (d *dispatcher) recordResult(t target, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.AddInFlight(t.vm.Id, -1)
	now := d.session.clock()
	switch {
	case err == nil:
		d.table.RecordSuccess(t.vm.Id)
	case fail.Is(err, fail.EndpointFailed), fail.Is(err, fail.EndpointCrashed):
		d.table.RecordFailure(now, t.vm.Id)
	case fail.Is(err, fail.Unavailable):
		d.table.RecordFailure(now, t.vm.Owner)
	}
}

// newForwardRequest returns the request to the owner of the target.
func (d *dispatcher) newForwardRequest(ctx context.Context, j *job, t target, p *progress, attempt int) *wire.ForwardRequest {
	template := j.template
	r := &wire.ForwardRequest{
		RequestId: fmt.Sprintf("%s-%d", j.id, attempt), AnswerId: j.id, Endpoint: t.vm.Id, OwnerEpoch: t.vm.OwnerEpoch,
		Method: template.Method, Path: template.Path, ContentType: template.ContentType,
		Model: template.Model, Version: t.version, Adapter: template.Adapter, Team: template.Team,
		Priority: template.Priority, FirstTokenDeadlineMs: template.FirstTokenDeadlineMs, BetweenTokensMs: template.BetweenTokensMs,
		Idempotent: template.Idempotent, Fingerprint: template.Fingerprint, Isolated: p.isolated,
		RedirectIfQueued: p.allowRedirect,
	}
	if p.relay.tokens > 0 {
		r.Body = j.resume(t, p.relay.tokens)
	} else {
		r.Body = j.body(t)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.DeadlineMs = max(1, (time.Until(deadline) - deadlineMargin).Milliseconds())
	}
	if p.overloadRejections > 0 && r.FirstTokenDeadlineMs > 0 {
		// The time that passed until an owner rejected the request counts against its
		// first-token target. After a crash or a truncated response the full target
		// applies again, because a late response is better than none.
		r.FirstTokenDeadlineMs = max(1, d.firstTokenTimeLeft(j, p).Milliseconds())
	}
	if !j.finishBy.IsZero() {
		r.FinishInMs = max(1, time.Until(j.finishBy).Milliseconds())
	}
	return r
}

// sendAttempt sends the job to the owner of the target, which may be this entry.
func (d *dispatcher) sendAttempt(ctx context.Context, c *catalog, j *job, t target, p *progress, attempt int) error {
	ctx, span := telemetry.StartSpan(ctx, "attempt", attribute.String("endpoint", t.vm.Id), attribute.Int("attempt", attempt))
	defer span.End()
	if err := p.relay.begin(t); err != nil {
		return err
	}
	onEvent := func(e *wire.ForwardEvent) error {
		d.recordLoad(t.vm.Id, eventLoad(e))
		return p.relay.handle(e)
	}
	r := d.newForwardRequest(ctx, j, t, p, attempt)
	if t.vm.Owner == d.session.cfg.ID {
		return d.owner.run(ctx, r, onEvent)
	}
	peer := c.entries[t.vm.Owner]
	if peer == nil {
		return fail.New(fail.NotOwner, "the owner of the endpoint is unknown")
	}
	return d.peers.forward(ctx, peer.PeerAddress, r, onEvent)
}

func eventLoad(e *wire.ForwardEvent) *wire.EndpointLoad {
	switch b := e.Body.(type) {
	case *wire.ForwardEvent_Head:
		return b.Head.Load
	case *wire.ForwardEvent_End:
		return b.End.Load
	}
	return nil
}

func (d *dispatcher) recordLoad(endpointID string, l *wire.EndpointLoad) {
	if l == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.UpdateLoad(d.session.clock(), endpointID, routing.Load{InFlight: int(l.InFlight), Queued: int(l.Queued)})
}
