// Package fleet holds a gateway's state of the endpoints and chooses the endpoint
// for each request. It does no I/O and reads no clock.
package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"parsleyramp/internal/wire"
)

// Endpoint is one engine or plain service endpoint.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Leaving endpoints are sent no new requests.
	Leaving bool
	// Version is that of its software; empty if it is not known surely.
	Version string
	Slots   int
	Models  map[string]ResidentModel
	// Limited endpoints take PerSecond requests a second from all gateways together.
	Limited   bool
	PerSecond float64
	// hash is that of the ID.
	hash uint64
}

// ResidentModel is a model that is resident on an engine or being loaded.
type ResidentModel struct {
	Version uint32
	// Ready models are loaded and not about to be unloaded; requests may be sent.
	Ready    bool
	Loading  bool
	Adapters map[string]bool
}

// Serves reports whether the endpoint can run a request for the model and
// adapter. An empty model matches every endpoint.
func (e *Endpoint) Serves(model, adapter string) bool {
	if model == "" {
		return true
	}
	m, ok := e.Models[model]
	return ok && m.Ready && (adapter == "" || m.Adapters[adapter])
}

// View is an immutable snapshot of the fleet, made by the control plane's leader
// of a term.
type View struct {
	Term     uint64
	Revision uint64
	// Gateways are all known gateways, Control the addresses of the control replicas.
	Gateways []*wire.Gateway
	Control  []string
	// Endpoints are sorted by ID.
	Endpoints []*Endpoint

	byService map[string][]*Endpoint
	byModel   map[serviceModel][]*Endpoint
	// groupSizes is the number of endpoints of each group.
	groupSizes map[Group]int
}

// serviceModel identifies a model of a service.
type serviceModel struct{ service, model string }

// NewView decodes a complete view.
func NewView(w *wire.FleetView) *View {
	return (&View{Term: w.Term}).apply(w)
}

// Update returns the view with the leader's update applied, or false if the update
// is not newer or is a delta to another view. v may be nil.
func (v *View) Update(w *wire.FleetView) (*View, bool) {
	if v != nil && !newer(w, v) {
		return nil, false
	}
	if w.Since == 0 {
		return NewView(w), true
	}
	if v == nil || v.Term != w.Term || v.Revision != w.Since {
		return nil, false
	}
	return v.apply(w), true
}

// newer reports whether w is newer than the view: it has a later term, or the same
// term and a later revision.
func newer(w *wire.FleetView, v *View) bool {
	return cmp.Or(cmp.Compare(w.Term, v.Term), cmp.Compare(w.Revision, v.Revision)) > 0
}

// apply returns the view with the changes. Unchanged endpoints and gateways are
// shared with the old view.
func (v *View) apply(w *wire.FleetView) *View {
	endpoints := make(map[string]*Endpoint, len(v.Endpoints)+len(w.Endpoints))
	for _, e := range v.Endpoints {
		endpoints[e.ID] = e
	}
	for _, e := range w.Endpoints {
		endpoints[e.Id] = newEndpoint(e)
	}
	for _, id := range w.RemovedEndpoints {
		delete(endpoints, id)
	}
	gateways := make(map[string]*wire.Gateway, len(v.Gateways)+len(w.Gateways))
	for _, g := range v.Gateways {
		gateways[g.Id] = g
	}
	for _, g := range w.Gateways {
		gateways[g.Id] = g
	}
	for _, id := range w.RemovedGateways {
		delete(gateways, id)
	}
	out := &View{Term: w.Term, Revision: w.Revision, Control: w.Control}
	out.Endpoints = sortedValues(endpoints)
	out.Gateways = sortedValues(gateways)
	out.index()
	return out
}

// sortedValues returns the values in the order of their keys.
func sortedValues[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}

func newEndpoint(w *wire.FleetEndpoint) *Endpoint {
	return &Endpoint{
		ID: w.Id, Service: w.Service, Address: w.Address, Domain: w.Domain,
		Leaving: w.Leaving, Version: w.Version, Slots: int(w.Slots), Models: residentModels(w.Models),
		Limited: w.Limited, PerSecond: w.PerSecond, hash: xxhash.Sum64String(w.Id),
	}
}

func residentModels(models []*wire.HeldModel) map[string]ResidentModel {
	out := map[string]ResidentModel{}
	for _, m := range models {
		r := ResidentModel{Version: m.Version, Ready: !m.Loading && !m.Leaving, Loading: m.Loading, Adapters: map[string]bool{}}
		for _, a := range m.Adapters {
			r.Adapters[a] = true
		}
		out[m.Name] = r
	}
	return out
}

// index builds the indexes by service and by model, so that finding the endpoints
// of a model does not scan all endpoints.
func (v *View) index() {
	v.groupSizes = map[Group]int{}
	v.byService, v.byModel = map[string][]*Endpoint{}, map[serviceModel][]*Endpoint{}
	for _, e := range v.Endpoints {
		v.groupSizes[GroupOf(e)]++
		v.byService[e.Service] = append(v.byService[e.Service], e)
		for model := range e.Models {
			k := serviceModel{e.Service, model}
			v.byModel[k] = append(v.byModel[k], e)
		}
	}
}

// Service returns the endpoints of a service, sorted by ID.
func (v *View) Service(name string) []*Endpoint { return v.byService[name] }

// GroupSizes returns the number of endpoints of each group. It must not be changed.
func (v *View) GroupSizes() map[Group]int { return v.groupSizes }

// Endpoint returns the endpoint with the id, or nil.
func (v *View) Endpoint(id string) *Endpoint {
	i, ok := slices.BinarySearchFunc(v.Endpoints, id, func(e *Endpoint, id string) int { return cmp.Compare(e.ID, id) })
	if !ok {
		return nil
	}
	return v.Endpoints[i]
}

// candidates returns the endpoints of the service that hold the model in any
// state, or all endpoints of the service if the model is empty.
func (v *View) candidates(service, model string) []*Endpoint {
	if model == "" {
		return v.byService[service]
	}
	return v.byModel[serviceModel{service, model}]
}
