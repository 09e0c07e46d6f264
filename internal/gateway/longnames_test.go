package gateway

import (
	"strings"
	"testing"

	"parsleyramp/internal/document"
)

// TestModelsWithLongNamesAreNotRemembered guards against clients that take a gateway's memory with names of models.
func TestModelsWithLongNamesAreNotRemembered(t *testing.T) {
	g := newTestGateway(t, nonIdempotent, document.Service{Engine: &document.Engine{}})
	address := serveGateway(t, g)
	resp, text, err := call(t, t.Context(), address, "Model", strings.Repeat("m", maxNameBytes+1))
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("response %v, body %q, error %v, want status 503", resp, text, err)
	}
	g.demand.mu.Lock()
	defer g.demand.mu.Unlock()
	g.modelRequests.mu.Lock()
	defer g.modelRequests.mu.Unlock()
	if n := len(g.demand.targets) + len(g.demand.sums) + len(g.modelRequests.cached); n != 0 {
		t.Errorf("%d entries of tables hold the name, want none", n)
	}
}
