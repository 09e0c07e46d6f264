package standin

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fetch sends n concurrent fetches and returns the time until the last response.
func fetch(s *Store, kind string, n int) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { call(s, http.MethodPost, PathFetch+"?kind="+kind, nil) })
	}
	wg.Wait()
	return time.Since(start)
}

func TestStoreLimitsStartRateAndThroughput(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name, kind string
		cfg        StoreConfig
		n          int
		want       time.Duration
	}{
		{"one load", "model", StoreConfig{LoadsPerSecond: 2, ModelLoads: 2, LoadTime: second}, 1, second},
		{"loads start at the rate", "model", StoreConfig{LoadsPerSecond: 2, ModelLoads: 100, LoadTime: second}, 5, 2*second + second},
		{"beyond full speed each takes longer in proportion", "model", StoreConfig{ModelLoads: 2, LoadTime: second}, 6, 3 * second},
		{"adapters at full speed", "adapter", StoreConfig{LoadsPerSecond: 1, AdapterLoads: 4, AdapterLoadTime: second}, 4, second},
		{"adapters beyond full speed", "adapter", StoreConfig{LoadsPerSecond: 1, AdapterLoads: 4, AdapterLoadTime: second}, 8, 2 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewStore(c.cfg)
				if got := fetch(s, c.kind, c.n); got != c.want {
					t.Fatalf("%d loads took %s, want %s", c.n, got, c.want)
				}
				if got := fetch(s, c.kind, 1); got > second+second/2 {
					t.Fatalf("a single load afterwards took %s, want 1.5s at most", got)
				}
			})
		})
	}
}
