package load

import (
	"fmt"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/fail"
)

// Shape is the size of one deployment and the models that its clients request.
type Shape struct {
	Name    string
	Domains int
	Entries int
	Engines int
	// EngineAccelerators is how many accelerators one engine has.
	EngineAccelerators int
	// ModelLoads and AdapterLoads are the numbers of concurrent loads that the
	// weight store serves at full speed.
	ModelLoads   int
	AdapterLoads int
	Teams        []Team
	// Classes are the priority classes with their shares of the requests.
	Classes []ClassShare
}

// Team describes one team's section of the desired-state document.
type Team struct {
	Name string
	// Models and AdaptersPerModel are the numbers that the team declares.
	Models           int
	AdaptersPerModel int
}

// ClassShare is a priority class with its share of the requests.
type ClassShare struct {
	desired.Class
	Share float64
}

// Memory of the declared models and adapters, in MiB, and their version.
const (
	modelMB    = 4000
	headroomMB = 1000
	adapterMB  = 20
	// sectionVersion is the version of every declared model and adapter.
	sectionVersion = "1"
)

var (
	counterClass   = desired.Class{Name: "counter", FirstTokenMS: 690, BetweenTokensMS: 34}
	deskClass      = desired.Class{Name: "desk", FirstTokenMS: 3000, BetweenTokensMS: 100, Priority: 10}
	overnightClass = desired.Class{Name: "overnight", FinishBy: "06:00", Priority: 100}
)

// Shapes returns the shapes of the two deployments.
func Shapes() []Shape {
	return []Shape{
		{
			Name: "ranmuthu", Domains: 4, Entries: 8, Engines: 22, EngineAccelerators: 2, ModelLoads: 3, AdapterLoads: 24,
			Teams:   []Team{{"colombo", 10, 6}, {"kandy", 10, 6}},
			Classes: []ClassShare{{counterClass, 0.78}, {deskClass, 0.2}, {overnightClass, 0.02}},
		},
		{
			Name: "kalnins", Domains: 3, Entries: 8, Engines: 21, EngineAccelerators: 2, ModelLoads: 4, AdapterLoads: 32,
			Teams:   []Team{{"contracts", 20, 4}, {"bookings", 10, 4}},
			Classes: []ClassShare{{counterClass, 0.4}, {deskClass, 0.57}, {overnightClass, 0.03}},
		},
	}
}

// ShapeNamed returns the shape with the name.
func ShapeNamed(name string) (Shape, error) {
	for _, s := range Shapes() {
		if s.Name == name {
			return s, nil
		}
	}
	return Shape{}, fail.New(fail.BadRequest, "no shape is named "+name)
}

// Accelerators returns how many accelerators the shape has.
func (s Shape) Accelerators() int { return s.Engines * s.EngineAccelerators }

// Section returns the desired-state section of a team.
func (s Shape) Section(t Team, checksFencing []string) desired.Section {
	out := desired.Section{Team: t.Name, ChecksFencing: checksFencing, Services: []desired.Service{}, Models: []desired.Model{}}
	for m := range t.Models {
		model := desired.Model{Name: modelName(m), Version: sectionVersion, MemoryMB: modelMB, HeadroomMB: headroomMB, Replicas: 2, Adapters: []desired.Adapter{}}
		for a := range t.AdaptersPerModel {
			model.Adapters = append(model.Adapters, desired.Adapter{Name: adapterName(a), Version: sectionVersion, MemoryMB: adapterMB})
		}
		out.Models = append(out.Models, model)
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, c.Class)
	}
	return out
}

func modelName(i int) string   { return fmt.Sprintf("model-%d", i+1) }
func adapterName(i int) string { return fmt.Sprintf("adapter-%d", i+1) }

// servedName is a name that clients request: a model or one of its adapters.
type servedName struct {
	team int
	name string
}

// servedNames returns every name that clients request, in order of popularity.
// Models of different teams alternate, so that each team has popular ones.
func (s Shape) servedNames() []servedName {
	var out []servedName
	for m := 0; ; m++ {
		before := len(out)
		for i, t := range s.Teams {
			if m >= t.Models {
				continue
			}
			name := desired.FullName(t.Name, modelName(m))
			out = append(out, servedName{i, name})
			for a := range t.AdaptersPerModel {
				out = append(out, servedName{i, name + ":" + adapterName(a)})
			}
		}
		if len(out) == before {
			return out
		}
	}
}
