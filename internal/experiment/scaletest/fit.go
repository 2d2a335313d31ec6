package scaletest

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Shape is the form in which the values of a series depend on the size.
type Shape string

// Shapes of a series.
const (
	Line    Shape = "line"    // proportional to the size, plus an intercept
	Power   Shape = "power"   // a power of the size other than 1; the slope is not meaningful
	Flat    Shape = "flat"    // no growth with the size beyond the error of the measurement
	Unclear Shape = "unclear" // the points deviate too much from a line to determine the shape
)

// hasSlope reports whether the line can be used to estimate values at other sizes.
func (s Shape) hasSlope() bool { return s == Line || s == Flat }

// Fit is a line through the points of a series by weighted least squares, with measures of the goodness of fit.
type Fit struct {
	Slope         float64 `json:"slope"`       // units per unit of size
	SlopeError    float64 `json:"slope_error"` // standard error of Slope
	Intercept     float64 `json:"intercept"`   // value of the line at size 0
	WorstResidual float64 `json:"worst"`       // largest residual of a point, as a share of its value

	// Exponent is the exponent p of the best fit of a + b·size^p: 1 for a line, 2 for a quadratic function.
	// ExponentError is its standard error.
	Exponent      float64 `json:"exponent"`
	ExponentError float64 `json:"exponent_error"`

	Shape Shape   `json:"shape"`
	Reach float64 `json:"reach,omitempty"` // target size as a multiple of the largest measured one; 0: no target

	// Intermediate results that AtError needs.
	weightSum float64
	meanSize  float64
	spread    float64 // weighted sum of squared distances of the sizes from meanSize
	variance  float64 // weighted variance of the residuals
}

const (
	// relativeError is the error of a measurement of a process in addition to its resolution, as a share of the
	// value.
	relativeError = 0.05
	// zeroValueDivisor sets the minimum error of small values and of 0: that of the largest value divided by it.
	zeroValueDivisor = 1000
	// A series is a line if no residual exceeds maxLineResidual of its value, and the exponent differs from 1 by at
	// most exponentTolerance or at most maxStandardErrors standard errors. It is a power if the exponent differs by
	// more than both, and a residual exceeds relativeError: a smaller curvature doesn't matter for any figure. It is
	// flat if the slope differs from 0 by at most maxStandardErrors standard errors.
	maxLineResidual   = 0.15
	exponentTolerance = 0.1
	maxStandardErrors = 2
	// flatTolerance is the growth over all sizes that still counts as flat, as a share of the mean value.
	flatTolerance = 1e-9
)

// samples holds the points of a series with their weights.
type samples struct {
	sizes   []float64
	values  []float64
	weights []float64
}

// newSamples weights points by the assumed error of each value. Without weights the largest sizes would dominate the
// fit, because sizes span a factor of ten or more.
func newSamples(points []Point, resolution float64) *samples {
	valueForZero := 0.0 // value whose relativeError is used for a value of 0
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

// Fit fits a line to the points. It returns an error if there are too few sizes, or if a point is invalid.
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

// At returns the value of the line at a size.
func (f *Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// AtError returns the standard error of At. It is the error of the line, not that of a single measurement.
func (f *Fit) AtError(size float64) float64 {
	distance := size - f.meanSize
	return math.Hypot(math.Sqrt(f.variance/f.weightSum), f.SlopeError*distance)
}

// fitLine sets the slope with its error, the intercept and the worst residual. The resolution is included in the
// error of the slope, as an error that is uniformly distributed over it: otherwise points that are all 0 would have
// no error.
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

// Range and step of the exponents that fitExponent tries.
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

// fitExponent sets the exponent with the smallest sum of squared residuals, and its standard error.
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

// exponentError returns the standard error of the exponent, from the covariance of the three parameters
// (Gauss-Newton): the inverse of the matrix of weighted products of the derivatives with respect to a, b and the
// exponent. It is infinite if it can't be determined.
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

// shape determines the shape by the criteria described at maxLineResidual.
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
