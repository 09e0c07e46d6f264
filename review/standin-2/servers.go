package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// work is how long a server works on a request of a plain service.
const work = 30 * time.Millisecond

// arrival is a request that has reached a server.
type arrival struct {
	at      time.Duration
	server  string
	attempt string
	path    string
	ran     bool
}

// arrivals collects the arrivals at all servers of a case.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

// find returns the arrivals that match.
func (a *arrivals) find(matches func(arrival) bool) []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []arrival
	for _, x := range a.all {
		if matches(x) {
			out = append(out, x)
		}
	}
	return out
}

// server is a sound server of a service, or a sound model engine if it has models.
type server struct {
	id, service, zone, address string
	record                     *record
	arrivals                   *arrivals
	born                       time.Time
	http                       *http.Server

	mu       sync.Mutex
	draining bool
	models   map[string]bool
	sequence int
}

// startServer starts a server on a free port of the host. models is nil for a plain service.
func startServer(host, id, service, zone string, models []string, r *record, a *arrivals) (*server, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: l.Addr().String(), record: r, arrivals: a, born: time.Now()}
	if models != nil {
		s.models = map[string]bool{}
		for _, m := range models {
			s.models[m] = true
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("POST /order", s.order)
	mux.HandleFunc("POST /hold-take", s.reserve)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// drain makes the list show the server as draining. It continues to serve.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *server) held() []map[string]any {
	out := []map[string]any{}
	for m := range s.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

// entry returns the server's entry in the list.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]any{
		"id": s.id, "service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6,
		"state": "ready", names.Cold: 0, "born": s.born.UnixMilli(),
	}
	if s.models != nil {
		out["slots"], out["models"], out["stage"] = 32, s.held(), "both"
	}
	if s.draining {
		out["state"] = "draining"
	}
	return out
}

func (s *server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": s.held(), "busy": false, "seq": s.sequence, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 128084,
		"handles": 0, "born": s.born.UnixMilli(),
	})
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter string
		Expect             *int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case r.Header.Get(names.Endpoint) != "" && r.Header.Get(names.Endpoint) != s.id:
		status = http.StatusMisdirectedRequest
	case o.Expect != nil && *o.Expect != s.sequence:
		status = http.StatusConflict
	case o.Adapter != "":
		status = http.StatusBadRequest
	case o.Op == "load" && s.models[o.Model], o.Op == "unload" && !s.models[o.Model]:
		status = http.StatusOK
	case o.Op == "load":
		s.models[o.Model] = true
		s.sequence++
	default:
		delete(s.models, o.Model)
		s.sequence++
	}
	s.record.add("order at %s: %s %s %s answered %d", s.id, o.Op, o.Model, o.Adapter, status)
	w.WriteHeader(status)
}

func (s *server) reserve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{"hold": fmt.Sprint(time.Now().UnixNano())})
}

// serve runs one request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	attempt := r.Header.Get(names.ID)
	w.Header().Set(names.ID, attempt)
	s.mu.Lock()
	ours := r.Header.Get(names.Endpoint) == s.id
	hasModel := s.models == nil || s.models[r.Header.Get(names.Model)]
	s.mu.Unlock()
	ran := ours && hasModel
	s.arrivals.add(arrival{at: s.record.now(), server: s.id, attempt: attempt, path: r.URL.Path, ran: ran})
	s.record.add("attempt %s reaches %s, runs: %v (%s %s, %d bytes)", attempt, s.id, ran, r.Method, r.URL.Path, len(body))
	if !ran {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(work)
	w.Header().Set(names.Seal, "seal."+s.id)
	_, _ = io.WriteString(w, "answer of "+s.id+" to "+attempt)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// liveList is the platform's list of servers.
type liveList struct {
	address string
	http    *http.Server

	mu      sync.Mutex
	servers []*server
	// foreign are entries of other writers, which come first.
	foreign []map[string]any
}

func startLiveList(host string) (*liveList, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	out := &liveList{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", out.serve)
	out.http = &http.Server{Handler: mux}
	go func() { _ = out.http.Serve(l) }()
	return out, nil
}

func (l *liveList) add(s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, s)
}

// find returns the first server of the service, or nil.
func (l *liveList) find(service string) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		if s.service == service {
			return s
		}
	}
	return nil
}

func (l *liveList) addForeign(entry map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreign = append(l.foreign, entry)
}

func (l *liveList) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []map[string]any{}
	entries = append(entries, l.foreign...)
	for _, s := range l.servers {
		entries = append(entries, s.entry())
	}
	writeJSON(w, http.StatusOK, map[string]any{"instances": entries, "next": nil})
}
