package scaletest

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Shape is how a series depends on the size.
type Shape string

// Shapes of a series.
const (
	Line    Shape = "line"    // proportional to the size, plus an intercept
	Power   Shape = "power"   // a power of the size other than 1: the slope says nothing
	Flat    Shape = "flat"    // it doesn't grow with the size, as far as the measurement can tell
	Unclear Shape = "unclear" // the points vary too much
)

// hasSlope reports whether a slope can be used for other sizes.
func (s Shape) hasSlope() bool { return s == Line || s == Flat }

// Fit is a line through the points of a series by weighted least squares, with measures of how well it fits.
type Fit struct {
	Slope         float64 `json:"slope"`       // units per size
	SlopeError    float64 `json:"slope_error"` // standard error
	Intercept     float64 `json:"intercept"`   // units
	WorstResidual float64 `json:"worst"`       // as a share of the value

	// Exponent is p of a + b·size^p, with its standard error: 1 for a line, 2 for a quadratic.
	Exponent      float64 `json:"exponent"`
	ExponentError float64 `json:"exponent_error"`

	Shape Shape   `json:"shape"`
	Reach float64 `json:"reach,omitempty"` // target size as a multiple of the largest measured one; 0: no target

	// For AtError.
	weightSum float64
	meanSize  float64
	spread    float64 // weighted sum of squared distances from meanSize
	variance  float64 // of the residuals
}

const (
	// relativeError is the error of a measurement of a process beside its resolution, as a share of the value.
	relativeError = 0.05
	// zeroValueDivisor: a value of 0 has the error of this part of the largest value, at least.
	zeroValueDivisor = 1000
	// A series is a line if no point is off by more than maxLineResidual of its value, and the exponent is 1 within
	// exponentTolerance or within maxStandardErrors. It is a power if the exponent differs by more than both, and a
	// point is off by more than relativeError: a smaller bend changes no figure. It is flat if the slope is within
	// maxStandardErrors of 0.
	maxLineResidual   = 0.15
	exponentTolerance = 0.1
	maxStandardErrors = 2
	// flatTolerance is a growth over all sizes that counts as none, as a share of the mean value.
	flatTolerance = 1e-9
)

// samples are the points of a series with their weights.
type samples struct {
	sizes   []float64
	values  []float64
	weights []float64
}

// newSamples weights points by the error that each value is taken to have: over a span of a factor of ten and more the
// largest sizes would otherwise decide alone.
func newSamples(points []Point, resolution float64) *samples {
	valueForZero := 0.0 // by whose relativeError a value of 0 is weighted
	for _, p := range points {
		valueForZero = max(valueForZero, math.Abs(p.Value)/zeroValueDivisor)
	}
	if valueForZero == 0 {
		valueForZero = 1
	}
	s := &samples{}
	for _, p := range points {
		valueError := math.Hypot(relativeError*p.Value, max(resolution, valueForZero*relativeError))
		s.sizes = append(s.sizes, p.Size)
		s.values = append(s.values, p.Value)
		s.weights = append(s.weights, 1/(valueError*valueError))
	}
	return s
}

func (s *samples) largestSize() float64 { return s.sizes[len(s.sizes)-1] }

// Fit fits a line. It returns an error where there are too few sizes, or a point is no measurement.
func (s *Series) Fit() (*Fit, error) {
	points, err := s.sortedPoints()
	if err != nil {
		return nil, err
	}
	data := newSamples(points, s.Resolution)
	f := &Fit{}
	f.fitLine(data, s.Resolution)
	f.fitExponent(data)
	f.Shape = f.shape(data)
	if s.TargetSize > 0 {
		f.Reach = s.TargetSize / data.largestSize()
	}
	return f, nil
}

// At returns the line's value at a size.
func (f *Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// AtError returns the standard error of At: that of the line, not of a single measurement.
func (f *Fit) AtError(size float64) float64 {
	distance := size - f.meanSize
	return math.Hypot(math.Sqrt(f.variance/f.weightSum), f.SlopeError*distance)
}

// fitLine sets slope and intercept with their errors. The resolution, as an error that is uniform over it, is an error of
// the slope too: points that are all 0 would have none otherwise.
func (f *Fit) fitLine(data *samples, resolution float64) {
	f.Intercept, f.Slope = stat.LinearRegression(data.sizes, data.values, data.weights, false)
	f.meanSize = stat.Mean(data.sizes, data.weights)
	squares := 0.0
	for i, size := range data.sizes {
		weight := data.weights[i]
		distance := size - f.meanSize
		residual := data.values[i] - f.At(size)
		f.weightSum += weight
		f.spread += weight * distance * distance
		squares += weight * residual * residual
	}
	f.variance = squares / float64(len(data.sizes)-2)
	resolutionVariance := 0.0
	for i, size := range data.sizes {
		part := data.weights[i] * (size - f.meanSize) / f.spread * resolution
		resolutionVariance += part * part / 12 // variance of a uniform distribution
	}
	f.SlopeError = math.Sqrt(f.variance/f.spread + resolutionVariance)
	f.setWorstResidual(data, resolution)
}

func (f *Fit) setWorstResidual(data *samples, resolution float64) {
	for i, value := range data.values {
		if value == 0 {
			continue
		}
		residual := max(0, math.Abs(value-f.At(data.sizes[i]))-resolution)
		f.WorstResidual = max(f.WorstResidual, residual/math.Abs(value))
	}
}

// Exponents that are tried.
const (
	minExponent  = 0.1
	maxExponent  = 4
	exponentStep = 0.01
)

// powerFit is a + b·(size/largest)^exponent.
type powerFit struct {
	exponent float64
	b        float64
	squares  float64 // weighted sum of squared residuals
}

// fitExponent sets the exponent with the least squares, and its standard error.
func (f *Fit) fitExponent(data *samples) {
	best := powerFit{exponent: 1, squares: math.Inf(1)}
	for exponent := minExponent; exponent <= maxExponent+1e-9; exponent += exponentStep {
		if p := data.fitPower(exponent); p.squares < best.squares {
			best = p
		}
	}
	f.Exponent = math.Round(best.exponent*100) / 100
	f.ExponentError = best.exponentError(data)
}

func (s *samples) fitPower(exponent float64) powerFit {
	raised := make([]float64, len(s.sizes))
	for i, size := range s.sizes {
		raised[i] = math.Pow(size/s.largestSize(), exponent)
	}
	a, b := stat.LinearRegression(raised, s.values, s.weights, false)
	p := powerFit{exponent: exponent, b: b}
	for i := range raised {
		residual := s.values[i] - a - b*raised[i]
		p.squares += s.weights[i] * residual * residual
	}
	return p
}

// exponentError is the standard error of the exponent, by the covariance of the three parameters (Gauss-Newton): the
// inverse of the weighted products of the derivatives by a, b and the exponent. It is infinite where it is unknown.
func (p *powerFit) exponentError(data *samples) float64 {
	const parameters = 3
	if len(data.sizes) <= parameters {
		return math.Inf(1)
	}
	products := mat.NewSymDense(parameters, nil)
	for i, size := range data.sizes {
		u := size / data.largestSize()
		derivatives := [parameters]float64{1, math.Pow(u, p.exponent), p.b * math.Pow(u, p.exponent) * math.Log(u)}
		for j := range derivatives {
			for k := j; k < parameters; k++ {
				products.SetSym(j, k, products.At(j, k)+data.weights[i]*derivatives[j]*derivatives[k])
			}
		}
	}
	var inverse mat.Dense
	if err := inverse.Inverse(products); err != nil && inverse.IsEmpty() {
		return math.Inf(1)
	}
	variance := inverse.At(2, 2)
	if !(variance >= 0) {
		return math.Inf(1)
	}
	return math.Sqrt(variance*p.squares/float64(len(data.sizes)-parameters)) + exponentStep/2
}

// shape judges by the criteria at maxLineResidual.
func (f *Fit) shape(data *samples) Shape {
	span := data.largestSize() - data.sizes[0]
	growth := math.Abs(f.Slope) * span
	noGrowth := growth <= flatTolerance*math.Abs(stat.Mean(data.values, data.weights))
	growthWithinError := growth <= maxStandardErrors*f.SlopeError*span && f.WorstResidual <= maxLineResidual
	if noGrowth || growthWithinError {
		return Flat
	}
	off := math.Abs(f.Exponent - 1)
	isPower := off > exponentTolerance && off > maxStandardErrors*f.ExponentError && f.WorstResidual > relativeError
	switch {
	case isPower:
		return Power
	case f.WorstResidual <= maxLineResidual:
		return Line
	}
	return Unclear
}
