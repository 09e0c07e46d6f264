package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"parsleyramp/internal/fail"
)

// Arrival is one scheduled request.
type Arrival struct {
	Index int
	// At is the scheduled time, counted from the start of the run.
	At        time.Duration
	Class     ClassShare
	Model     string
	Prompt    string
	MaxTokens int
	// Client is the index of the simulated client that sends the request.
	Client int
}

// Scenario describes how the demand changes during a run.
type Scenario struct {
	Name string
	// rate returns the factor of the base rate at a fraction of the run.
	rate func(at float64) float64
	// focus returns the share of requests for the focused models at a fraction
	// of the run.
	focus func(at float64) float64
	// peak is the maximum of rate.
	peak float64
}

// Parameters of the scenarios. A burst lasts from burstStart to burstEnd, as
// fractions of the run; rates are factors of the base rate.
const (
	burstStart = 1.0 / 3
	burstEnd   = 2.0 / 3
	marketRate = 2.5
	waveRate   = 2.2
	// marketFocus and waveFocus are the maximum shares of requests for the focused
	// models, which are the focusedModels least popular ones.
	marketFocus   = 0.6
	waveFocus     = 0.7
	focusedModels = 3
)

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

func during(v, otherwise float64) func(float64) float64 {
	return func(at float64) float64 {
		if at >= burstStart && at < burstEnd {
			return v
		}
		return otherwise
	}
}

// wave rises from base to peak and falls again over the run.
func wave(base, peak float64) func(float64) float64 {
	return func(at float64) float64 { return base + (peak-base)*(1-math.Cos(2*math.Pi*at))/2 }
}

// Scenarios returns every scenario. The demand of engine-crash and domain-loss is
// steady; the program that runs the load injects the fault.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", rate: constant(1), focus: constant(0), peak: 1},
		{Name: "market-day", rate: during(marketRate, 1), focus: during(marketFocus, 0), peak: marketRate},
		{Name: "festival", rate: wave(1, waveRate), focus: wave(0, waveFocus), peak: waveRate},
		{Name: "engine-crash", rate: constant(1), focus: constant(0), peak: 1},
		{Name: "domain-loss", rate: constant(1), focus: constant(0), peak: 1},
	}
}

// ScenarioNamed returns the scenario with the name.
func ScenarioNamed(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fail.New(fail.BadRequest, "no scenario is named "+name)
}

// Demand holds the parameters of a plan.
type Demand struct {
	Shape    Shape
	Scenario Scenario
	// Rate is the base rate in requests a second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Clients  int
	// MaxTokens is the mean length of a response.
	MaxTokens int
}

const (
	// zipfExponent makes a few models popular and most of them rare.
	zipfExponent = 0.9
	// promptGroups is the number of distinct prompt prefixes.
	promptGroups = 16
)

// Plan samples the arrivals of an inhomogeneous Poisson process by thinning
// (Lewis and Shedler, 1979). The same demand always gives the same arrivals.
func Plan(d Demand) []Arrival {
	rng := rand.New(rand.NewPCG(d.Seed, 2))
	sample := newSampler(d.Shape)
	peak := d.Rate * d.Scenario.peak
	var out []Arrival
	for at := 0.0; ; {
		at += rng.ExpFloat64() / peak
		progress := at / d.Duration.Seconds()
		if progress >= 1 {
			return out
		}
		if rng.Float64()*peak > d.Rate*d.Scenario.rate(progress) {
			continue
		}
		a := Arrival{
			Index: len(out), At: time.Duration(at * float64(time.Second)), Class: sample.class(rng),
			Model: sample.name(rng, d.Scenario.focus(progress)), Client: rng.IntN(d.Clients),
			MaxTokens: max(1, d.MaxTokens/2+rng.IntN(d.MaxTokens+1)),
		}
		a.Prompt = prompt(d.Seed, a.Index, rng.IntN(promptGroups))
		out = append(out, a)
	}
}

// prompt returns a text that shares its prefix with the other requests of its
// group and is unique as a whole.
func prompt(seed uint64, index, group int) string {
	return fmt.Sprintf("you draft notes for the desk of group %d please answer request %d-%d with the history of the last twelve months in mind", group, seed, index)
}

// sampler samples classes and model names by their weights.
type sampler struct {
	classes []ClassShare
	names   []servedName
	// cumulative holds the running sums of the names' weights.
	cumulative []float64
}

func newSampler(s Shape) *sampler {
	p := &sampler{classes: s.Classes, names: s.servedNames()}
	sum := 0.0
	for rank := range p.names {
		sum += math.Pow(float64(rank+1), -zipfExponent)
		p.cumulative = append(p.cumulative, sum)
	}
	return p
}

func (p *sampler) class(rng *rand.Rand) ClassShare {
	at := rng.Float64()
	for _, c := range p.classes {
		if at -= c.Share; at < 0 {
			return c
		}
	}
	return p.classes[0]
}

// name samples a model name. With probability focus it is one of the focused
// models, which are the least popular otherwise.
func (p *sampler) name(rng *rand.Rand, focus float64) string {
	if rng.Float64() < focus {
		return p.names[len(p.names)-1-rng.IntN(min(focusedModels, len(p.names)))].name
	}
	at := rng.Float64() * p.cumulative[len(p.cumulative)-1]
	for i, c := range p.cumulative {
		if at < c {
			return p.names[i].name
		}
	}
	return p.names[0].name
}
