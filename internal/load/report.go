package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"parsleyramp/internal/fail"
)

// Quantiles holds quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// ClassReport holds the results of one class. Attained counts requests within
// the targets of the class.
type ClassReport struct {
	Name            string    `json:"name"`
	Offered         int       `json:"offered"`
	Complete        int       `json:"whole"`
	Attained        int       `json:"attained"`
	FirstTokenMS    Quantiles `json:"first_token_ms"`
	BetweenTokensMS Quantiles `json:"between_tokens_ms"`
}

// FailureReport counts the attempts of a class that were rejected or broke, by
// failure code and by whether they ran.
type FailureReport struct {
	Class string `json:"class"`
	Code  string `json:"code"`
	Ran   string `json:"ran"`
	Count int    `json:"count"`
}

// SecondReport holds the results of the requests scheduled in one second.
// Rejected counts requests that certainly did not run, Broken those that ran or
// may have run without a complete response.
type SecondReport struct {
	Offered         int     `json:"offered"`
	Attained        int     `json:"attained"`
	Rejected        int     `json:"refused"`
	Broken          int     `json:"broken"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
}

// CurvePoint is one point of the distribution of the time to first token.
type CurvePoint struct {
	Quantile float64 `json:"quantile"`
	MS       float64 `json:"ms"`
}

// curveQuantiles are the percentiles that a report contains.
var curveQuantiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}

// Mark is an event during the run, such as a fault.
type Mark struct {
	AtSeconds float64 `json:"at_seconds"`
	Text      string  `json:"text"`
}

// DeferredReport counts deferred requests.
type DeferredReport struct {
	Accepted int `json:"accepted"`
	// Done counts requests that got the expected response, Wrong those that got a
	// different one.
	Done  int `json:"done"`
	Wrong int `json:"wrong"`
}

// Report is the result of a run.
type Report struct {
	Shape           string  `json:"shape"`
	Scenario        string  `json:"scenario"`
	Policy          string  `json:"policy,omitempty"`
	Seed            uint64  `json:"seed"`
	RatePerSecond   float64 `json:"rate_per_second"`
	DurationSeconds float64 `json:"duration_seconds"`
	Accelerators    int     `json:"accelerators"`

	Offered  int `json:"offered"`
	Complete int `json:"whole"`
	Attained int `json:"attained"`
	// Failed counts requests without a complete response after their retries.
	Failed int `json:"failed"`
	// Mismatched counts responses that ended as if complete but were not the
	// expected ones.
	Mismatched    int     `json:"foreign"`
	Retries       int     `json:"retries"`
	Tokens        int     `json:"tokens"`
	AttainedShare float64 `json:"attained_share"`
	// AttainedPerAcceleratorSecond is the rate of requests within their targets
	// per accelerator (goodput).
	AttainedPerAcceleratorSecond float64         `json:"attained_per_accelerator_second"`
	FirstTokenMS                 Quantiles       `json:"first_token_ms"`
	BetweenTokensMS              Quantiles       `json:"between_tokens_ms"`
	Classes                      []ClassReport   `json:"classes"`
	FailedAttempts               []FailureReport `json:"refusals"`
	Deferred                     DeferredReport  `json:"overnight"`
	// GeneratorLateMS is the longest delay between a request's scheduled time and
	// its sending.
	GeneratorLateMS float64        `json:"generator_late_ms"`
	FirstTokenCurve []CurvePoint   `json:"first_token_curve"`
	Timeline        []SecondReport `json:"timeline"`
	Marks           []Mark         `json:"marks,omitempty"`
}

// ReadReport reads a report from a JSON file.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail.Wrap(err, fail.BadRequest, "read report")
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fail.Wrap(err, fail.BadRequest, path)
	}
	return &r, nil
}

// WriteJSON writes the report to a file as indented JSON.
func (r *Report) WriteJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fail.Wrap(err, fail.Internal, "encode report")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "write report")
	}
	return nil
}

// title describes the run by its parameters.
func (r *Report) title() string {
	t := fmt.Sprintf("%s, %s, %g requests/s for %s, seed %d", r.Shape, r.Scenario, r.RatePerSecond, time.Duration(r.DurationSeconds*float64(time.Second)), r.Seed)
	if r.Policy != "" {
		t += ", routing " + r.Policy
	}
	return t
}

// figure is one named value of a report.
type figure struct {
	name  string
	value func(*Report) float64
	// format is the fmt verb for the value.
	format string
}

var figures = []figure{
	{"offered", func(r *Report) float64 { return float64(r.Offered) }, "%.0f"},
	{"whole answers", func(r *Report) float64 { return float64(r.Complete) }, "%.0f"},
	{"within targets", func(r *Report) float64 { return float64(r.Attained) }, "%.0f"},
	{"share within targets", func(r *Report) float64 { return r.AttainedShare }, "%.4f"},
	{"within targets per accelerator and second", func(r *Report) float64 { return r.AttainedPerAcceleratorSecond }, "%.3f"},
	{"failed after retries", func(r *Report) float64 { return float64(r.Failed) }, "%.0f"},
	{"not the caller's own whole answer", func(r *Report) float64 { return float64(r.Mismatched) }, "%.0f"},
	{"retries", func(r *Report) float64 { return float64(r.Retries) }, "%.0f"},
	{"first token p50 ms", func(r *Report) float64 { return r.FirstTokenMS.P50 }, "%.1f"},
	{"first token p95 ms", func(r *Report) float64 { return r.FirstTokenMS.P95 }, "%.1f"},
	{"first token p99 ms", func(r *Report) float64 { return r.FirstTokenMS.P99 }, "%.1f"},
	{"between tokens p50 ms", func(r *Report) float64 { return r.BetweenTokensMS.P50 }, "%.1f"},
	{"between tokens p95 ms", func(r *Report) float64 { return r.BetweenTokensMS.P95 }, "%.1f"},
	{"between tokens p99 ms", func(r *Report) float64 { return r.BetweenTokensMS.P99 }, "%.1f"},
	{"overnight accepted", func(r *Report) float64 { return float64(r.Deferred.Accepted) }, "%.0f"},
	{"overnight done", func(r *Report) float64 { return float64(r.Deferred.Done) }, "%.0f"},
	{"overnight wrong", func(r *Report) float64 { return float64(r.Deferred.Wrong) }, "%.0f"},
	{"generator late ms", func(r *Report) float64 { return r.GeneratorLateMS }, "%.1f"},
}

func (f figure) text(r *Report) string { return fmt.Sprintf(f.format, f.value(r)) }

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintln(w, r.title())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range figures {
		fmt.Fprintf(t, "%s\t%s\n", f.name, f.text(r))
	}
	fmt.Fprintln(t, "\nCLASS\tOFFERED\tWHOLE\tWITHIN\tFIRST P50\tP95\tP99\tBETWEEN P50\tP95\tP99")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", c.Name, c.Offered, c.Complete, c.Attained,
			c.FirstTokenMS.P50, c.FirstTokenMS.P95, c.FirstTokenMS.P99, c.BetweenTokensMS.P50, c.BetweenTokensMS.P95, c.BetweenTokensMS.P99)
	}
	if len(r.FailedAttempts) > 0 {
		fmt.Fprintln(t, "\nREFUSED OR BROKEN\tCODE\tRAN\tATTEMPTS")
	}
	for _, f := range r.FailedAttempts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", f.Class, f.Code, f.Ran, f.Count)
	}
	t.Flush()
}

// Compare writes the figures of two reports side by side.
func Compare(w io.Writer, a, b *Report) {
	fmt.Fprintf(w, "A: %s\nB: %s\n", a.title(), b.title())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tA\tB\tB - A")
	for _, f := range figures {
		fmt.Fprintf(t, "%s\t%s\t%s\t"+f.format+"\n", f.name, f.text(a), f.text(b), f.value(b)-f.value(a))
	}
	t.Flush()
}
