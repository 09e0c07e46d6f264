// Package fleet holds what a gateway knows of the endpoints and decides where
// a request goes. It does no I/O and reads no clock.
package fleet

import (
	"cmp"

	"parsleyramp/internal/wire"
)

// Endpoint is one engine or plain service endpoint.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Leaving endpoints get no new requests.
	Leaving bool
	Slots   int
	Models  map[string]Held
}

// Held is a model that an engine holds.
type Held struct {
	Version uint32
	// Ready models are loaded and stay; requests may be sent.
	Ready    bool
	Loading  bool
	Adapters map[string]bool
}

// Serves reports whether the endpoint can run a request for the model and
// adapter. An empty model asks for any.
func (e *Endpoint) Serves(model, adapter string) bool {
	if model == "" {
		return true
	}
	h, ok := e.Models[model]
	return ok && h.Ready && (adapter == "" || h.Adapters[adapter])
}

// View is an immutable picture of the fleet, made by the control leader of a
// term or, while none answers, by the gateway itself.
type View struct {
	Term     uint64
	Revision uint64
	// Gateways are all gateways known, Control the control replicas' addresses.
	Gateways  []*wire.Gateway
	Control   []string
	Endpoints []*Endpoint

	byService map[string][]*Endpoint
}

// NewView decodes a view.
func NewView(w *wire.FleetView) *View {
	v := &View{Term: w.Term, Revision: w.Revision, Gateways: w.Gateways, Control: w.Control, byService: map[string][]*Endpoint{}}
	for _, e := range w.Endpoints {
		v.add(&Endpoint{
			ID: e.Id, Service: e.Service, Address: e.Address, Domain: e.Domain,
			Leaving: e.Leaving, Slots: int(e.Slots), Models: heldModels(e.Models),
		})
	}
	return v
}

func heldModels(models []*wire.HeldModel) map[string]Held {
	out := map[string]Held{}
	for _, m := range models {
		h := Held{Version: m.Version, Ready: !m.Loading && !m.Leaving, Loading: m.Loading, Adapters: map[string]bool{}}
		for _, a := range m.Adapters {
			h.Adapters[a] = true
		}
		out[m.Name] = h
	}
	return out
}

func (v *View) add(e *Endpoint) {
	v.Endpoints = append(v.Endpoints, e)
	v.byService[e.Service] = append(v.byService[e.Service], e)
}

// Service returns the endpoints of a service.
func (v *View) Service(name string) []*Endpoint { return v.byService[name] }

// Newer reports whether the view replaces the other one. A later term wins;
// views of one term grow in revision.
func (v *View) Newer(old *View) bool {
	return old == nil || cmp.Or(cmp.Compare(v.Term, old.Term), cmp.Compare(v.Revision, old.Revision)) > 0
}
