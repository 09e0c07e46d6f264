package gateway

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/document"
)

// workspaceOutcome names a counter.
type workspaceOutcome struct{ workspace, outcome string }

// workspaceCounts counts the requests of clients by workspace and outcome. It forgets those of
// workspaces that are no longer declared, so that the number of counters stays bounded. Its
// zero value is empty. It is safe for concurrent use.
type workspaceCounts struct {
	mu     sync.Mutex
	counts map[workspaceOutcome]uint64
}

// countByWorkspace counts the request, unless it has no declared workspace or another
// gateway, which counts it, relays it here.
func (q *request) countByWorkspace(outcome string) {
	name := q.workspaceName()
	if q.hop != nil || q.g.table.Load().Workspace(name) == nil {
		return
	}
	q.g.workspaces.add(workspaceOutcome{name, outcome})
}

func (c *workspaceCounts) add(o workspaceOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[workspaceOutcome]uint64{}
	}
	c.counts[o]++
}

// retain drops the counts of all but the declared workspaces.
func (c *workspaceCounts) retain(declared []document.Workspace) {
	names := make(map[string]bool, len(declared))
	for i := range declared {
		names[declared[i].Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for o := range c.counts {
		if !names[o.workspace] {
			delete(c.counts, o)
		}
	}
}

// collect adds the counters to the set.
func (c *workspaceCounts) collect(set *metrics.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for o, n := range c.counts {
		name := "parsleyramp_gateway_workspace_requests_total{" + metricLabel("workspace", o.workspace) + `,outcome="` + o.outcome + `"}`
		set.GetOrCreateCounter(name).Set(n)
	}
}
