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

// job is one caller's request on its way to an endpoint.
type job struct {
	id string
	// template holds everything but endpoint, owner epoch and version.
	template *wire.ForwardRequest
	// targets returns the endpoints that serve the request by a view.
	targets func(*catalog) []target
	// body returns the body to send to a target.
	body func(target) []byte
	// resume returns the body that asks for the answer without its first
	// tokens; nil where answers cannot be resumed.
	resume func(t target, tokens int) []byte
	// stream is true where the caller gets the answer as it comes.
	stream bool
	// prefix is the digest of the prompt's beginning; zero for none.
	prefixDigest uint64
	// finishBy is set for overnight work.
	finishBy time.Time
}

// forwarder sends an attempt to its owner at another entry.
type forwarder interface {
	forward(ctx context.Context, address string, r *wire.ForwardRequest, out eventSink) error
}

// dispatcher chooses endpoints and sends attempts to their owners.
type dispatcher struct {
	session     *session
	owner       *owner
	peers       forwarder
	reporter    crashReporter
	maxAttempts int
	// redirects is true where owners may pass requests on, which the
	// baselines of routing do not know.
	allowRedirects bool

	mu     sync.Mutex
	table  *routing.Table
	budget *retry.Budget
	// seen is the view that the table was last cleaned for.
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
	// deadlineMargin is how much earlier an owner gives up than the entry that
	// asked it, so that the owner's exact outcome arrives.
	deadlineMargin = 50 * time.Millisecond
	// defaultRetryAfter is told to callers where nothing better is known.
	defaultRetryAfter = time.Second
	// clearTimeout bounds the clearing of a suspicion.
	clearTimeout = 5 * time.Second
)

// run sends the job to one endpoint after another until one answers. There is
// no other attempt once it could repeat what reached the caller, or where the
// request may have run and must not run twice.
func (d *dispatcher) run(ctx context.Context, j *job, out eventSink) error {
	p := &progress{
		query:   routing.Query{Group: j.template.Model + j.template.Path, Prefix: j.prefixDigest},
		relay:   &relay{stream: j.stream, out: out},
		ran:     fail.RanNo,
		lastErr: fail.New(fail.NoReplica, "no endpoint serves the request now").WithRetryAfter(defaultRetryAfter),
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
	return d.finalError(p)
}

// errNoMore ends a job for which no endpoint is left.
var errNoEndpointLeft = fail.New(fail.NoReplica, "no endpoint is left")

const (
	// maxTakeoverWait is how long a request waits for endpoints to get a new
	// owner, and takeoverPoll how often it looks.
	maxTakeoverWait      = 3 * time.Second
	takeoverPollInterval = 50 * time.Millisecond
	// viewLag is how many heartbeats a view may lag behind control: one that
	// has just passed and one that is on its way.
	viewLagHeartbeats = 2
)

// takeoverPatience is how long the job may wait for a new owner.
func takeoverTimeout(j *job) time.Duration {
	target := time.Duration(j.template.FirstTokenDeadlineMs) * time.Millisecond
	if target == 0 {
		return maxTakeoverWait
	}
	return min(target, maxTakeoverWait)
}

// moving reports a refusal that ends once every entry has the same view again.
func isViewMismatch(f *fail.Error) bool {
	switch f.Code {
	case fail.NotOwner, fail.NoLease, fail.NoReplica, fail.Unavailable:
		return f.Ran == fail.RanNo
	}
	return false
}

// awaitOwner waits a little where endpoints are changing hands, or where this
// entry's view may not show the first one yet, and lets the job ask them again.
func (d *dispatcher) awaitOwner(ctx context.Context, p *progress) bool {
	now := d.session.clock()
	unknown := p.attempts == 0 && now < p.awaitReplicaUntil
	if ctx.Err() != nil || now >= p.awaitOwnerUntil || (len(p.viewMismatches) == 0 && !unknown) {
		return false
	}
	wait.For(ctx, takeoverPollInterval)
	p.makeEligible(&p.viewMismatches)
	return true
}

// once makes one attempt.
func (d *dispatcher) tryOnce(ctx context.Context, j *job, p *progress) error {
	c, err := d.session.catalog()
	if err != nil {
		p.stop = true
		return err
	}
	switch quarantine.Treat(c.suspects[j.template.Fingerprint], p.crashes) {
	case quarantine.Refused:
		p.stop = true
		return quarantinedError()
	case quarantine.Alone:
		p.isolated = true
	}
	if p.isolated {
		if err := d.awaitIsolation(ctx, j.template.Fingerprint); err != nil {
			return err
		}
	}
	p.query.Alone = p.isolated
	t, ok := d.choose(j.targets(c), p, c)
	if !ok && len(p.interrupted) > 0 {
		// An endpoint whose answer broke may still give the rest.
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

// finalCodes are failures that another attempt would give again.
var permanentCodes = map[fail.Code]bool{
	fail.BadRequest: true, fail.Quarantined: true, fail.Canceled: true, fail.DeadlinePassed: true,
	fail.BodyTooLarge: true,
}

// maxOverloadRetries bounds the attempts after refusals for overload, which
// are many at once when they come.
const maxOverloadRetries = 1

// targetLeft returns what is left of the time to the first token; work without
// a target has always some.
func (d *dispatcher) firstTokenTimeLeft(j *job, p *progress) time.Duration {
	if j.template.FirstTokenDeadlineMs == 0 {
		return time.Second
	}
	return p.arrivedAt + time.Duration(j.template.FirstTokenDeadlineMs)*time.Millisecond - d.session.clock()
}

// mayRetry reports whether another attempt may and should be made.
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
	cost := retry.CostRan
	if f.Ran == fail.RanNo {
		cost = retry.CostRefused
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Take(d.session.clock(), j.template.Team, cost)
}

// suspectPoll is the time between two questions whether a suspect may run.
const suspectPollInterval = 50 * time.Millisecond

// mayRunAlone waits until every entry treats the request as a suspect. From
// then on each of them asks here first, so that a request that is convicted by
// its second crash is refused wherever it comes again at once.
func (d *dispatcher) awaitIsolation(ctx context.Context, fingerprint uint64) error {
	for {
		r, err := d.reporter.CheckSuspect(ctx, fingerprint)
		switch {
		case err != nil:
			return fail.Wrap(err, fail.Unavailable, "control cannot say whether the request may run again").WithRetryAfter(defaultRetryAfter)
		case r.State == wire.SuspectState_SUSPECT_STATE_CONVICTED:
			return quarantinedError()
		case r.KnownEverywhere:
			return nil
		case ctx.Err() != nil:
			return fail.Wrap(ctx.Err(), fail.DeadlinePassed, "the request waited too long")
		}
		wait.For(ctx, suspectPollInterval)
	}
}

// final returns the failure that the caller is told.
func (d *dispatcher) finalError(p *progress) error {
	if p.crashes >= quarantine.MaxCrashes {
		return quarantinedError().WithRan(fail.RanUnknown)
	}
	f := p.lastErr
	if f.RetryAfter == 0 && !permanentCodes[f.Code] {
		f = f.WithRetryAfter(defaultRetryAfter)
	}
	return f.WithRan(worseRan(f.Ran, p.ran))
}

// worst returns the outcome that promises less.
func worseRan(a, b fail.Ran) fail.Ran {
	if a == fail.RanNo {
		return b
	}
	return a
}

func (d *dispatcher) countRequest(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Request(d.session.clock(), j.template.Team)
}

// completed ends the suspicion of a request that got its whole answer.
func (d *dispatcher) clearSuspicion(j *job, p *progress) {
	if !p.isolated && p.crashes == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), clearTimeout)
		defer cancel()
		_ = d.reporter.ClearSuspect(ctx, j.template.Fingerprint)
	}()
}

func (d *dispatcher) choose(targets []target, p *progress, c *catalog) (target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tableRevision != c.view.Revision {
		d.tableRevision = c.view.Revision
		d.table.Forget(func(name string) bool { return c.endpoints[name] != nil || c.entries[name] != nil })
	}
	i := d.table.Choose(d.session.clock(), len(targets), func(i int) *routing.Replica { return &targets[i].replica }, p.query)
	if i < 0 {
		return target{}, false
	}
	d.table.Sent(targets[i].vm.Id, 1)
	return targets[i], true
}

// learn ends an attempt and notes whether endpoint and owner can be reached.
func (d *dispatcher) recordResult(t target, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Sent(t.vm.Id, -1)
	now := d.session.clock()
	switch {
	case err == nil:
		d.table.Worked(t.vm.Id)
	case fail.Is(err, fail.EndpointFailed), fail.Is(err, fail.EndpointCrashed):
		d.table.Failed(now, t.vm.Id)
	case fail.Is(err, fail.Unavailable):
		d.table.Failed(now, t.vm.Owner)
	}
}

// request returns what the owner of the target is asked to do.
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
		// What a refusing owner let it wait is gone from the target. After a
		// crash or a break the whole target counts anew: a late answer is
		// better than none.
		r.FirstTokenDeadlineMs = max(1, d.firstTokenTimeLeft(j, p).Milliseconds())
	}
	if !j.finishBy.IsZero() {
		r.FinishInMs = max(1, time.Until(j.finishBy).Milliseconds())
	}
	return r
}

// attempt sends the job to the owner of the target, which may be this entry.
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
		return fail.New(fail.NotOwner, "the endpoint's owner is not known")
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
	d.table.Report(d.session.clock(), endpointID, routing.Load{InFlight: int(l.InFlight), Queued: int(l.Queued)})
}
