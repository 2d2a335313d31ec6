package main

import (
	"fmt"
	"html/template"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"dunemoor/balancer"
)

// Size of a picture.
const (
	plotWide, plotHigh = 560.0, 140.0
	plotLeft, plotLow  = 44.0, 18.0
)

// plot is a picture of lines, or bars, over an even axis.
type plot struct {
	Title  string
	Lines  []line
	Ticks  []tick // of the height
	Left   string // what stands under the axis
	Right  string
	W, H   float64
	X0, Y0 float64
}

type line struct {
	Name, Colour, Points string
	Dash                 string // so that lines are told apart without colour
}

type tick struct {
	Y    float64
	Text string
}

var inks = []struct{ colour, dash string }{{"#1b6ca8", ""}, {"#b5482a", "6 3"}, {"#3a7d44", "2 2"}, {"#6b4c9a", "8 2 2 2"}}

// newPlot draws series of values from 0 to most.
func newPlot(title, left, right string, most float64, names []string, series ...[]float64) plot {
	p := plot{Title: title, Left: left, Right: right, W: plotWide + plotLeft, H: plotHigh + plotLow, X0: plotLeft, Y0: plotHigh}
	if most <= 0 {
		most = 1
	}
	for i, s := range series {
		var points strings.Builder
		for k, v := range s {
			x := plotLeft + plotWide*float64(k)/max(float64(len(s)-1), 1)
			fmt.Fprintf(&points, "%.1f,%.1f ", x, plotHigh-(plotHigh-8)*min(v/most, 1))
		}
		ink := inks[i%len(inks)]
		p.Lines = append(p.Lines, line{names[i], ink.colour, strings.TrimSpace(points.String()), ink.dash})
	}
	for _, part := range []float64{0, 0.5, 1} {
		p.Ticks = append(p.Ticks, tick{plotHigh - (plotHigh-8)*part, fmt.Sprintf("%.3g", most*part)})
	}
	return p
}

// section is what a report says of a run.
type section struct {
	played
	About string
	Plots []plot
	Why   []whyLine
}

type whyLine struct {
	Class, Cause string
	Count        int
}

// percentiles are at which latencies are drawn.
var percentiles = []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 99, 99.9, 100}

func newSection(p played, about string) section {
	s := section{played: p, About: about}
	var asked, in []float64
	most := 0.0
	for _, x := range p.Summary.Seconds {
		asked, in = append(asked, float64(x.FirstRequests)), append(in, float64(x.InTime))
		most = max(most, float64(x.FirstRequests))
	}
	s.Plots = append(s.Plots, newPlot("first tries a second", "start", fmt.Sprintf("%d s", len(asked)), most, []string{"asked", "answered in time"}, asked, in))
	var names []string
	var took [][]float64
	most = 0
	for _, k := range p.Summary.Classes {
		var line []float64
		for _, at := range percentiles {
			line = append(line, float64(k.Latency.ValueAtPercentile(at))/1e3)
		}
		most = max(most, line[len(line)-3]) // 99: the rest may leave the picture
		names, took = append(names, k.Name), append(took, line)
		for cause, n := range k.Causes {
			if n > 0 {
				s.Why = append(s.Why, whyLine{k.Name, balancer.Cause(cause).String(), n})
			}
		}
	}
	s.Plots = append(s.Plots, newPlot("ms from the first try to the answer, by percentile", "0", "50, 60 ... 90, 95, 99, 99.9, 100", 1.3*most, names, took...))
	load := slices.Clone(p.Summary.Load)
	slices.Sort(load)
	s.Plots = append(s.Plots, newPlot("load of a core, by host", "least", "most", max(1, load[len(load)-1]), []string{"hosts"}, load))
	return s
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>lab</title>
<style>body{font:15px/1.4 sans-serif;max-width:1260px;margin:2em auto;padding:0 1em;color:#222}table{border-collapse:collapse;margin:.5em 0}
td,th{padding:.15em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}svg{margin-right:1em}text{font:11px sans-serif;fill:#444}.bad{color:#a00}</style>
<h1>Lab</h1>
<table><tr><th>scenario<th>seed<th>in time<th>attempts<th>worst/mean<th>conns/host<th>missed</tr>
{{range .}}<tr><td><a href="#{{.Scenario}}-{{.Seed}}">{{.Scenario}}</a><td>{{.Seed}}<td>{{printf "%.4f" .InTime}}<td>{{.Summary.Attempts}}<td>{{printf "%.2f" .Summary.MaxToMeanLoad}}<td>{{printf "%.1f" .Summary.ConnectionsPerHost}}<td class="bad">{{range .Missed}}{{.}} {{end}}</tr>
{{end}}</table>
{{range .}}<h2 id="{{.Scenario}}-{{.Seed}}">{{.Scenario}}, seed {{.Seed}}</h2><p>{{.About}}</p>
{{range .Plots}}<svg width="{{.W}}" height="{{.H}}" role="img" aria-label="{{.Title}}">
{{$x := .X0}}{{$w := .W}}{{range .Ticks}}<line x1="{{$x}}" x2="{{$w}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#ddd"/><text x="2" y="{{.Y}}">{{.Text}}</text>{{end}}
{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="1.5" stroke-dasharray="{{.Dash}}" points="{{.Points}}"/>{{end}}
<text x="{{.X0}}" y="{{.H}}">{{.Left}}</text><text x="{{.W}}" y="{{.H}}" text-anchor="end">{{.Right}}</text>
<text x="{{.X0}}" y="8">{{.Title}}:{{range .Lines}} {{.Name}}{{if .Dash}} (dashed {{.Dash}}){{end}}{{end}}</text></svg>
{{end}}
<table><tr><th>class<th>asked<th>in time<th>late<th>refused<th>failed<th>left<th>tries</tr>
{{range .Summary.Classes}}<tr><td>{{.Name}}<td>{{.FirstRequests}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Rejected}}<td>{{.Failed}}<td>{{.Abandoned}}<td>{{.Requests}}</tr>{{end}}</table>
{{if .Why}}<table><tr><th>answers that served nothing<th>cause<th>count</tr>{{range .Why}}<tr><td>{{.Class}}<td>{{.Cause}}<td>{{.Count}}</tr>{{end}}</table>{{end}}
{{range .Summary.ViolationDetails}}<p class="bad">{{.}}</p>{{end}}
{{end}}</html>
`))

// writeReport writes one page that needs nothing else.
func writeReport(w io.Writer, runs []played, about map[string]string) error {
	var list []section
	for _, p := range runs {
		list = append(list, newSection(p, about[p.Scenario]))
	}
	return page.Execute(w, list)
}

func reportCommand() *cobra.Command {
	var seed uint64
	var seeds int
	var out string
	var set []string
	cmd := &cobra.Command{
		Use: "report FILE... --out PAGE.html", Args: cobra.MinimumNArgs(1),
		Short: "Play scenarios and write a page with time lines, latencies, load by host and causes",
		RunE: func(cmd *cobra.Command, args []string) error {
			if out == "" || seeds < 1 {
				return fmt.Errorf("--out PAGE.html and at least one seed are needed")
			}
			list, err := load(cmd, args, set)
			if err != nil {
				return err
			}
			about := map[string]string{}
			for _, s := range list {
				about[s.Name] = s.About
			}
			runs := play(list, seed, seeds)
			for _, p := range runs {
				if p.err != nil {
					return fmt.Errorf("%s: %w", p.Scenario, p.err)
				}
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			if err := writeReport(f, runs, about); err != nil {
				f.Close()
				return err
			}
			return f.Close()
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "how many seeds")
	cmd.Flags().StringVar(&out, "out", "", "the page to write")
	cmd.Flags().StringArrayVar(&set, "set", nil, "KEY=VALUE, as for sweep; may be repeated")
	return cmd
}
