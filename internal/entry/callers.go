package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/routing"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

// Headers that callers send and receive.
const (
	// HeaderClass names the urgency class of a request.
	HeaderClass = "Parsleyramp-Class"
	// HeaderRan says whether a request that failed was executed.
	HeaderRan = "Parsleyramp-Ran"
	// HeaderIdempotencyKey is required on calls that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderUseEntries lists, while an entry drains, the addresses to use instead.
	HeaderUseEntries = "Parsleyramp-Use-Entries"
	// HeaderRequestID names the request in logs and traces.
	HeaderRequestID = "Parsleyramp-Request"
)

// callerError is the JSON body of every failure.
type callerError struct {
	Error callerErrorDetail `json:"error"`
}

type callerErrorDetail struct {
	Code         fail.Code `json:"code"`
	Message      string    `json:"message"`
	Ran          fail.Ran  `json:"ran"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
}

// writeError answers with a typed failure at once.
func writeError(w http.ResponseWriter, err error) {
	f := fail.From(err)
	metrics.GetOrCreateCounter(`parsleyramp_refusals_total{code="` + string(f.Code) + `",ran="` + string(f.Ran) + `"}`).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRan, string(f.Ran))
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(f.Code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(callerError{callerErrorDetail{Code: f.Code, Message: f.Message, Ran: f.Ran, RetryAfterMS: f.RetryAfter.Milliseconds()}})
}

// callerMux returns the handlers for callers.
func (s *Server) callerMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", s.serveEntries)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("GET /v1/overnight/{id}", s.serveOvernight)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", telemetry.MetricsHandler(s.measure))
	mux.HandleFunc("/", s.serveService)
	return s.counted(mux)
}

// counted counts the requests in progress, which a shutdown waits for, and
// bounds how long one may take. A draining entry answers and then closes the
// connection, with the entries to use instead in a header.
func (s *Server) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inProgress.Add(1)
		defer s.inProgress.Add(-1)
		limit := s.cfg.BodyTimeout.D() + s.cfg.RequestTimeout.D() + s.cfg.WriteTimeout.D()
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
			w.Header().Set(HeaderUseEntries, strings.Join(s.otherEntries(), ","))
		}
		o := newObserver(w)
		defer o.finish()
		next.ServeHTTP(o, r)
		o.returned = true
	})
}

// otherEntries returns the addresses that callers may use instead of this one.
func (s *Server) otherEntries() []string {
	c, err := s.session.catalog()
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range c.view.Entries {
		if e.Live && !e.Draining && e.Id != s.cfg.ID {
			out = append(out, e.CallerAddress)
		}
	}
	return out
}

// entriesAnswer says which entries a caller may use and for how long.
type entriesAnswer struct {
	Entries     []entryAddress `json:"entries"`
	KeepSeconds float64        `json:"keep_seconds"`
}

type entryAddress struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// serveEntries answers which addresses to use. Draining entries are left out;
// ?domain= puts the entries of the caller's failure domain first.
func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request) {
	c, err := s.session.catalog()
	if err != nil {
		writeError(w, err)
		return
	}
	answer := entriesAnswer{KeepSeconds: s.cfg.KeepAddresses.D().Seconds(), Entries: []entryAddress{}}
	for _, e := range c.view.Entries {
		leaving := e.Draining || (e.Id == s.cfg.ID && s.draining.Load())
		if e.Live && !leaving {
			answer.Entries = append(answer.Entries, entryAddress{ID: e.Id, Address: e.CallerAddress, Domain: e.Domain})
		}
	}
	near := r.URL.Query().Get("domain")
	slices.SortStableFunc(answer.Entries, func(a, b entryAddress) int {
		switch {
		case (a.Domain == near) == (b.Domain == near):
			return 0
		case a.Domain == near:
			return -1
		}
		return 1
	})
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	c, err := s.session.catalog()
	if err != nil {
		writeError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for name, m := range c.models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", Owner: m.team})
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if _, err := s.session.catalog(); err != nil {
		writeError(w, err)
		return
	}
	if s.draining.Load() {
		writeError(w, fail.New(fail.Draining, "this entry is draining; use another entry"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readBody reads a caller's body within the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout.D()))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fail.Wrap(err, fail.BodyTooLarge, "the body is over the limit of "+strconv.FormatInt(s.cfg.MaxBodyBytes, 10)+" bytes")
	}
	if err != nil {
		return nil, fail.Wrap(err, fail.BadRequest, "read body")
	}
	return body, nil
}

// completionFields are the parts of an OpenAI-style body that routing reads.
type completionFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// serveCompletion answers the OpenAI-style calls.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.requestContext(r)
	defer cancel()
	ctx, span := telemetry.StartSpan(ctx, "caller", attribute.String("path", r.URL.Path))
	defer span.End()
	j, fields, deferred, err := s.completionJob(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	if deferred != nil {
		s.acceptDeferred(ctx, w, deferred, r.Header.Get(HeaderIdempotencyKey))
		return
	}
	s.answer(ctx, w, j, fields.Stream)
}

func (s *Server) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx := telemetry.Extract(r.Context(), r.Header)
	return context.WithTimeout(ctx, s.cfg.RequestTimeout.D())
}

// completionJob reads and checks a completion. It returns overnight work as a
// deferred request instead of a job.
func (s *Server) completionJob(w http.ResponseWriter, r *http.Request) (*job, *completionFields, *wire.DeferredRequest, error) {
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, nil, nil, err
	}
	c, err := s.session.catalog()
	if err != nil {
		return nil, nil, nil, err
	}
	var fields completionFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, nil, nil, fail.Wrap(err, fail.BadRequest, "the body is not the JSON of a completion")
	}
	if c.suspects[xxhash.Sum64(body)] == wire.SuspectState_SUSPECT_STATE_CONVICTED {
		return nil, nil, nil, quarantined()
	}
	m := c.models[fields.Model]
	if m == nil {
		return nil, nil, nil, fail.New(fail.UnknownModel, "no team declares the model "+strconv.Quote(fields.Model))
	}
	class, ok := c.class(m.team, r.Header.Get(HeaderClass))
	if !ok {
		return nil, nil, nil, fail.New(fail.BadRequest, "team "+m.team+" declares no class "+strconv.Quote(r.Header.Get(HeaderClass)))
	}
	noteClass(w, class.Name)
	if by, overnight := class.FinishTime(time.Now()); overnight {
		return nil, nil, &wire.DeferredRequest{Id: uuid.NewString(), Path: r.URL.Path, Model: fields.Model, Body: body, FinishByUnixMs: by.UnixMilli()}, nil
	}
	j, err := newCompletionJob(r.URL.Path, fields.Model, m, body)
	if err != nil {
		return nil, nil, nil, err
	}
	j.template.Priority = class.Priority
	j.template.FirstTokenDeadlineMs = class.FirstTokenMS
	j.template.BetweenTokensMs = class.BetweenTokensMS
	return j, &fields, nil, nil
}

// newCompletionJob returns the job for a body whose model is known.
func newCompletionJob(path, name string, m *model, body []byte) (*job, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, fail.Wrap(err, fail.BadRequest, "the body is not a JSON object")
	}
	j := &job{
		id: uuid.NewString(),
		template: &wire.ForwardRequest{
			Method: http.MethodPost, Path: path, ContentType: "application/json", Model: m.name, Adapter: m.adapter,
			Team: m.team, Idempotent: true, Fingerprint: xxhash.Sum64(body),
		},
		targets: func(c *catalog) []target {
			if current := c.models[name]; current != nil {
				return current.targets
			}
			return nil
		},
	}
	j.body = func(t target) []byte { return completionBody(object, j, t, 0) }
	j.resume = func(t target, tokens int) []byte { return completionBody(object, j, t, tokens) }
	j.prefix = routing.PrefixDigest(name, promptStart(object))
	return j, nil
}

// completionBody returns the caller's body with what the engine needs: the
// name of the resident, the priority, and how many tokens to leave out.
func completionBody(object map[string]json.RawMessage, j *job, t target, resumeFrom int) []byte {
	out := maps.Clone(object)
	out["model"], _ = json.Marshal(endpoint.ServedName(j.template.Model, t.version, j.template.Adapter))
	out["priority"], _ = json.Marshal(j.template.Priority)
	if resumeFrom > 0 {
		// The caller may itself have left out the first tokens.
		var asked int
		_ = json.Unmarshal(object["resume_from"], &asked)
		out["resume_from"], _ = json.Marshal(max(0, asked) + resumeFrom)
	}
	data, _ := json.Marshal(out)
	return data
}

// promptStart returns the part of a body that engines cache by: the prompt or
// the messages.
func promptStart(object map[string]json.RawMessage) string {
	if p := object["prompt"]; len(p) > 0 {
		return string(p)
	}
	return string(object["messages"])
}

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
