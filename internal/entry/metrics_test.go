package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/fail"
)

func TestOutcomesAreCountedByDeclaredClass(t *testing.T) {
	reject := func(ran fail.Ran) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			writeError(w, fail.New(fail.Overloaded, "full").WithRan(ran))
		}
	}
	for _, c := range []struct {
		class, outcome string
		handler        http.HandlerFunc
	}{
		{"test-whole", outcomeComplete, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "answer") }},
		{"test-refused", outcomeRejected, reject(fail.RanNo)},
		{"test-failed", outcomeFailed, reject(fail.RanUnknown)},
		{"test-broken", outcomeAborted, func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, "a part")
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(c.outcome, func(t *testing.T) {
			name := `parsleyramp_requests_total{class="` + c.class + `",outcome="` + c.outcome + `"}`
			before := metrics.GetOrCreateCounter(name).Get()
			s := &Server{}
			h := s.trackRequest(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				setRequestClass(w, c.class)
				c.handler(w, r)
			}))
			func() {
				defer func() { _ = recover() }()
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
			}()
			if got := metrics.GetOrCreateCounter(name).Get() - before; got != 1 {
				t.Errorf("%s rose by %d, want 1", name, got)
			}
			if s.inFlight.Load() != 0 {
				t.Error("the request still counts as in flight after the handler returned")
			}
		})
	}
}
