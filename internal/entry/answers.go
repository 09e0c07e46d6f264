package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// answer runs the job and passes its answer to the caller.
func (s *Server) answer(ctx context.Context, w http.ResponseWriter, j *job, stream bool) {
	w.Header().Set(HeaderRequestID, j.id)
	j.stream = stream
	if stream {
		s.answerStream(ctx, w, j)
		return
	}
	whole, err := s.collect(ctx, j)
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, whole)
}

// writeChunk writes one piece within the time limit, so that a caller who
// reads slowly holds no endpoint and no memory for long.
func (s *Server) writeChunk(w http.ResponseWriter, out *http.ResponseController, chunk []byte) error {
	_ = out.SetWriteDeadline(time.Now().Add(s.cfg.WriteTimeout.D()))
	_, err := w.Write(chunk)
	if err == nil {
		err = out.Flush()
	}
	if err != nil {
		return fail.Wrap(err, fail.Canceled, "the caller does not read").WithRan(fail.RanUnknown)
	}
	return nil
}

func writeAnswer(w http.ResponseWriter, a *wire.RecordedAnswer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(int(a.Status))
	_, _ = w.Write(a.Body)
}

// collect runs the job and returns its whole answer.
func (s *Server) collect(ctx context.Context, j *job) (*wire.RecordedAnswer, error) {
	whole := &wire.RecordedAnswer{}
	err := s.dispatcher.run(ctx, j, func(e *wire.ForwardEvent) error {
		if head := e.GetHead(); head != nil {
			// A head begins an answer anew: what came before belongs to an
			// attempt that broke.
			*whole = wire.RecordedAnswer{Status: head.Status, ContentType: head.ContentType}
		}
		whole.Body = append(whole.Body, e.GetChunk()...)
		if int64(len(whole.Body)) > s.cfg.MaxAnswerBytes {
			return fail.New(fail.TruncatedAnswer, "the answer is over the limit").WithRan(fail.RanYes)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return whole, nil
}

// answerStream passes events on as they come. A stream that breaks after its
// head is cut off, so that the caller cannot take it for whole.
func (s *Server) answerStream(ctx context.Context, w http.ResponseWriter, j *job) {
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
	s.log.WithError(err).WithField("request", j.id).Warn("stream broke; the connection is cut")
	panic(http.ErrAbortHandler)
}
