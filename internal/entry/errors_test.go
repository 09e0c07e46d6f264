package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"parsleyramp/internal/buffers"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// clientHandler returns the client handlers of an entry that serves one section, or
// of an entry without a lease if the section is empty.
func clientHandler(section string, maxBody int64) http.Handler {
	start := time.Now()
	cfg := DefaultSettings()
	cfg.ID, cfg.MaxBodyBytes = "entry-1", maxBody
	s := &Server{cfg: cfg, serving: context.Background()}
	s.answers = buffers.NewBudget(maxAllAnswerBytes)
	s.session = &session{cfg: cfg, clock: func() time.Duration { return time.Since(start) }}
	s.dispatcher = newDispatcher(s.session, nil, nil, nil, 1)
	if section != "" {
		view := &wire.View{Revision: 1, Sections: []*wire.Section{{Team: "desk", Text: []byte(section)}}}
		s.session.leased.Store(&leasedCatalog{catalog: newCatalog(view), until: time.Hour})
	}
	return s.clientMux()
}

// TestRejectionsHaveCodeAndRan sends requests that cannot be served. Every response
// is JSON with a code and a message that names the fault, and states that the
// request did not run. Only for an expired key it is unknown whether an earlier
// request ran.
func TestRejectionsHaveCodeAndRan(t *testing.T) {
	const section = `{"team":"desk","models":[{"name":"note","version":"1","memory_mb":1}],
		"services":[{"name":"ledger","path":"/ledger/","non_idempotent":[{"method":"POST","path":"/ledger/payouts"}]}],
		"classes":[{"name":"counter","first_token_ms":690}]}`
	oldKey := uuid.Must(uuid.Parse("01890a5d-ac96-774b-bcce-b302099a8057")).String()
	const chat, payouts = "/v1/chat/completions", "/ledger/payouts"
	tests := []struct {
		name, section, path, body string
		header                    http.Header
		status                    int
		code                      fail.Code
		inMessage                 string
		ran                       fail.Ran
	}{
		{"bad JSON", section, chat, `{"model":`, nil, 400, fail.BadRequest, "JSON", fail.RanNo},
		{"JSON of another kind", section, chat, `[1]`, nil, 400, fail.BadRequest, "JSON", fail.RanNo},
		{"unknown model", section, chat, `{"model":"desk/other"}`, nil, 404, fail.UnknownModel, "desk/other", fail.RanNo},
		{"no model", section, chat, `{}`, nil, 404, fail.UnknownModel, `""`, fail.RanNo},
		{"unknown class", section, chat, `{"model":"desk/note"}`, http.Header{HeaderClass: {"soon"}}, 400, fail.BadRequest, "soon", fail.RanNo},
		{"body over the limit", section, chat, strings.Repeat("x", 300), nil, 413, fail.BodyTooLarge, "256", fail.RanNo},
		{"no endpoint", section, chat, `{"model":"desk/note"}`, nil, 503, fail.NoReplica, "endpoint", fail.RanNo},
		{"missing key", section, payouts, `{}`, nil, 400, fail.MissingKey, HeaderIdempotencyKey, fail.RanNo},
		{"key of another form", section, payouts, `{}`, http.Header{HeaderIdempotencyKey: {"4711"}}, 400, fail.BadRequest, "UUID", fail.RanNo},
		{"key past its retention", section, payouts, `{}`, http.Header{HeaderIdempotencyKey: {oldKey}}, 422, fail.KeyExpired, "older", fail.RanUnknown},
		{"unknown path", section, "/other", `{}`, nil, 404, fail.UnknownPath, "/other", fail.RanNo},
		{"no lease", "", chat, `{"model":"desk/note"}`, nil, 503, fail.NoLease, "another entry", fail.RanNo},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body))
			for k, v := range tt.header {
				r.Header[k] = v
			}
			w := httptest.NewRecorder()
			clientHandler(tt.section, 256).ServeHTTP(w, r)
			var got errorResponse
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatalf("%s: %v", w.Body, err)
			}
			if w.Code != tt.status || got.Error.Code != tt.code || !strings.Contains(got.Error.Message, tt.inMessage) {
				t.Fatalf("got %d %+v", w.Code, got.Error)
			}
			if got.Error.Ran != tt.ran || w.Header().Get(HeaderRan) != string(tt.ran) {
				t.Fatalf("body has ran %q, header %q", got.Error.Ran, w.Header().Get(HeaderRan))
			}
		})
	}
}
