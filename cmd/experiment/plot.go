package main

import (
	"fmt"
	"strings"
)

// Sizes of a plot, in pixels.
const (
	plotWidth      = 560.0
	plotHeight     = 140.0
	plotLeftMargin = 44.0
	plotFootHeight = 18.0
	plotTopMargin  = 8.0
)

// plot is a line chart with equidistant points on the horizontal axis, in the form that the page template needs.
type plot struct {
	Title  string
	Lines  []plotLine
	Ticks  []plotTick
	Left   string // label at the left end of the axis
	Right  string // label at the right end of the axis
	Width  float64
	Height float64
	X0     float64 // left end of the axis
	Y0     float64 // vertical position of the axis
}

type plotLine struct {
	Name   string
	Color  string
	Points string
	Dash   string // dash pattern, which distinguishes lines without color
}

type plotTick struct {
	Y    float64
	Text string
}

// plotStyles are the styles of lines, which are used in turn.
var plotStyles = []struct {
	color string
	dash  string
}{
	{"#1b6ca8", ""},
	{"#b5482a", "6 3"},
	{"#3a7d44", "2 2"},
	{"#6b4c9a", "8 2 2 2"},
}

// series is the data of a line of a plot.
type series struct {
	name   string
	values []float64
}

// newPlot returns a plot of series, whose vertical axis ranges from 0 to highest.
func newPlot(title, left, right string, highest float64, lines ...series) plot {
	p := plot{
		Title:  title,
		Left:   left,
		Right:  right,
		Width:  plotWidth + plotLeftMargin,
		Height: plotHeight + plotFootHeight,
		X0:     plotLeftMargin,
		Y0:     plotHeight,
	}
	if highest <= 0 {
		highest = 1
	}
	for i, line := range lines {
		style := plotStyles[i%len(plotStyles)]
		p.Lines = append(p.Lines, plotLine{line.name, style.color, line.points(highest), style.dash})
	}
	for _, share := range []float64{0, 0.5, 1} {
		p.Ticks = append(p.Ticks, plotTick{plotY(share), fmt.Sprintf("%.3g", highest*share)})
	}
	return p
}

// points returns the points of the SVG polyline of a series.
func (s *series) points(highest float64) string {
	var points strings.Builder
	for i, value := range s.values {
		x := plotLeftMargin + plotWidth*float64(i)/max(float64(len(s.values)-1), 1)
		fmt.Fprintf(&points, "%.1f,%.1f ", x, plotY(min(value/highest, 1)))
	}
	return strings.TrimSpace(points.String())
}

// plotY returns the vertical position of a share of the highest value.
func plotY(share float64) float64 { return plotHeight - (plotHeight-plotTopMargin)*share }
