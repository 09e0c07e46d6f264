package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
)

// Service is a stand-in plain service that counts the executions of each call.
type Service struct {
	id     string
	faults faultInjector
	mux    *http.ServeMux
	mu     sync.Mutex
	runs   map[string]int
	// runLog receives a line for each execution, so that counts survive a restart.
	runLog *os.File
}

// ServiceResponse is the response of a stand-in service.
type ServiceResponse struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Runs is the number of executions of calls with this method, path and body.
	Runs int `json:"runs"`
}

// NewService returns a stand-in service.
func NewService(id string) *Service {
	s := &Service{id: id, mux: http.NewServeMux(), runs: map[string]int{}}
	s.mux.Handle(PathFaults, &s.faults)
	s.mux.HandleFunc("GET /standin/runs", s.serveRuns)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// RecordRuns counts the executions recorded in the file and appends each new one
// to it.
func (s *Service) RecordRuns(path string) error {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fail.Wrap(err, fail.StorageFailed, "read the file of recorded runs")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for line := range strings.Lines(string(data)) {
		s.runs[strings.TrimSuffix(line, "\n")]++
	}
	s.runLog, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fail.Wrap(err, fail.StorageFailed, "open the file of recorded runs")
	}
	return nil
}

// ServeHTTP serves any call, and the stand-in's own paths.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != PathFaults {
		s.faults.waitWhileFrozen(r)
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) { s.faults.set(f) }

// Runs returns the number of executions of calls with this method, path and body.
func (s *Service) Runs(method, path, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[method+" "+path+" "+body]
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	data, _ := json.Marshal(s.runs)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	key := r.Method + " " + r.URL.Path + " " + string(body)
	s.runs[key]++
	if s.runLog != nil {
		_, _ = s.runLog.WriteString(key + "\n")
	}
	response := ServiceResponse{Service: s.id, Path: r.URL.Path, Body: string(body), Runs: s.runs[key]}
	s.mu.Unlock()
	if s.faults.consume(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(endpoint.HeaderRequestID, r.Header.Get(endpoint.HeaderRequestID))
	writeJSON(w, response)
}
