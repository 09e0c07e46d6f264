package entry

import (
	"strings"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/routing"
	"parsleyramp/internal/wire"
)

// target is one endpoint that serves a model, an adapter or a service.
type target struct {
	vm      *wire.Endpoint
	version string
	replica routing.Replica
}

func newTarget(vm *wire.Endpoint, version string) target {
	unreachable := vm.Kind == wire.EndpointKind_ENDPOINT_KIND_ENGINE && !vm.Reachable
	return target{vm: vm, version: version, replica: routing.NewReplica(vm.Id, vm.Owner, vm.Domain, int(vm.Slots), unreachable)}
}

// model is a model or adapter that clients address by one name.
type model struct {
	team    string
	name    string
	adapter string
	targets []target
}

// service is a plain service that a team declares, with its endpoints.
type service struct {
	team    string
	spec    desired.Service
	targets []target
}

// nonIdempotent reports whether the call is declared non-idempotent and so must
// run at most once.
func (s *service) nonIdempotent(method, path string) bool {
	for _, c := range s.spec.NonIdempotent {
		if c.Method == method && c.Path == path {
			return true
		}
	}
	return false
}

// catalog is an immutable index of one view. Request goroutines read it through
// an atomic pointer.
type catalog struct {
	view      *wire.View
	models    map[string]*model
	services  []*service
	classes   map[string][]desired.Class
	endpoints map[string]*wire.Endpoint
	entries   map[string]*wire.EntryVM
	suspects  map[uint64]wire.SuspectState
	ready     map[endpointResident]bool
}

// endpointResident identifies a resident on an endpoint.
type endpointResident struct {
	endpoint string
	resident residentName
}

func newCatalog(view *wire.View) *catalog {
	c := &catalog{
		view:      view,
		models:    map[string]*model{},
		classes:   map[string][]desired.Class{},
		endpoints: map[string]*wire.Endpoint{},
		entries:   map[string]*wire.EntryVM{},
		suspects:  map[uint64]wire.SuspectState{},
		ready:     map[endpointResident]bool{},
	}
	for _, e := range view.Endpoints {
		c.endpoints[e.Id] = e
	}
	for _, e := range view.Entries {
		c.entries[e.Id] = e
	}
	for _, s := range view.Suspects {
		c.suspects[s.Fingerprint] = s.State
	}
	for _, text := range view.Sections {
		if s, err := sectionCache.ParseSection(text.Team, text.Text); err == nil {
			c.addSection(s)
		}
	}
	c.addResidents()
	return c
}

func (c *catalog) addSection(s *desired.Section) {
	c.classes[s.Team] = s.Classes
	for _, m := range s.Models {
		name := desired.FullName(s.Team, m.Name)
		c.models[name] = &model{team: s.Team, name: name}
		for _, a := range m.Adapters {
			c.models[name+":"+a.Name] = &model{team: s.Team, name: name, adapter: a.Name + "@" + a.Version}
		}
	}
	for _, spec := range s.Services {
		svc := &service{team: s.Team, spec: spec}
		for _, e := range c.view.Endpoints {
			if e.Kind == wire.EndpointKind_ENDPOINT_KIND_SERVICE && e.Service == spec.Name && !e.Leaving {
				svc.targets = append(svc.targets, newTarget(e, ""))
			}
		}
		c.services = append(c.services, svc)
	}
}

// addResidents adds to every model and adapter the engines on which it is ready.
// Engines with an old version of the model are included: it serves until the
// control plane drains it, once the declared version is ready on some engine.
func (c *catalog) addResidents() {
	for _, r := range c.view.Residents {
		if r.State == wire.ResidentState_RESIDENT_STATE_READY {
			c.ready[endpointResident{r.Endpoint, residentName{r.Model, r.Version, r.Adapter}}] = true
		}
		name := r.Model
		if r.Adapter != "" {
			adapter, _, _ := strings.Cut(r.Adapter, "@")
			name += ":" + adapter
		}
		m, vm := c.models[name], c.endpoints[r.Endpoint]
		if m == nil || vm == nil || vm.Leaving || r.State != wire.ResidentState_RESIDENT_STATE_READY {
			continue
		}
		if r.Adapter != m.adapter {
			continue
		}
		m.targets = append(m.targets, newTarget(vm, r.Version))
	}
}

// isOwner reports whether the entry owns any endpoint.
func (c *catalog) isOwner(entryID string) bool {
	for _, e := range c.view.Endpoints {
		if e.Owner == entryID {
			return true
		}
	}
	return false
}

// serviceFor returns the service whose declared path is the longest prefix of
// the given path, or nil.
func (c *catalog) serviceFor(path string) *service {
	var best *service
	for _, s := range c.services {
		if strings.HasPrefix(path, s.spec.Path) && (best == nil || len(s.spec.Path) > len(best.spec.Path)) {
			best = s
		}
	}
	return best
}

// class returns the team's class of the given name, or its first class if the
// name is empty. Without a match it returns the zero class, and true only if the
// name is empty.
func (c *catalog) class(team, name string) (desired.Class, bool) {
	for _, cl := range c.classes[team] {
		if name == "" || cl.Name == name {
			return cl, true
		}
	}
	return desired.Class{}, name == ""
}
