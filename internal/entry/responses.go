package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"parsleyramp/internal/buffers"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// maxAllAnswerBytes bounds the responses that are collected at the same time.
const maxAllAnswerBytes = 32 << 20

// respond runs the job and sends its response to the client.
func (s *Server) respond(ctx context.Context, w http.ResponseWriter, j *job, stream bool) {
	w.Header().Set(HeaderRequestID, j.id)
	j.stream = stream
	if stream {
		s.respondStream(ctx, w, j)
		return
	}
	response, err := s.collect(ctx, j)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, response)
}

// writeChunk writes one chunk within WriteTimeout, which bounds how long a
// slow client occupies an endpoint and memory.
func (s *Server) writeChunk(w http.ResponseWriter, out *http.ResponseController, chunk []byte) error {
	_ = out.SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout.D()))
	_, err := w.Write(chunk)
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		return fail.Wrap(err, fail.Canceled, "cannot write to the client").WithRan(fail.RanUnknown)
	}
	return nil
}

func writeResponse(w http.ResponseWriter, r *wire.RecordedAnswer) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	w.WriteHeader(int(r.Status))
	_, _ = w.Write(r.Body)
}

// collect runs the job and returns its complete response.
func (s *Server) collect(ctx context.Context, j *job) (*wire.RecordedAnswer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	share := s.answers.Begin(ctx, cancel)
	defer share.End()
	response, err := s.collectHeld(ctx, j, share)
	if failure := share.Complete(); failure != nil {
		return nil, fail.Wrap(failure, fail.TruncatedAnswer, "the response cannot be held").WithRan(fail.RanUnknown)
	}
	return response, err
}

// collectHeld collects the response as far as the share allows.
func (s *Server) collectHeld(ctx context.Context, j *job, share *buffers.Share) (*wire.RecordedAnswer, error) {
	response := &wire.RecordedAnswer{}
	err := s.dispatcher.run(ctx, j, func(e *wire.ForwardEvent) error {
		if head := e.GetHead(); head != nil {
			// A head starts a new response. Anything received before belongs to
			// an attempt that failed.
			*response = wire.RecordedAnswer{Status: head.Status, ContentType: head.ContentType}
		}
		response.Body = append(response.Body, e.GetChunk()...)
		if int64(len(response.Body)) > s.cfg.MaxAnswerBytes {
			return fail.New(fail.TruncatedAnswer, "the response exceeds max_answer_bytes").WithRan(fail.RanYes)
		}
		return share.Resize(int64(len(response.Body)))
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// respondStream forwards events as they arrive. If the stream fails after its
// head was sent, the connection is aborted, so that the client cannot take the
// response for complete.
func (s *Server) respondStream(ctx context.Context, w http.ResponseWriter, j *job) {
	out := http.NewResponseController(w)
	headSent := false
	err := s.dispatcher.run(ctx, j, func(e *wire.ForwardEvent) error {
		if head := e.GetHead(); head != nil {
			headSent = true
			w.Header().Set("Content-Type", head.ContentType)
			w.WriteHeader(int(head.Status))
		}
		if chunk := e.GetChunk(); len(chunk) > 0 {
			return s.writeChunk(w, out, chunk)
		}
		return nil
	})
	if err == nil {
		return
	}
	if !headSent {
		writeError(w, err)
		return
	}
	s.log.WithError(err).WithField("request", j.id).Warn("response stream failed; aborting the connection")
	panic(http.ErrAbortHandler)
}
