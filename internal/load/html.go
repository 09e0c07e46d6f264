package load

import (
	"fmt"
	"html/template"
	"os"
	"strings"

	"parsleyramp/internal/fail"
)

// Size of a plot and of the margin for its labels, in SVG user units.
const (
	plotWidth  = 720
	plotHeight = 220
	plotMargin = 48
)

// line is one line of a plot.
type line struct {
	Name   string
	Color  string
	values []float64
}

// plot is a chart with lines over common x values.
type plot struct {
	Title string
	XName string
	YName string
	Lines []line
	x     []float64
	marks []Mark
}

func (p plot) bounds() (xMax, yMax float64) {
	for _, x := range p.x {
		xMax = max(xMax, x)
	}
	for _, l := range p.Lines {
		for _, v := range l.values {
			yMax = max(yMax, v)
		}
	}
	return max(xMax, 1e-9), max(yMax, 1e-9)
}

// SVG renders the plot as an inline SVG element.
func (p plot) SVG() template.HTML {
	xMax, yMax := p.bounds()
	px := func(x float64) float64 { return plotMargin + x/xMax*(plotWidth-2*plotMargin) }
	py := func(y float64) float64 { return plotHeight - plotMargin - y/yMax*(plotHeight-2*plotMargin) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %d %d" role="img">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<path class="axis" d="M%d %d V%d H%d"/>`, plotMargin, plotMargin, plotHeight-plotMargin, plotWidth-plotMargin)
	fmt.Fprintf(&b, `<text x="%d" y="%d">%.4g</text><text x="%d" y="%d">0</text>`, 4, plotMargin+4, yMax, 4, plotHeight-plotMargin)
	fmt.Fprintf(&b, `<text x="%d" y="%d">%s</text><text x="%d" y="%d">%.4g %s</text>`, plotMargin, plotMargin-10,
		template.HTMLEscapeString(p.YName), plotWidth-plotMargin-60, plotHeight-plotMargin+18, xMax, template.HTMLEscapeString(p.XName))
	for _, m := range p.marks {
		fmt.Fprintf(&b, `<path class="mark" d="M%.1f %d V%d"/><text x="%.1f" y="%d">%s</text>`, px(m.AtSeconds), plotMargin, plotHeight-plotMargin,
			px(m.AtSeconds)+3, plotMargin+10, template.HTMLEscapeString(m.Text))
	}
	for i, l := range p.Lines {
		var points []string
		for j, v := range l.values {
			points = append(points, fmt.Sprintf("%.1f,%.1f", px(p.x[j]), py(v)))
		}
		fmt.Fprintf(&b, `<polyline points="%s" stroke="%s"/>`, strings.Join(points, " "), l.Color)
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`, plotMargin+140*i, plotHeight-8, l.Color, template.HTMLEscapeString(l.Name))
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String())
}

func (r *Report) plots() []plot {
	var seconds, offered, attained, rejected, broken, firstToken []float64
	for i, s := range r.Timeline {
		seconds = append(seconds, float64(i))
		offered = append(offered, float64(s.Offered))
		attained = append(attained, float64(s.Attained))
		rejected = append(rejected, float64(s.Rejected))
		broken = append(broken, float64(s.Broken))
		firstToken = append(firstToken, s.FirstTokenP95MS)
	}
	var quantile, ms []float64
	for _, c := range r.FirstTokenCurve {
		quantile, ms = append(quantile, c.Quantile), append(ms, c.MS)
	}
	return []plot{
		{Title: "Requests by the second that they were scheduled in", XName: "s", YName: "requests", x: seconds, marks: r.Marks, Lines: []line{
			{"offered", "#777777", offered}, {"within targets", "#1a7f37", attained}, {"refused, not run", "#bf8700", rejected}, {"broken or unknown", "#cf222e", broken},
		}},
		{Title: "First token, p95 of each second", XName: "s", YName: "ms", x: seconds, marks: r.Marks, Lines: []line{{"p95", "#0969da", firstToken}}},
		{Title: "First token, by quantile", XName: "%", YName: "ms", x: quantile, Lines: []line{{"first token", "#0969da", ms}}},
	}
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body{font:14px/1.5 system-ui,sans-serif;max-width:820px;margin:2em auto;padding:0 1em;color:#222;background:#fff}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}
td:first-child,th:first-child{text-align:left}svg{width:100%;height:auto}svg text{font-size:11px}
polyline{fill:none;stroke-width:1.5}.axis{fill:none;stroke:#444}.mark{stroke:#cf222e;stroke-dasharray:4 3}
</style></head><body>
<h1>{{.Title}}</h1>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>Figures</h2><table>{{range .Figures}}<tr><td>{{.Name}}</td><td>{{.Value}}</td></tr>{{end}}</table>
<h2>Classes</h2><table><tr><th>class</th><th>offered</th><th>whole</th><th>within targets</th><th>first p50 ms</th><th>p95</th><th>p99</th><th>between p50 ms</th><th>p95</th><th>p99</th></tr>
{{range .Report.Classes}}<tr><td>{{.Name}}</td><td>{{.Offered}}</td><td>{{.Complete}}</td><td>{{.Attained}}</td>{{with .FirstTokenMS}}<td>{{.P50}}</td><td>{{.P95}}</td><td>{{.P99}}</td>{{end}}{{with .BetweenTokensMS}}<td>{{.P50}}</td><td>{{.P95}}</td><td>{{.P99}}</td>{{end}}</tr>{{end}}</table>
<h2>Refused or broken attempts</h2><table><tr><th>class</th><th>code</th><th>ran</th><th>attempts</th></tr>
{{range .Report.FailedAttempts}}<tr><td>{{.Class}}</td><td>{{.Code}}</td><td>{{.Ran}}</td><td>{{.Count}}</td></tr>{{end}}</table>
</body></html>
`))

type pageFigure struct{ Name, Value string }

// WriteHTML writes the report as one self-contained HTML page.
func (r *Report) WriteHTML(path string) error {
	var lines []pageFigure
	for _, f := range figures {
		lines = append(lines, pageFigure{f.name, f.text(r)})
	}
	var b strings.Builder
	err := page.Execute(&b, map[string]any{"Title": r.title(), "Plots": r.plots(), "Figures": lines, "Report": r})
	if err != nil {
		return fail.Wrap(err, fail.Internal, "render report")
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return fail.Wrap(err, fail.StorageFailed, "write report")
	}
	return nil
}
