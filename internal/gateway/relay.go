package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"parsleyramp/internal/attempt"
	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/upstream"
)

const (
	relayBufferBytes = 8 << 10
	// maxHeldBytes bounds an answer that is read whole before it is passed on.
	maxBufferedBytes = 8 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// relay passes the answers of endpoints on to one caller.
type relay struct {
	q *request
	// begun is set once the head was passed on.
	headSent bool
	// failed is the newest failure of an endpoint's own; nil for none.
	lastFailure *bufferedResponse
	// wroteAt is when bytes were passed on last.
	lastWriteAt time.Duration
	// endpoint is where this send went, pieces counts the pieces of the answer that
	// it has brought, and pieceTime is the usual time between two.
	endpoint      string
	chunks        int
	chunkInterval time.Duration
	// sentAt, firstPiece and lastPiece are when the request was sent and when the
	// pieces came.
	sentAt, firstChunkAt, lastChunkAt time.Duration
	// heard notes that the endpoint has sent something.
	onReceive func()
	// unread takes the prompt back from what waits to be read at the endpoint;
	// nil once that was done.
	onPrefill func()
	// lastEvent is the id of the last whole event that was passed on.
	lastEvent string
}

// take reads an endpoint's answer and passes it on, or says why not.
func (r *relay) forward(resp *upstream.Response) sendResult {
	a := r.q.g.deps.Protocol.ParseResponse(resp.Status, resp.Header)
	ok := resp.Status >= 200 && resp.Status < 300
	switch {
	case a.NotRun || a.OtherEndpoint:
		return r.drainRejection(resp)
	case ok && !a.Signed:
		return r.unusable(fail.New(fail.ForeignAnswer, "the answer bears no signature").WithRan(fail.RanUnknown))
	case !ok:
		return r.forwardFailure(resp, a)
	case r.q.route.Kind == document.Stream && r.q.route.Resumable:
		return r.forwardEvents(resp)
	case r.q.route.Kind == document.Stream:
		return r.forwardStream(resp)
	}
	return r.forwardComplete(resp)
}

// rejected reads the rest of a statement that the request did not run, so that
// the connection can be kept.
func (r *relay) drainRejection(resp *upstream.Response) sendResult {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes))
	message := "the endpoint did not run the request: status " + strconv.Itoa(resp.Status)
	if err != nil {
		return sendResult{outcome: attempt.Rejected, err: fail.Wrap(err, fail.EndpointFailed, message)}
	}
	return sendResult{outcome: attempt.Rejected, err: fail.New(fail.EndpointFailed, message)}
}

// broken is an answer that cannot be used, and whose request may have run.
func (r *relay) unusable(err error) sendResult {
	if r.headSent {
		return sendResult{outcome: attempt.Cut, err: err}
	}
	return sendResult{outcome: attempt.Lost, err: err}
}

// promises are the statuses by which this system states that a request has not
// run. An endpoint's own, without that statement, must not be passed on.
var rejectionStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// failure reads an endpoint's own failure whole.
func (r *relay) forwardFailure(resp *upstream.Response, a ResponseInfo) sendResult {
	body, err := readBuffered(resp)
	if err != nil {
		return r.unusable(err)
	}
	if r.headSent || !a.Signed || rejectionStatuses[resp.Status] {
		return r.unusable(fail.New(fail.EndpointFailed, "status "+strconv.Itoa(resp.Status)).WithRan(fail.RanUnknown))
	}
	held := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	failed := fail.New(fail.EndpointFailed, "status "+strconv.Itoa(resp.Status)).WithRan(fail.RanYes)
	if resp.Status < http.StatusInternalServerError {
		r.writeBuffered(held)
		return sendResult{complete: true, err: failed}
	}
	r.lastFailure = held
	return sendResult{outcome: attempt.Failed, err: failed}
}

// whole reads the answer to its end before any of it is passed on.
func (r *relay) forwardComplete(resp *upstream.Response) sendResult {
	body, err := readBuffered(resp)
	if err != nil {
		return r.unusable(err)
	}
	r.writeBuffered(&bufferedResponse{status: resp.Status, header: resp.Header, body: body})
	return sendResult{complete: true}
}

func readBuffered(resp *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	switch {
	case err != nil:
		return nil, fail.Wrap(err, fail.TruncatedAnswer, "the answer ended early").WithRan(fail.RanUnknown)
	case len(body) > maxBufferedBytes:
		return nil, fail.New(fail.TruncatedAnswer, "the answer is too long to be held").WithRan(fail.RanUnknown)
	}
	return body, nil
}

// pass passes a whole answer on.
func (r *relay) writeBuffered(held *bufferedResponse) {
	r.copyHeader(held.header)
	r.q.w.Header().Set("Content-Length", strconv.Itoa(len(held.body)))
	r.q.w.WriteHeader(held.status)
	r.headSent = true
	// A caller that has left is noticed by its context.
	_, _ = r.q.w.Write(held.body)
}

// head copies an endpoint's headers to the answer.
func (r *relay) copyHeader(h http.Header) {
	out := r.q.w.Header()
	for name, values := range h {
		out[name] = values
	}
	upstream.RemoveHopByHopHeaders(out)
}

// begin passes the head of a stream on, once.
func (r *relay) beginStream(resp *upstream.Response) {
	if r.headSent {
		return
	}
	r.headSent = true
	r.copyHeader(resp.Header)
	if resp.Length >= 0 && !r.q.route.Resumable {
		r.q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	} else {
		r.q.w.Header().Del("Content-Length")
	}
	r.q.w.WriteHeader(resp.Status)
}

// write passes bytes of a stream on at once.
func (r *relay) writeChunk(p []byte) error {
	r.onReceive()
	r.recordPrefill()
	r.recordChunk()
	r.recordTiming()
	if _, err := r.q.w.Write(p); err != nil {
		return fail.Wrap(err, fail.Canceled, "the caller does not read").WithRan(fail.RanYes)
	}
	if err := http.NewResponseController(r.q.w).Flush(); err != nil {
		return fail.Wrap(err, fail.Canceled, "the caller does not read").WithRan(fail.RanYes)
	}
	return nil
}

// read notes, once for each send, that the endpoint has read the prompt.
func (r *relay) recordPrefill() {
	if r.onPrefill != nil {
		r.onPrefill()
		r.onPrefill = nil
	}
}

// start begins the notes on one send.
func (r *relay) beginSend(endpoint string, at time.Duration) {
	r.endpoint, r.sentAt, r.chunks = endpoint, at, 0
	r.chunkInterval = r.q.g.serviceTimes.PieceTime(r.q.need.Model)
}

// notePiece notes how long the endpoint took for one more piece.
func (r *relay) recordChunk() {
	now := r.q.g.clock()
	speed := fleet.Speed{Took: now - r.lastChunkAt, Expected: r.chunkInterval}
	if r.chunks == 0 {
		r.firstChunkAt = now
		speed = fleet.Speed{Took: now - r.sentAt, Expected: fleet.FirstPieceTime}
	}
	r.chunks++
	r.lastChunkAt = now
	if r.chunkInterval > 0 {
		r.q.g.loads.NoteSpeed(r.endpoint, speed)
	}
}

// noteNothing notes, at the end of a send that brought no piece, how long the
// endpoint was waited for.
func (r *relay) recordNoChunk() {
	if r.chunks == 0 && r.chunkInterval > 0 {
		r.q.g.loads.NoteSpeed(r.endpoint, fleet.Speed{Took: r.q.g.clock() - r.sentAt, Expected: fleet.FirstPieceTime})
	}
}

// noteTime measures the time to the first byte and the pauses.
func (r *relay) recordTiming() {
	now := r.q.g.clock()
	if r.lastWriteAt == 0 {
		r.q.firstByte = now - r.q.arrived
		firstByteSeconds.Update(r.q.firstByte.Seconds())
	} else {
		r.q.longestPause = max(r.q.longestPause, now-r.lastWriteAt)
	}
	r.lastWriteAt = now
}

// stream passes bytes on as they arrive.
func (r *relay) forwardStream(resp *upstream.Response) sendResult {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			r.beginStream(resp)
			if writeErr := r.writeChunk(buf[:n]); writeErr != nil {
				return sendResult{outcome: attempt.Cut, err: writeErr}
			}
		}
		if err == io.EOF {
			r.beginStream(resp)
			return sendResult{complete: true}
		}
		if err != nil {
			return r.unusable(fail.Wrap(err, fail.TruncatedAnswer, "the stream broke").WithRan(fail.RanUnknown))
		}
	}
}

// events passes whole events on, so that a broken stream can go on elsewhere.
func (r *relay) forwardEvents(resp *upstream.Response) sendResult {
	buf := make([]byte, relayBufferBytes)
	var pending []byte
	for {
		n, err := resp.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		if complete := completeEvents(pending); complete > 0 {
			r.beginStream(resp)
			if id := lastEventID(pending[:complete]); id != "" {
				r.lastEvent = id
			}
			if writeErr := r.writeChunk(pending[:complete]); writeErr != nil {
				return sendResult{outcome: attempt.Cut, err: writeErr}
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			r.beginStream(resp)
			return sendResult{complete: true}
		case err == io.EOF:
			return r.unusable(fail.New(fail.TruncatedAnswer, "the stream ended within an event").WithRan(fail.RanUnknown))
		case err != nil:
			return r.unusable(fail.Wrap(err, fail.TruncatedAnswer, "the stream broke").WithRan(fail.RanUnknown))
		case len(pending) > maxEventBytes:
			return r.unusable(fail.New(fail.TruncatedAnswer, "an event is too long").WithRan(fail.RanUnknown))
		}
	}
}

var eventDelimiter = []byte("\n\n")

// wholeEvents returns the length of the whole events at the start.
func completeEvents(p []byte) int {
	i := bytes.LastIndex(p, eventDelimiter)
	if i < 0 {
		return 0
	}
	return i + len(eventDelimiter)
}

// lastEventID returns the id of the last event that has one.
func lastEventID(p []byte) string {
	last := ""
	for line := range bytes.Lines(p) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			last = string(bytes.TrimSpace(value))
		}
	}
	return last
}
