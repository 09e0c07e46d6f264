package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
)

// Headers that clients send and receive.
const (
	// HeaderClass names the priority class of a request.
	HeaderClass = "Parsleyramp-Class"
	// HeaderRan says whether a request that failed was executed.
	HeaderRan = "Parsleyramp-Ran"
	// HeaderIdempotencyKey is required on non-idempotent calls, which run at most
	// once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderUseEntries lists, while an entry drains, the addresses of the entries
	// to use instead.
	HeaderUseEntries = "Parsleyramp-Use-Entries"
	// HeaderRequestID identifies the request in logs and traces.
	HeaderRequestID = "Parsleyramp-Request"
)

// clientMux returns the handlers for clients.
func (s *Server) clientMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", s.serveEntries)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", s.admit(s.serveCompletion))
	mux.HandleFunc("POST /v1/completions", s.admit(s.serveCompletion))
	mux.HandleFunc("GET /v1/overnight/{id}", s.admit(s.serveDeferred))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", telemetry.MetricsHandler(s.collectMetrics))
	mux.HandleFunc("/", s.admit(s.serveService))
	return s.trackRequest(mux)
}

// trackRequest counts the requests in flight, which a shutdown waits for, bounds
// the time of each request and records its outcome. While the entry drains, a
// response lists the entries to use instead in a header.
func (s *Server) trackRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.requestLimit()))
		if s.draining.Load() {
			w.Header().Set(HeaderUseEntries, strings.Join(s.otherEntries(), ","))
		}
		o := newResponseObserver(w)
		defer o.record()
		next.ServeHTTP(o, r)
		o.returned = true
	})
}

// requestLimit is the longest time from the arrival of a request to the end of its response.
func (s *Server) requestLimit() time.Duration {
	return s.cfg.BodyTimeout.D() + s.cfg.RequestTimeout.D() + s.cfg.WriteTimeout.D()
}

// admit refuses requests that arrive too late in a shutdown to end before the entry does.
func (s *Server) admit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if until := s.admitUntil.Load(); until != nil && time.Now().After(*until) {
			writeError(w, errStopping)
			return
		}
		next(w, r)
	}
}

// otherEntries returns the addresses that clients may use instead of this entry.
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

// entriesResponse lists the entries that a client may use, and for how long it
// may cache the list.
type entriesResponse struct {
	Entries     []entryAddress `json:"entries"`
	KeepSeconds float64        `json:"keep_seconds"`
}

type entryAddress struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// serveEntries lists the addresses of the entries that do not drain. The query
// ?domain= puts the entries of the client's failure domain first.
func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request) {
	c, err := s.session.catalog()
	if err != nil {
		writeError(w, err)
		return
	}
	response := entriesResponse{KeepSeconds: s.cfg.KeepAddresses.D().Seconds(), Entries: []entryAddress{}}
	for _, e := range c.view.Entries {
		leaving := e.Draining || (e.Id == s.cfg.ID && s.draining.Load())
		if e.Live && !leaving {
			response.Entries = append(response.Entries, entryAddress{ID: e.Id, Address: e.CallerAddress, Domain: e.Domain})
		}
	}
	domain := r.URL.Query().Get("domain")
	slices.SortStableFunc(response.Entries, func(a, b entryAddress) int {
		switch {
		case (a.Domain == domain) == (b.Domain == domain):
			return 0
		case a.Domain == domain:
			return -1
		}
		return 1
	})
	writeJSON(w, http.StatusOK, response)
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

// readBody reads the request body within BodyTimeout and MaxBodyBytes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.cfg.BodyTimeout.D()))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fail.Wrap(err, fail.BodyTooLarge, "the body exceeds the limit of "+strconv.FormatInt(s.cfg.MaxBodyBytes, 10)+" bytes")
	}
	if errors.Is(err, transport.ErrBodiesFull) {
		return nil, transport.ErrBodiesFull.WithRetryAfter(defaultRetryAfter)
	}
	if err != nil {
		return nil, fail.Wrap(err, fail.BadRequest, "cannot read the request body")
	}
	return body, nil
}

// requestContext returns the context of a client's request, which ends after
// RequestTimeout or when a shutdown ends the requests in flight.
func (s *Server) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := endingWith(telemetry.Extract(r.Context(), r.Header), s.serving)
	ctx, cancelTimeout := context.WithTimeout(ctx, s.cfg.RequestTimeout.D())
	return ctx, func() {
		cancelTimeout()
		cancel()
	}
}
