package entry

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/quarantine"
	"parsleyramp/internal/routing"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/wire"
)

// completionFields are the fields of an OpenAI-style request body that the entry
// uses.
type completionFields struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// serveCompletion serves the OpenAI-style completion calls.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := s.requestContext(r)
	defer cancel()
	ctx, span := telemetry.StartSpan(ctx, "caller", attribute.String("path", r.URL.Path))
	defer span.End()
	j, fields, deferred, err := s.parseCompletion(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	if deferred != nil {
		s.submitDeferred(ctx, w, deferred, r.Header.Get(HeaderIdempotencyKey))
		return
	}
	s.respond(ctx, w, j, fields.Stream)
}

// parseCompletion reads and validates a completion request. If its class defers
// requests, it returns a deferred request instead of a job.
func (s *Server) parseCompletion(w http.ResponseWriter, r *http.Request) (*job, *completionFields, *wire.DeferredRequest, error) {
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
		return nil, nil, nil, fail.Wrap(err, fail.BadRequest, "the body is not a JSON completion request")
	}
	if c.suspects[xxhash.Sum64(body)] == wire.SuspectState_SUSPECT_STATE_CONVICTED {
		return nil, nil, nil, quarantine.NewError()
	}
	m := c.models[fields.Model]
	if m == nil {
		return nil, nil, nil, fail.New(fail.UnknownModel, "no team declares the model "+strconv.Quote(fields.Model))
	}
	class, ok := c.class(m.team, r.Header.Get(HeaderClass))
	if !ok {
		return nil, nil, nil, fail.New(fail.BadRequest, "team "+m.team+" declares no class "+strconv.Quote(r.Header.Get(HeaderClass)))
	}
	setRequestClass(w, class.Name)
	if by, isDeferred := class.FinishTime(time.Now()); isDeferred {
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

// newCompletionJob returns the job for a request body whose model was looked up.
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
	j.prefixDigest = routing.PrefixDigest(name, promptJSON(object))
	return j, nil
}

// completionBody returns the client's body with the fields that the engine needs:
// the name of the resident, the priority, and the number of tokens to skip.
func completionBody(object map[string]json.RawMessage, j *job, t target, resumeFrom int) []byte {
	out := maps.Clone(object)
	out["model"], _ = json.Marshal(endpoint.ServedName(j.template.Model, t.version, j.template.Adapter))
	out["priority"], _ = json.Marshal(j.template.Priority)
	if resumeFrom > 0 {
		// The client may itself have requested to skip the first tokens.
		var requested int
		_ = json.Unmarshal(object["resume_from"], &requested)
		out["resume_from"], _ = json.Marshal(max(0, requested) + resumeFrom)
	}
	data, _ := json.Marshal(out)
	return data
}

// promptJSON returns the part of a body that determines the engine's prefix cache
// hits: the prompt or the messages.
func promptJSON(object map[string]json.RawMessage) string {
	if p := object["prompt"]; len(p) > 0 {
		return string(p)
	}
	return string(object["messages"])
}
