package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"parsleyramp/internal/attempt"
	"parsleyramp/internal/buffers"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/upstream"
)

const (
	// minSendTime is the least time until the deadline at which a request is sent
	// again.
	minSendTime = 50 * time.Millisecond
	// failedRetryAfter is the Retry-After of a request that did not run because
	// of a transient failure.
	failedRetryAfter = 250 * time.Millisecond
	// drainRetryAfter is the Retry-After of a request that another gateway serves
	// because this one shuts down.
	drainRetryAfter = 100 * time.Millisecond
)

// sendResult is the result of sending a request to one endpoint.
type sendResult struct {
	outcome attempt.Outcome
	// complete is set if the complete response was forwarded to the client.
	complete bool
	// broken is set if the endpoint closed the connection, or fell silent, before the
	// response was complete.
	broken bool
	// refused is set if the gateway that relayed the request refused it for all gateways.
	refused bool
	// otherEndpoint is the endpoint that answered in place of the one that was meant; empty
	// for none.
	otherEndpoint string
	// sentAt is when the request was sent, and streamed the time between the first and the
	// last bytes of its answer.
	sentAt, streamed time.Duration
	err              error
}

// unsent reports whether no byte of the request has reached the endpoint.
func (s sendResult) unsent() bool { return !s.complete && s.outcome == attempt.Unsent }

// mayHaveRun reports whether the endpoint may have run the request.
func (s sendResult) mayHaveRun() bool {
	return s.complete || !s.refused && s.outcome != attempt.Unsent && s.outcome != attempt.Rejected
}

// bufferedResponse is a response that is read completely before any of it is
// forwarded.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// share is what the response holds in memory, if it is kept; nil otherwise.
	share *buffers.Share
}

// run executes the steps that package attempt decides until the client has a
// response or the connection is aborted.
func (q *request) run() {
	h := attempt.History{Rules: q.attemptRules()}
	tried := map[string]bool{}
	out := &relay{q: q}
	if q.hop != nil {
		out.lastEventID = q.hop.lastEvent
	}
	defer q.returnUnusedPermit()
	defer out.stop()
	defer out.dropLastFailure()
	for {
		e, s, err := q.selectAndSend(tried, out)
		q.mayHaveRun = q.mayHaveRun || err == nil && s.mayHaveRun()
		if err != nil || s.refused {
			q.refundRetry()
			q.endWithoutResponse(&h, out, cmp.Or(err, s.err))
			return
		}
		if s.complete {
			sendsDone.count("done")
			if err := out.finish(); err != nil {
				q.recordEnd("aborted", e, &h, err)
				panic(http.ErrAbortHandler)
			}
			if q.firstByte > 0 {
				longestPauseSeconds.Update(q.longestPause.Seconds())
			}
			q.recordEnd("served", e, &h, s.err)
			return
		}
		sendsDone.count(s.outcome.String())
		h.Rules.Resumable = h.Rules.Resumable && !out.unnumbered
		step := h.Next(s.outcome, q.timeLeft() > minSendTime && q.ctx.Err() == nil, q.spendRetryBudget)
		if e != nil {
			q.logFailedSend(e, s, step, &h)
		}
		switch step {
		case attempt.Resume:
			if err := q.requireOrigin(); err != nil {
				q.refundRetry()
				q.endWithoutResponse(&h, out, err)
				return
			}
			continue
		case attempt.Send:
			continue
		case attempt.PassOn:
			out.writeBuffered(out.lastFailure)
			q.recordEnd("endpoint_failed", e, &h, s.err)
			return
		case attempt.Abort:
			// A failure to write is one more reason to abort.
			_ = out.finish()
			q.recordEnd("aborted", e, &h, s.err)
			panic(http.ErrAbortHandler)
		}
		q.endWithoutResponse(&h, out, s.err)
		return
	}
}

// selectAndSend sends the request to an endpoint, which it returns, or by way of another
// gateway if this one reaches none.
func (q *request) selectAndSend(tried map[string]bool, out *relay) (*fleet.Endpoint, sendResult, error) {
	for {
		if q.requirements.Version != "" {
			if err := q.awaitSureVersions(); err != nil {
				return nil, sendResult{}, err
			}
		}
		if q.hop == nil && q.outOfReach() {
			s, err := q.runByPeer(out, tried)
			return nil, s, err
		}
		started := q.g.clock()
		q.state.setPhase(phaseSelecting)
		e, err := q.selectEndpoint(tried)
		q.selectionTime += q.g.clock() - started
		selectionSeconds.Update((q.g.clock() - started).Seconds())
		if fail.Is(err, fail.OutOfReach) && q.hop == nil {
			continue
		}
		if err != nil {
			return nil, sendResult{}, err
		}
		q.recordRetrySent()
		q.recordChoice(e)
		tried[e.ID] = true
		s := q.send(e, out)
		s.sentAt, s.streamed = out.sentAt, out.streamed()
		if q.permit == nil && errors.Is(s.err, upstream.ErrMayNotWrite) {
			// The document has changed what the headers say: the endpoint may get new ones.
			delete(tried, e.ID)
		}
		q.recordCrashEvidence(e, s)
		q.recordPermitUse(s)
		return e, s, nil
	}
}

// attemptRules returns the retry rules of the route. A suspect is sent once, so that it
// crashes at most one endpoint for each attempt of its client; so is a relayed request, whose
// sends the gateway counts that took it.
func (q *request) attemptRules() attempt.Rules {
	r := q.route
	rules := attempt.Rules{Retryable: r.Retryable(), Resumable: r.Kind == document.Stream && r.Resumable, MaxSends: max(r.MaxAttempts, 1)}
	if q.hop != nil || q.suspected() || q.partSuspected() {
		rules.MaxSends = 1
	}
	return rules
}

func (q *request) timeLeft() time.Duration { return q.deadline - q.g.clock() }

// spendRetryBudget withdraws one retry from the budget that gateways share. It
// returns false if the budget is used up.
func (q *request) spendRetryBudget() bool {
	ok := q.g.retries.TryWithdraw(q.requirements.Service, q.g.clock())
	q.retryWithdrawn = ok
	if !ok {
		retriesDenied.Inc()
	}
	return ok
}

// recordRetrySent records that the retry that was withdrawn, if any, is sent now.
func (q *request) recordRetrySent() {
	if q.retryWithdrawn {
		q.g.retries.Sent(q.requirements.Service, q.g.clock())
		q.retryWithdrawn = false
	}
}

// recordChoice records that the request is sent to the endpoint: whether it stays in its failure
// domain, the length of its prompt, and whether prompts of the length prefer the endpoint.
func (q *request) recordChoice(e *fleet.Endpoint) {
	domainChoices.count(e.Domain == q.requirements.Domain)
	if q.requirements.PromptTokens == 0 {
		return
	}
	class, preferred := q.g.loads.PromptPreference(q.g.view.Load(), q.requirements, e, q.g.clock())
	promptChoices.count(class, preferred)
	q.g.loads.RecordPrompt(q.requirements.Service, q.requirements.PromptTokens)
}

// refundRetry returns the retry that was withdrawn, if any: it is not sent.
func (q *request) refundRetry() {
	if q.retryWithdrawn {
		q.g.retries.Refund(q.requirements.Service, q.g.clock())
		q.retryWithdrawn = false
	}
}

// send sends the request to the endpoint and forwards the response.
func (q *request) send(e *fleet.Endpoint, out *relay) sendResult {
	g := q.g
	started := g.clock()
	q.state.setSent(e.ID, started)
	load := g.loads.Begin(e.ID, q.requirements.Tokens, q.info.PromptTokens, started)
	defer g.loads.End(e.ID, q.requirements.Tokens)
	q.leaveSlotQueue()
	defer q.countUse()()
	q.endpoint, q.endpointVersion, q.versionSure = e, g.loads.VersionOf(e, started), g.versionsSure()
	out.beginSend(e.ID, started)
	defer out.recordNoChunk()
	out.onReceive = func() { g.loads.RecordReceived(e.ID, g.clock()) }
	out.onPrefill = func() { g.loads.EndPrefill(e.ID, q.info.PromptTokens) }
	out.unread = 0
	if load.Running <= e.Slots {
		// Beyond that it may wait for a slot rather than for prompts.
		out.unread = load.PrefillTokens
	}
	defer out.recordPrefill()
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	out.beginHold(ctx, cancel)
	defer out.endHold()
	resp, err := g.pool.Do(ctx, e.Address, q.upstreamRequest(e, out), func(header http.Header) bool {
		return g.deps.Protocol.MatchesRequest(header, q.info.ID)
	})
	if err != nil {
		s := out.failedSend(err)
		if q.revokedUnsent(&s) {
			return s
		}
		s.broken = s.outcome != attempt.Unsent
		q.recordHealth(e, s.outcome, s.err)
		return s
	}
	defer resp.Close()
	info := g.deps.Protocol.ParseResponse(resp.Status, resp.Header)
	if info.fromAnother(e.ID) {
		misdirectedSends.Inc()
		g.loads.MarkReplaced(e, g.clock())
	} else {
		out.onReceive()
		g.observeLimit(e, info, out.sentAt)
		g.observeClosing(e, info)
	}
	s := out.forward(resp, info)
	if !s.complete {
		s.broken = fail.Is(s.err, fail.TruncatedAnswer)
		q.recordHealth(e, s.outcome, s.err)
	} else {
		g.loads.Record(e.ID, fleet.Served, g.clock())
		if q.requirements.Model == "" {
			g.loads.RecordPlain(e, load, g.clock()-started)
		} else if out.lastEventID == "" {
			g.serviceTimes.Record(q.requirements.Model, q.info.expectedOutput(), g.clock()-started)
			g.serviceTimes.RecordChunks(q.requirements.Model, out.chunks, out.lastChunkAt-out.firstChunkAt)
		}
	}
	return s
}

func (q *request) recordHealth(e *fleet.Endpoint, o attempt.Outcome, err error) {
	if q.ctx.Err() != nil {
		// The client disconnected or the deadline passed, which does not indicate
		// a fault of the endpoint.
		return
	}
	if errors.Is(err, upstream.ErrMayNotWrite) {
		return
	}
	q.g.recordUnreached(e, err)
	if q.g.loads.OutOfReach(e.ID) {
		// Its links failed, not the endpoint.
		return
	}
	switch o {
	case attempt.Unsent:
		q.g.loads.Record(e.ID, fleet.Unreachable, q.g.clock())
		if errors.Is(err, syscall.ECONNREFUSED) {
			q.g.loads.MarkEnded(e.ID, q.g.clock())
		}
	case attempt.Failed, attempt.Lost, attempt.Interrupted:
		q.g.loads.Record(e.ID, fleet.Failed, q.g.clock())
	}
}

func (q *request) upstreamRequest(e *fleet.Endpoint, out *relay) *upstream.Request {
	header := q.httpRequest.Header.Clone()
	upstream.RemoveHopByHopHeaders(header)
	header.Del("Content-Length")
	header.Del("Expect")
	removeRelayHeaders(header)
	q.g.deps.Protocol.PrepareHeaders(header, SendOptions{
		Endpoint: e.ID, TimeLeft: max(q.timeLeft(), time.Millisecond), Priority: q.priority(), LastEventID: out.lastEventID, Reservation: q.reservation,
		WithKeys: q.admission.withKeys, Workspace: q.workspaceName(),
	})
	return &upstream.Request{
		Method: q.httpRequest.Method, Target: q.httpRequest.RequestURI, Host: q.httpRequest.Host, Header: header, Body: q.body, MayWrite: q.mayWrite(q.permitHolds()),
		NewConnection: q.info.ID == "", HoldHead: out.held.holdHead,
	}
}
