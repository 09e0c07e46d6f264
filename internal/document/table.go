package document

import (
	"slices"
	"strings"
)

// Table finds the route and the workspace of a request. It is immutable.
type Table struct {
	Document *Document
	byHost   map[string][]*Route
	byKey    map[Key]*Workspace
	byName   map[string]*Workspace
}

// NewTable returns the table of a checked document.
func NewTable(d *Document) *Table {
	t := &Table{Document: d, byHost: map[string][]*Route{}, byKey: map[Key]*Workspace{}, byName: map[string]*Workspace{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		t.byName[w.Name] = w
		for _, k := range w.Keys {
			t.byKey[k] = w
		}
	}
	return t
}

// NeedsKeys reports whether requests on routes that are not public need the key of a
// workspace.
func (t *Table) NeedsKeys() bool { return len(t.Document.Workspaces) > 0 }

// WorkspaceOf returns the workspace that holds the key, or nil.
func (t *Table) WorkspaceOf(k Key) *Workspace { return t.byKey[k] }

// Workspace returns the named workspace, or nil.
func (t *Table) Workspace(name string) *Workspace { return t.byName[name] }

// Find returns the route of the host with the longest matching path prefix, or nil.
// A port in host is ignored.
func (t *Table) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the service of the route for a number drawn uniformly from [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	draw *= total
	for _, s := range r.Split {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
