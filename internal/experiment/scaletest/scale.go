// Package scaletest works out from measurements at several sizes what a unit costs: a slope with its
// error, an intercept, whether the points lie on a line at all, and how far beyond the largest
// size measured the line is asked to reach. It has no I/O but the table's writer.
package scaletest

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Point is what was measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one quantity measured at several sizes.
type Series struct {
	Name       string  `json:"name"` // "resident memory"
	Unit       string  `json:"unit"` // of the values: "MB", "CPU ms"
	By         string  `json:"by"`   // what the sizes count: "route", "pool"
	Points     []Point `json:"points"`
	Resolution float64 `json:"resolution,omitempty"` // the least that the measure tells apart, in its unit
	Asked      float64 `json:"asked,omitempty"`      // the size to design for; 0: none
}

// Shape is what a series looks like over its sizes.
type Shape string

// Shapes of a series.
const (
	Line    Shape = "line"    // slope x size, and the intercept
	Power   Shape = "power"   // a power of the size other than 1: no slope to go by
	Flat    Shape = "flat"    // it doesn't grow with the size, as far as the measure tells
	Unclear Shape = "unclear" // the points scatter too much to say
)

// Fit is a line through the points of a series by weighted least squares, with what is known
// against it.
type Fit struct {
	Slope      float64 `json:"slope"`       // units a size
	SlopeError float64 `json:"slope_error"` // standard error
	Intercept  float64 `json:"intercept"`   // units
	Worst      float64 `json:"worst"`       // largest residual, as a share of the value

	// Exponent is p of a + b·size^p, with its standard error: 1 for a line, 2 for a quadratic.
	Exponent      float64 `json:"exponent"`
	ExponentError float64 `json:"exponent_error"`

	Shape Shape   `json:"shape"`
	Reach float64 `json:"reach,omitempty"` // the size asked for over the largest measured; 0: none is asked for

	sum, mean, spread, variance float64 // of the weights and sizes, for AtError
}

// What a series needs to be fitted at all.
const (
	LeastSizes = 4
	LeastSpan  = 10 // the last size over the first
)

// noise is the relative error that a measurement of a process is taken to have beside its
// resolution: runs of one size differ by some hundredths.
const noise = 0.05

// A line it is when no point is further off than worstMost of its value, and the exponent of
// a + b·size^p is 1 within exponentSlack or within two standard errors. A power it is when the
// exponent differs from 1 by more than both, and a line misses a point by more than noise: a bend
// too small for that changes no figure. Flat is what has a slope within two standard errors of 0.
// What is none of these is unclear, and named so.
const (
	worstMost     = 0.15
	exponentSlack = 0.1
	errorsMost    = 2
)

// Fit fits a line, or says why the series is not one to be fitted. Residuals are weighed by the
// error that each value is taken to have: in a span of a factor of ten and more the largest
// sizes would else decide alone.
func (s *Series) Fit() (*Fit, error) {
	points := slices.Clone(s.Points)
	slices.SortFunc(points, func(p, q Point) int {
		switch {
		case p.Size < q.Size:
			return -1
		case p.Size > q.Size:
			return 1
		}
		return 0
	})
	sizes := 0
	for i, p := range points {
		if !(p.Size > 0) || math.IsInf(p.Size, 0) || math.IsNaN(p.Value) || math.IsInf(p.Value, 0) {
			return nil, fmt.Errorf("size %v with value %v is no measurement", p.Size, p.Value)
		}
		if i == 0 || p.Size > points[i-1].Size {
			sizes++
		}
	}
	if sizes < LeastSizes {
		return nil, fmt.Errorf("%d sizes, %d at least", sizes, LeastSizes)
	}
	first, last := points[0].Size, points[len(points)-1].Size
	if last < LeastSpan*first {
		return nil, fmt.Errorf("sizes from %v to %v, a factor of %d at least between them", first, last, LeastSpan)
	}
	x, y, w := make([]float64, len(points)), make([]float64, len(points)), make([]float64, len(points))
	least := 0.0 // a value of 0 has an error as well: a thousandth of the largest, where no resolution is told
	for _, p := range points {
		least = max(least, math.Abs(p.Value)/1000)
	}
	if least == 0 {
		least = 1
	}
	for i, p := range points {
		e := math.Hypot(noise*p.Value, max(s.Resolution, least*noise))
		x[i], y[i], w[i] = p.Size, p.Value, 1/(e*e)
	}
	f := &Fit{}
	f.line(x, y, w, s.Resolution)
	for i := range x {
		if y[i] != 0 {
			off := max(0, math.Abs(y[i]-f.At(x[i]))-s.Resolution)
			f.Worst = max(f.Worst, off/math.Abs(y[i]))
		}
	}
	f.power(x, y, w)
	f.Shape = f.shape(x, y, w)
	if s.Asked > 0 {
		f.Reach = s.Asked / last
	}
	return f, nil
}

// At is the line's value at a size.
func (f *Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// AtError is the standard error of At: that of the line, not of a single measurement.
func (f *Fit) AtError(size float64) float64 {
	d := size - f.mean
	return math.Hypot(math.Sqrt(f.variance/f.sum), f.SlopeError*d)
}

// line sets slope and intercept with their errors. What the measure can't tell apart is an error of
// the slope as well (evenly spread over the resolution): else points that are all 0 would have none.
func (f *Fit) line(x, y, w []float64, resolution float64) {
	f.Intercept, f.Slope = stat.LinearRegression(x, y, w, false)
	f.mean, f.sum = stat.Mean(x, w), 0
	chi := 0.0
	for i := range x {
		d, r := x[i]-f.mean, y[i]-f.At(x[i])
		f.sum += w[i]
		f.spread += w[i] * d * d
		chi += w[i] * r * r
	}
	f.variance = chi / float64(len(x)-2)
	told := 0.0
	for i := range x {
		part := w[i] * (x[i] - f.mean) / f.spread * resolution
		told += part * part / 12
	}
	f.SlopeError = math.Sqrt(f.variance/f.spread + told)
}

// Exponents that are looked among.
const leastExponent, mostExponent, exponentStep = 0.1, 4, 0.01

// power sets the exponent of a + b·size^p and its error, by the p with the least squares and the
// covariance of the three parameters there.
func (f *Fit) power(x, y, w []float64) {
	best, at := math.Inf(1), 1.0
	var b float64
	raised := make([]float64, len(x))
	for p := float64(leastExponent); p <= mostExponent+1e-9; p += exponentStep {
		for i := range x {
			raised[i] = math.Pow(x[i]/x[len(x)-1], p)
		}
		pa, pb := stat.LinearRegression(raised, y, w, false)
		chi := 0.0
		for i := range x {
			r := y[i] - pa - pb*raised[i]
			chi += w[i] * r * r
		}
		if chi < best {
			best, at, b = chi, p, pb
		}
	}
	f.Exponent, f.ExponentError = math.Round(at*100)/100, math.Inf(1)
	if len(x) <= 3 {
		return
	}
	// Gauss and Newton: the inverse of the weighted products of the derivatives by a, b and p.
	m := mat.NewSymDense(3, nil)
	for i := range x {
		u := x[i] / x[len(x)-1]
		d := [3]float64{1, math.Pow(u, at), b * math.Pow(u, at) * math.Log(u)}
		for j := range d {
			for k := j; k < len(d); k++ {
				m.SetSym(j, k, m.At(j, k)+w[i]*d[j]*d[k])
			}
		}
	}
	var inverse mat.Dense
	if err := inverse.Inverse(m); err != nil && inverse.IsEmpty() {
		return
	}
	if v := inverse.At(2, 2); v >= 0 {
		f.ExponentError = math.Sqrt(v*best/float64(len(x)-3)) + exponentStep/2
	}
}

// shape judges by the criterion at worstMost.
func (f *Fit) shape(x, y, w []float64) Shape {
	grown := math.Abs(f.Slope) * (x[len(x)-1] - x[0])
	if grown <= 1e-9*math.Abs(stat.Mean(y, w)) || grown <= errorsMost*f.SlopeError*(x[len(x)-1]-x[0]) && f.Worst <= worstMost {
		return Flat
	}
	off := math.Abs(f.Exponent - 1)
	switch {
	case off > exponentSlack && off > errorsMost*f.ExponentError && f.Worst > noise:
		return Power
	case f.Worst <= worstMost:
		return Line
	}
	return Unclear
}
