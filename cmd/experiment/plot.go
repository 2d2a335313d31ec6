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

// plot is a chart of lines over an even axis, for the page's template.
type plot struct {
	Title  string
	Lines  []plotLine
	Ticks  []plotTick
	Left   string // label at the left end of the axis
	Right  string // label at the right end of the axis
	Width  float64
	Height float64
	X0     float64 // left end of the axis
	Y0     float64 // height of the axis
}

type plotLine struct {
	Name   string
	Color  string
	Points string
	Dash   string // so that lines can be told apart without colors
}

type plotTick struct {
	Y    float64
	Text string
}

// plotStyles are the styles of the lines, in turn.
var plotStyles = []struct {
	color string
	dash  string
}{
	{"#1b6ca8", ""},
	{"#b5482a", "6 3"},
	{"#3a7d44", "2 2"},
	{"#6b4c9a", "8 2 2 2"},
}

// series is a line of a plot.
type series struct {
	name   string
	values []float64
}

// newPlot draws series of values from 0 to highest.
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

// points returns the points of a polyline.
func (s *series) points(highest float64) string {
	var points strings.Builder
	for i, value := range s.values {
		x := plotLeftMargin + plotWidth*float64(i)/max(float64(len(s.values)-1), 1)
		fmt.Fprintf(&points, "%.1f,%.1f ", x, plotY(min(value/highest, 1)))
	}
	return strings.TrimSpace(points.String())
}

// plotY is the height of a share of the highest value.
func plotY(share float64) float64 { return plotHeight - (plotHeight-plotTopMargin)*share }
