package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"parsleyramp/internal/livelist"
	"parsleyramp/internal/wait"
)

// LiveList is a stand-in list of live and leaving VMs whose changes become
// visible after a lag.
type LiveList struct {
	mu  sync.Mutex
	lag time.Duration
	// actual is the current list; published is the list that readers see.
	actual    []livelist.VM
	published []livelist.VM
}

// NewLiveList returns a list whose changes become visible after the lag.
func NewLiveList(vms []livelist.VM, lag time.Duration) *LiveList {
	return &LiveList{lag: lag, actual: vms, published: vms}
}

// Set replaces the list; readers see it after the lag.
func (l *LiveList) Set(vms []livelist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actual = vms
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.published = vms
	})
}

// ServeHTTP replaces the list on PUT. On POST it marks the VM ?leaving=ID as
// leaving and removes the VM ?gone=ID. It responds with the published list.
func (l *LiveList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		var vms []livelist.VM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(vms)
	case http.MethodPost:
		l.Set(l.withChange(r.URL.Query().Get("leaving"), r.URL.Query().Get("gone")))
	}
	l.mu.Lock()
	vms := l.published
	l.mu.Unlock()
	writeJSON(w, vms)
}

func (l *LiveList) withChange(leaving, gone string) []livelist.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []livelist.VM
	for _, vm := range l.actual {
		if vm.ID == gone {
			continue
		}
		if vm.ID == leaving {
			vm.State = livelist.Leaving
		}
		out = append(out, vm)
	}
	return out
}

// PathFetch is the path at which engines fetch weights from the weight store.
const PathFetch = "/fetch"

// StoreConfig configures a stand-in weight store.
type StoreConfig struct {
	// LoadsPerSecond limits the rate at which model loads start; zero is no limit.
	LoadsPerSecond float64
	// ModelLoads is the number of concurrent model loads served at full speed.
	ModelLoads int
	LoadTime   time.Duration
	// AdapterLoads is the number of concurrent adapter loads served at full speed.
	AdapterLoads    int
	AdapterLoadTime time.Duration
}

// Store is a stand-in weight store.
type Store struct {
	cfg StoreConfig

	mu           sync.Mutex
	nextStart    time.Time
	modelLoads   int
	adapterLoads int
}

// NewStore returns a stand-in weight store.
func NewStore(cfg StoreConfig) *Store { return &Store{cfg: cfg} }

// ServeHTTP responds to a fetch when the transfer of the weights would be done.
// Beyond the number of loads served at full speed, the duration of each grows in
// proportion to the number of concurrent loads.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("kind") == "adapter" {
		s.transfer(r, &s.adapterLoads, s.cfg.AdapterLoads, s.cfg.AdapterLoadTime)
	} else {
		s.waitForRate(r)
		s.transfer(r, &s.modelLoads, s.cfg.ModelLoads, s.cfg.LoadTime)
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Store) waitForRate(r *http.Request) {
	if s.cfg.LoadsPerSecond <= 0 {
		return
	}
	s.mu.Lock()
	start := s.nextStart
	if now := time.Now(); start.Before(now) {
		start = now
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.cfg.LoadsPerSecond))
	s.mu.Unlock()
	wait.For(r.Context(), time.Until(start))
}

func (s *Store) transfer(r *http.Request, inFlight *int, fullSpeedLoads int, duration time.Duration) {
	s.mu.Lock()
	*inFlight++
	if fullSpeedLoads > 0 && *inFlight > fullSpeedLoads {
		duration = duration * time.Duration(*inFlight) / time.Duration(fullSpeedLoads)
	}
	s.mu.Unlock()
	wait.For(r.Context(), duration)
	s.mu.Lock()
	*inFlight--
	s.mu.Unlock()
}
