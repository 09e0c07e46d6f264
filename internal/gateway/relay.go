package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/attempt"
	"parsleyramp/internal/buffers"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/upstream"
)

const (
	// maxBufferedBytes bounds a response that is read completely before it is forwarded,
	// and maxAllBufferedBytes all of them together.
	maxBufferedBytes    = 8 << 20
	maxAllBufferedBytes = 32 << 20
	// maxDrainedBytes bounds what is read of a rejection for the sake of its connection.
	maxDrainedBytes = 64 << 10
)

// relay forwards the responses of endpoints to one client.
type relay struct {
	q *request
	// headerSent is set once the status and the headers were sent to the client.
	headerSent bool
	// begun is the head of the stream whose headers were sent.
	begun answer.Head
	// writer writes a stream to the client; nil before its first event.
	writer *streamWriter
	// lastFailure is the last response by which an endpoint reported its own
	// failure; nil for none.
	lastFailure *bufferedResponse
	// held is what the response of the current send holds in memory; nil for none.
	held *heldResponse
	// lastEventAt is when bytes of a stream were last received.
	lastEventAt time.Duration
	// endpoint is the id of the current endpoint, chunks counts the chunks that it
	// has sent, and chunkInterval is the usual time between two chunks of the
	// model; zero if unknown.
	endpoint      string
	chunks        int
	chunkInterval time.Duration
	// sentAt is when the request was sent, and firstChunkAt and lastChunkAt are
	// when the first and the last chunk were received.
	sentAt, firstChunkAt, lastChunkAt time.Duration
	// onReceive records the time at which the endpoint last sent bytes.
	onReceive func()
	// onPrefill subtracts the prompt from the tokens that the endpoint has not yet
	// prefilled; nil once it was called.
	onPrefill func()
	// unread is how many prompt tokens the endpoint had to prefill until the response began;
	// zero if that does not explain how long it took.
	unread int
	// lastEventID is the id of the last complete event that was forwarded.
	lastEventID string
	// unnumbered is set while events without an id follow that one: going on after it would
	// repeat them.
	unnumbered bool
}

// forward reads an endpoint's response and forwards it, or returns why it cannot.
func (r *relay) forward(resp *upstream.Response, info ResponseInfo) sendResult {
	r.q.framing = resp.Head.Framing.String()
	ok := resp.Status >= 200 && resp.Status < 300
	switch {
	case resp.Reused && !info.Identified:
		return r.unusable(errUnattributed)
	case resp.Status < http.StatusOK:
		return r.unusable(errInvalidStatus)
	case info.NotRun || info.Misdirected:
		return r.drainRejection(resp, info)
	case ok && !info.Signed:
		return r.unusable(fail.New(fail.ForeignAnswer, "the response has no signature").WithRan(fail.RanUnknown))
	case !ok:
		return r.forwardFailure(resp, info)
	case r.headerSent && !resp.Head.Continues(r.begun):
		return r.unusable(errOtherAnswer)
	case r.q.route.Kind == document.Stream && resp.Head.MayBeEvents():
		return r.forwardEvents(resp)
	}
	return r.forwardComplete(resp)
}

// errUnattributed is the failure of a request whose response names no attempt, on a connection
// that has carried other requests: it may be an earlier response once more.
var errUnattributed = fail.New(fail.ForeignAnswer, "the response may belong to an earlier request").WithRan(fail.RanUnknown)

// errInvalidStatus is the failure of a response whose status is below those that HTTP defines.
var errInvalidStatus = fail.New(fail.ForeignAnswer, "the status of the response is invalid").WithRan(fail.RanUnknown)

// errOtherAnswer is the failure of a stream that an endpoint was asked to go on with and answered
// with something else.
var errOtherAnswer = fail.New(fail.ForeignAnswer, "the response does not go on with the stream").WithRan(fail.RanUnknown)

// errEmptyContinuation is the failure of a stream that an endpoint was asked to go on with and
// ended without an event: its last event may be one that was lost.
var errEmptyContinuation = fail.New(fail.TruncatedAnswer, "the endpoint added no event to the stream").WithRan(fail.RanUnknown)

// errRepeatedEvent is the failure of a stream that an endpoint was asked to go on with and from
// which it sent an event once more.
var errRepeatedEvent = fail.New(fail.ForeignAnswer, "the endpoint repeats an event of the stream").WithRan(fail.RanUnknown)

// drainRejection reads the rest of a response that states that the request did
// not run, so that the connection can be reused, unless the response ends with it.
func (r *relay) drainRejection(resp *upstream.Response, info ResponseInfo) sendResult {
	out := sendResult{outcome: attempt.Rejected}
	if info.fromAnother(r.endpoint) {
		out.otherEndpoint = info.Endpoint
	}
	var err error
	if resp.Head.Framing != answer.ByConnection {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainedBytes))
	}
	message := "the endpoint did not run the request: status " + strconv.Itoa(resp.Status)
	if err != nil {
		out.err = fail.Wrap(err, fail.EndpointFailed, message)
	} else {
		out.err = fail.New(fail.EndpointFailed, message)
	}
	return out
}

// unusable returns the result of a response that cannot be used, and whose
// request may have run.
func (r *relay) unusable(err error) sendResult {
	if r.headerSent {
		return sendResult{outcome: attempt.Interrupted, err: err}
	}
	return sendResult{outcome: attempt.Lost, err: err}
}

// rejectionStatuses are the statuses by which this system states that a request
// has not run. If an endpoint returns one without stating that, the response must
// not be forwarded.
var rejectionStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// forwardFailure reads a response without a 2xx status. It forwards a signed
// response with a status below 500, and keeps a signed server error in
// lastFailure for the case that no other endpoint serves the request.
func (r *relay) forwardFailure(resp *upstream.Response, info ResponseInfo) sendResult {
	body, err := r.readBuffered(resp)
	if err != nil {
		return r.unusable(err)
	}
	if r.headerSent || !info.Signed || rejectionStatuses[resp.Status] {
		return r.unusable(fail.New(fail.EndpointFailed, "the endpoint responded with status "+strconv.Itoa(resp.Status)).WithRan(fail.RanUnknown))
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	failure := fail.New(fail.EndpointFailed, "the endpoint responded with status "+strconv.Itoa(resp.Status)).WithRan(fail.RanYes)
	if resp.Status < http.StatusInternalServerError {
		r.writeBuffered(buffered)
		return sendResult{complete: true, err: failure}
	}
	r.dropLastFailure()
	buffered.share, r.held = r.held.share, nil
	r.lastFailure = buffered
	return sendResult{outcome: attempt.Failed, err: failure}
}

// forwardComplete reads the complete response before it forwards any of it.
func (r *relay) forwardComplete(resp *upstream.Response) sendResult {
	body, err := r.readBuffered(resp)
	if err != nil {
		return r.unusable(err)
	}
	r.writeBuffered(&bufferedResponse{status: resp.Status, header: resp.Header, body: body})
	return sendResult{complete: true}
}

// readBuffered reads a complete body, which is held in memory until the share ends.
func (r *relay) readBuffered(resp *upstream.Response) ([]byte, error) {
	body, err := answer.ReadAll(buffers.NewReader(resp.Body, r.held.hold), resp.Head, maxBufferedBytes)
	if err != nil {
		return nil, err
	}
	return body, r.held.share.Complete()
}

// beginHold begins to record what the response of a send holds. cancel ends ctx and the send.
func (r *relay) beginHold(ctx context.Context, cancel context.CancelFunc) {
	r.held = &heldResponse{share: r.q.g.buffers.Begin(ctx, cancel)}
}

// endHold returns what the response of the current send holds, unless it is kept.
func (r *relay) endHold() {
	if r.held != nil {
		r.held.share.End()
		r.held = nil
	}
}

// dropLastFailure drops the last failure of an endpoint, if any.
func (r *relay) dropLastFailure() {
	if r.lastFailure != nil {
		r.lastFailure.share.End()
		r.lastFailure = nil
	}
}

// writeBuffered writes a buffered response to the client.
func (r *relay) writeBuffered(resp *bufferedResponse) {
	r.q.state.setPhase(phaseDelivering)
	r.copyHeader(resp.header)
	if r.q.httpRequest.Method != http.MethodHead {
		r.q.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	r.q.w.WriteHeader(resp.status)
	r.headerSent = true
	// A client disconnect is detected by the request's context.
	_, _ = r.q.w.Write(resp.body)
}

// copyHeader copies the headers of an endpoint's response to that of the gateway.
func (r *relay) copyHeader(h http.Header) {
	out := r.q.w.Header()
	for name, values := range h {
		out[name] = values
	}
	upstream.RemoveHopByHopHeaders(out)
	removeRelayHeaders(out)
	if r.q.hop != nil {
		setOrigin(out, r.q.origin)
	}
}

// beginStream sends the status and the headers of a stream to the client, once.
func (r *relay) beginStream(resp *upstream.Response) {
	r.q.state.setPhase(phaseStreaming)
	if r.headerSent {
		return
	}
	r.headerSent, r.begun = true, resp.Head
	r.copyHeader(resp.Header)
	if resp.Length >= 0 && !r.q.route.Resumable {
		r.q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	} else {
		r.q.w.Header().Del("Content-Length")
	}
	r.q.w.WriteHeader(resp.Status)
}

// writeChunk measures the arrival of bytes of a stream, and has them written to the client.
func (r *relay) writeChunk(p []byte) error {
	r.onReceive()
	r.recordPrefill()
	r.recordChunk()
	r.recordTiming()
	if r.writer == nil {
		r.writer = &streamWriter{
			w: r.q.w, ctx: r.q.ctx, set: &r.q.g.streams, request: r.q.info.ID, arrived: r.q.arrived, cancel: r.q.state.cancel,
		}
		r.writer.start()
	}
	return r.writer.write(p)
}

// finish waits until the client has been sent all bytes of a stream.
func (r *relay) finish() error {
	if r.writer == nil {
		return nil
	}
	return r.writer.finish()
}

// stop ends the writing of a stream.
func (r *relay) stop() {
	if r.writer != nil {
		r.writer.stop()
	}
}

// recordPrefill records, once for each send, that the endpoint has prefilled the
// prompt or that the send has ended.
func (r *relay) recordPrefill() {
	if r.onPrefill != nil {
		r.onPrefill()
		r.onPrefill = nil
	}
}

// beginSend resets the measurements for a send to the endpoint.
func (r *relay) beginSend(endpoint string, at time.Duration) {
	r.endpoint, r.sentAt, r.chunks, r.q.framing = endpoint, at, 0, ""
	r.chunkInterval = r.q.g.serviceTimes.ChunkInterval(r.q.requirements.Model)
}

// beginRelayedSend resets the measurements for a send by way of another gateway, which
// measures the endpoint.
func (r *relay) beginRelayedSend(at time.Duration) {
	r.endpoint, r.sentAt, r.chunks, r.q.framing, r.chunkInterval, r.unread = "", at, 0, "", 0, 0
	r.onReceive, r.onPrefill = func() {}, nil
	r.q.endpoint, r.q.endpointVersion = nil, ""
}

// failedSend returns the result of a send without a response.
func (r *relay) failedSend(err error) sendResult {
	if fail.From(err).Ran == fail.RanNo {
		return sendResult{outcome: attempt.Unsent, err: err}
	}
	return r.unusable(err)
}

// streamed returns the time between the first and the last chunk of the current send.
func (r *relay) streamed() time.Duration {
	if r.chunks == 0 {
		return 0
	}
	return r.lastChunkAt - r.firstChunkAt
}

// recordChunk records how long the endpoint took for one more chunk.
func (r *relay) recordChunk() {
	now := r.q.g.clock()
	latency := fleet.Latency{Took: now - r.lastChunkAt, Expected: r.chunkInterval}
	if r.chunks == 0 {
		r.firstChunkAt = now
		if r.unread > 0 {
			r.q.g.loads.RecordFirst(r.endpoint, r.unread, now-r.sentAt)
		}
		latency = fleet.Latency{Took: now - r.sentAt, Expected: fleet.FirstChunkTime}
	}
	r.chunks++
	r.lastChunkAt = now
	if r.chunkInterval > 0 {
		r.q.g.loads.RecordLatency(r.endpoint, latency)
	}
}

// recordNoChunk records, at the end of a send without a chunk, how long the
// gateway waited for the endpoint.
func (r *relay) recordNoChunk() {
	if r.chunks == 0 && r.chunkInterval > 0 {
		r.q.g.loads.RecordLatency(r.endpoint, fleet.Latency{Took: r.q.g.clock() - r.sentAt, Expected: fleet.FirstChunkTime})
	}
}

// recordTiming records the time to the first byte and the longest pause.
func (r *relay) recordTiming() {
	now := r.q.g.clock()
	if r.lastEventAt == 0 {
		r.q.firstByte = now - r.q.arrived
		firstByteSeconds.Update(r.q.firstByte.Seconds())
	} else {
		r.q.longestPause = max(r.q.longestPause, now-r.lastEventAt)
	}
	r.lastEventAt = now
}

// forwardEvents forwards events as they become complete, so that a stream that is broken
// off can be resumed after its last whole event.
func (r *relay) forwardEvents(resp *upstream.Response) sendResult {
	events := answer.NewEvents(resp.Body, resp.Head.Framing)
	events.Hold = r.held.hold
	goesOn := r.headerSent
	for {
		p, err := events.Next()
		if err == io.EOF && goesOn && !events.Any() {
			err = errEmptyContinuation
		}
		if err != nil {
			return r.endEvents(resp, events, err)
		}
		if goesOn && r.repeats(p) {
			return r.unusable(errRepeatedEvent)
		}
		if r.chunks == 0 {
			r.q.recordStreamBegun()
		}
		r.beginStream(resp)
		if err := r.writeChunk(p); err != nil {
			return sendResult{outcome: attempt.Interrupted, err: err}
		}
		r.recordPosition(p)
	}
}

// repeats reports whether the first event of p does not come after the last one that was forwarded.
// Ids increase where they are numbers.
func (r *relay) repeats(p []byte) bool {
	event, _, _ := answer.CutEvent(p)
	id := answer.LastEventID(event)
	number, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(r.lastEventID, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id == r.lastEventID
	}
	return number <= last
}

// recordPosition records which event, of the complete ones in p, was forwarded last.
func (r *relay) recordPosition(p []byte) {
	id, ok := answer.LastEvent(p)
	if !ok {
		return
	}
	r.unnumbered = id == ""
	if !r.unnumbered {
		r.lastEventID = id
	}
}

// endEvents returns the result of a stream that ended with err.
func (r *relay) endEvents(resp *upstream.Response, events *answer.Events, err error) sendResult {
	if r.writer != nil {
		if failure := r.writer.failure(); failure != nil {
			// The endpoint's response was canceled for it.
			return sendResult{outcome: attempt.Interrupted, err: failure}
		}
	}
	if err == io.EOF || events.Cut() {
		streamsEnded.count(resp.Head.Framing, events.Cut())
	}
	if err != io.EOF {
		return r.unusable(err)
	}
	r.beginStream(resp)
	r.q.state.setPhase(phaseDelivering)
	return sendResult{complete: true}
}
