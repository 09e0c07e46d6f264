package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/fail"
)

// errorResponse is the JSON body of every error response.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         fail.Code `json:"code"`
	Message      string    `json:"message"`
	Ran          fail.Ran  `json:"ran"`
	RetryAfterMS int64     `json:"retry_after_ms,omitempty"`
}

// writeError sends an error response, and counts it by code and outcome.
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
	_ = json.NewEncoder(w).Encode(errorResponse{errorDetail{Code: f.Code, Message: f.Message, Ran: f.Ran, RetryAfterMS: f.RetryAfter.Milliseconds()}})
}
