package main

import "html/template"

// pageTemplate is the template of a report page. The page loads nothing from other files or hosts.
var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>lab</title>
<style>body{font:15px/1.4 sans-serif;max-width:1260px;margin:2em auto;padding:0 1em;color:#222}table{border-collapse:collapse;margin:.5em 0}
td,th{padding:.15em .8em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}svg{margin-right:1em}text{font:11px sans-serif;fill:#444}.bad{color:#a00}</style>
<h1>Lab</h1>
<table><tr><th>scenario<th>seed<th>in time<th>attempts<th>worst/mean<th>conns/host<th>missed</tr>
{{range .}}<tr><td><a href="#{{.Scenario}}-{{.Seed}}">{{.Scenario}}</a><td>{{.Seed}}<td>{{printf "%.4f" .InTime}}<td>{{.Summary.Attempts}}<td>{{printf "%.2f" .Summary.MaxToMeanLoad}}<td>{{printf "%.1f" .Summary.ConnectionsPerHost}}<td class="bad">{{range .Missed}}{{.}} {{end}}</tr>
{{end}}</table>
{{range .}}<h2 id="{{.Scenario}}-{{.Seed}}">{{.Scenario}}, seed {{.Seed}}</h2><p>{{.About}}</p>
{{range .Plots}}<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="{{.Title}}">
{{$x := .X0}}{{$w := .Width}}{{range .Ticks}}<line x1="{{$x}}" x2="{{$w}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#ddd"/><text x="2" y="{{.Y}}">{{.Text}}</text>{{end}}
{{range .Lines}}<polyline fill="none" stroke="{{.Color}}" stroke-width="1.5" stroke-dasharray="{{.Dash}}" points="{{.Points}}"/>{{end}}
<text x="{{.X0}}" y="{{.Height}}">{{.Left}}</text><text x="{{.Width}}" y="{{.Height}}" text-anchor="end">{{.Right}}</text>
<text x="{{.X0}}" y="8">{{.Title}}:{{range .Lines}} {{.Name}}{{if .Dash}} (dashed {{.Dash}}){{end}}{{end}}</text></svg>
{{end}}
<table><tr><th>class<th>asked<th>in time<th>late<th>refused<th>failed<th>left<th>tries</tr>
{{range .Summary.Classes}}<tr><td>{{.Name}}<td>{{.FirstRequests}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Rejected}}<td>{{.Failed}}<td>{{.Abandoned}}<td>{{.Requests}}</tr>{{end}}</table>
{{if .Causes}}<table><tr><th>answers that served nothing<th>cause<th>count</tr>{{range .Causes}}<tr><td>{{.Class}}<td>{{.Cause}}<td>{{.Count}}</tr>{{end}}</table>{{end}}
{{range .Summary.ViolationDetails}}<p class="bad">{{.}}</p>{{end}}
{{end}}</html>
`))
