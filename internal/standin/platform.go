package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"parsleyramp/internal/livelist"
	"parsleyramp/internal/wait"
)

// LiveList is a stand-in list of live and leaving VMs. It lags.
type LiveList struct {
	mu  sync.Mutex
	lag time.Duration
	// current is what is true; published is what readers see.
	actual    []livelist.VM
	published []livelist.VM
}

// NewLiveList returns a list that shows changes after the lag.
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

// ServeHTTP answers GET with the list; PUT replaces it; POST with ?leaving=ID
// marks a VM as leaving and with ?gone=ID removes it.
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

// PathFetch is where engines ask the weight store for weights.
const PathFetch = "/fetch"

// StoreConfig is the shape of a stand-in weight store.
type StoreConfig struct {
	// LoadsPerSecond bounds the model loads that start in a second.
	LoadsPerSecond float64
	// ModelLoads is how many loads run at once before each becomes slower.
	ModelLoads int
	LoadTime   time.Duration
	// AdapterLoads is how many adapter loads run at once at full speed.
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

// ServeHTTP answers a fetch once the weights would have arrived. Beyond the
// full-speed number of loads each takes longer in proportion.
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
