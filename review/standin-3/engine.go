package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a server of the platform. Its handler runs requests; the rest follows the pages.
type engine struct {
	id, service, zone, address string
	slots                      int
	version                    string
	born                       time.Time
	// isModel is set for model engines.
	isModel bool
	onOrder func(o order)

	mu       sync.Mutex
	state    string
	models   map[string]map[string]bool
	busy     bool
	sequence uint64
	server   *http.Server
	handler  http.HandlerFunc
}

type order struct {
	Op, Model, Adapter, Holder string
	Expect                     *uint64
	Token                      uint64
	at                         time.Time
	engine                     string
}

func (e *engine) start() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.serve(l)
	return nil
}

func (e *engine) serve(l net.Listener) {
	e.address = l.Addr().String()
	e.state = "ready"
	e.born = time.Now()
	if e.models == nil {
		e.models = map[string]map[string]bool{}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance"+"-Id", e.id) })
	mux.HandleFunc("POST /hold"+"-take", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"hold":"h-%d"}`, time.Now().UnixNano())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerInstance) != "" && r.Header.Get(headerInstance) != e.id {
			e.reject(w, r, http.StatusMisdirectedRequest)
			return
		}
		if m, _, _ := strings.Cut(r.Header.Get(headerModel), "/"); e.isModel && !e.holds(m) {
			e.reject(w, r, http.StatusMisdirectedRequest)
			return
		}
		e.handler(w, r)
	})
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
}

func (e *engine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.models[model]
	return ok
}

// reject answers that the request has not run.
func (e *engine) reject(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(headerNotRun, "1")
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.WriteHeader(status)
}

// crash closes all connections.
func (e *engine) crash() { _ = e.server.Close() }

func (e *engine) listed() []map[string]any {
	out := []map[string]any{}
	for name, adapters := range e.models {
		all := []string{}
		for a := range adapters {
			all = append(all, a)
		}
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": all})
	}
	return out
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	body := map[string]any{
		"stage": "both", "models": e.listed(), "busy": e.busy, "seq": e.sequence, "queued": 0, "running": 0, "state": e.state,
		"coming": []string{}, "born": e.born.UnixMilli(),
	}
	e.mu.Unlock()
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

const loadTime = 600 * time.Millisecond

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var raw map[string]any
	if json.NewDecoder(r.Body).Decode(&raw) != nil {
		w.WriteHeader(400)
		return
	}
	text := func(k string) string { v, _ := raw[k].(string); return v }
	number := func(k string) float64 { v, _ := raw[k].(float64); return v }
	o := order{Op: text("op"), Model: text("model"), Adapter: text("adapter"), Holder: text("holder"), Token: uint64(number("fencing" + "Token")), at: time.Now(), engine: e.id}
	if _, ok := raw["expect"]; ok {
		x := uint64(number("expect"))
		o.Expect = &x
	}
	if e.onOrder != nil {
		e.onOrder(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Header.Get(headerInstance) != "" && r.Header.Get(headerInstance) != e.id:
		w.WriteHeader(421)
	case e.busy || o.Expect != nil && *o.Expect != e.sequence:
		w.WriteHeader(409)
	case o.Op == "load" && o.Adapter == "" && e.models[o.Model] != nil, o.Op == "load" && o.Adapter != "" && e.models[o.Model][o.Adapter]:
		w.WriteHeader(200)
	case o.Op == "load" && o.Adapter == "":
		e.sequence++
		e.busy = true
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy = false
			e.models[o.Model] = map[string]bool{}
		})
		w.WriteHeader(202)
	case o.Op == "load":
		if e.models[o.Model] == nil {
			w.WriteHeader(421)
			return
		}
		e.sequence++
		e.models[o.Model][o.Adapter] = true
		w.WriteHeader(202)
	case o.Adapter != "":
		e.sequence++
		delete(e.models[o.Model], o.Adapter)
		w.WriteHeader(200)
	default:
		e.sequence++
		delete(e.models, o.Model)
		w.WriteHeader(202)
	}
}

// platformList is the platform's list of engines.
type platformList struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	engines []*engine
}

func newPlatformList(address string) *platformList {
	l, err := net.Listen("tcp4", address)
	must(err)
	p := &platformList{address: address}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.handle)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p
}

func (p *platformList) close() { _ = p.server.Close() }

func (p *platformList) set(engines []*engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = engines
}

func (p *platformList) handle(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	engines := append([]*engine{}, p.engines...)
	all := []map[string]any{}
	p.mu.Unlock()
	for _, e := range engines {
		e.mu.Lock()
		x := map[string]any{
			"id": e.id, "service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": e.state,
			fieldCold: 0, "born": e.born.UnixMilli(),
		}
		if e.isModel {
			x["stage"], x["models"] = "both", e.listed()
		}
		e.mu.Unlock()
		all = append(all, x)
	}
	writeJSON(w, map[string]any{"instances": all, "next": nil})
}
