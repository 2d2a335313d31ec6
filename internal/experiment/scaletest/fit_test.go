package scaletest

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// newSeries returns a series computed by a function, with relative noise drawn from a seed.
func newSeries(sizes []float64, noise float64, seed uint64, value func(n float64) float64) *Series {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &Series{Name: "series", Unit: "ms", By: "thing"}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{n, value(n) * (1 + noise*rng.NormFloat64())})
	}
	return s
}

var sizes = []float64{1000, 3000, 10_000, 30_000, 55_000}

// fit returns the fit of a series, and fails the test if there is none.
func fit(t *testing.T, s *Series) *Fit {
	t.Helper()
	f, err := s.Fit()
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// near reports whether x differs from want by at most a share of want.
func near(x, want, share float64) bool { return math.Abs(x-want) <= share*math.Abs(want) }

// The fit of a line has the slope and the intercept of the line, and a constant is flat.
func TestFitOfALine(t *testing.T) {
	s := newSeries(sizes, 0, 1, func(n float64) float64 { return 20 + 0.003*n })
	s.TargetSize = 110_000
	f := fit(t, s)
	if f.Shape != Line || !near(f.Slope, 0.003, 1e-9) || !near(f.Intercept, 20, 1e-9) || f.SlopeError > 1e-9 || f.Reach != 2 || !near(f.At(s.TargetSize), 350, 1e-9) {
		t.Errorf("got %+v, want a line of slope 0.003 and intercept 20", f)
	}
	if f := fit(t, newSeries(sizes, 0, 1, func(float64) float64 { return 7 })); f.Shape != Flat || !near(f.Intercept, 7, 1e-9) {
		t.Errorf("constant: got %+v, want it flat at 7", f)
	}
	if f := fit(t, newSeries(sizes, 0, 1, func(float64) float64 { return 0 })); f.Shape != Flat {
		t.Errorf("zeros: got %+v, want it flat", f)
	}
}

// A power other than 1 is detected, with and without an intercept and a linear part. The table then has no value at
// the target size.
func TestFitOfAPower(t *testing.T) {
	for name, c := range map[string]struct {
		value     func(n float64) float64
		low, high float64
	}{
		"quadratic":          {func(n float64) float64 { return n * n / 1e6 }, 1.95, 2.05},
		"with an intercept":  {func(n float64) float64 { return 20 + n*n/1e6 }, 1.95, 2.05},
		"with a linear part": {func(n float64) float64 { return 20 + n/1000 + n*n/1e7 }, 1.5, 2},
		"square root":        {func(n float64) float64 { return 20 + math.Sqrt(n) }, 0.45, 0.55},
	} {
		f := fit(t, newSeries(sizes, 0, 1, c.value))
		if f.Shape != Power || f.Exponent < c.low || f.Exponent > c.high {
			t.Errorf("%s: got %+v, want a power with an exponent from %v to %v", name, f, c.low, c.high)
		}
		var b strings.Builder
		r := &Report{Part: "p", Series: []Series{*newSeries(sizes, 0, 1, c.value)}}
		r.Series[0].TargetSize = 1e6
		if err := Table(&b, r); err != nil || !strings.Contains(b.String(), "power ") || strings.Contains(b.String(), "at 1e+06") {
			t.Errorf("%s: got error %v and\n%s", name, err, b.String())
		}
	}
}

// With noise as in measurements of processes, lines and quadratics are detected, and slopes are within their errors.
// With far more noise almost no line is found.
func TestFitWithNoise(t *testing.T) {
	const seeds = 200
	var withinErrors, lines, powers, falseLines int
	for seed := range uint64(seeds) {
		f := fit(t, newSeries(sizes, 0.03, seed, func(n float64) float64 { return 20 + 0.003*n }))
		if f.Shape == Line {
			lines++
		}
		// With three degrees of freedom (Student's t), 86 of 100 slopes are within two standard errors.
		if math.Abs(f.Slope-0.003) <= 2*f.SlopeError {
			withinErrors++
		}
		if f := fit(t, newSeries(sizes, 0.03, seed, func(n float64) float64 { return 20 + n*n/1e6 })); f.Shape == Power && f.Exponent > 1.7 && f.Exponent < 2.3 {
			powers++
		}
		if f := fit(t, newSeries(sizes, 0.5, seed, func(n float64) float64 { return 20 + 0.003*n })); f.Shape == Line {
			falseLines++
		}
	}
	t.Logf("of %d seeds: lines %d, slope within two errors %d, quadratics %d, lines in noise %d", seeds, lines, withinErrors, powers, falseLines)
	if lines < seeds*90/100 || withinErrors < seeds*75/100 || powers < seeds*95/100 || falseLines > seeds*5/100 {
		t.Errorf("got of %d seeds: lines %d, slope within two errors %d, quadratics %d, lines in noise %d", seeds, lines, withinErrors, powers, falseLines)
	}
}

// A series with too few sizes or an invalid point is not fitted, and both the table and the JSON report the reason.
func TestFitOfTooFewSizes(t *testing.T) {
	line := func(n float64) float64 { return n }
	for want, s := range map[string]*Series{
		"3 sizes":        newSeries([]float64{1, 10, 100}, 0, 1, line),
		"2 sizes":        newSeries([]float64{1, 1, 1, 100, 100}, 0, 1, line),
		"a factor of":    newSeries([]float64{10, 20, 40, 99}, 0, 1, line),
		"no measurement": newSeries([]float64{0, 20, 40, 990}, 0, 1, line),
	} {
		f, err := s.Fit()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got fit %v, error %v, want an error with %q", f, err, want)
		}
		var b strings.Builder
		r := &Report{Part: "p", Series: []Series{*s}}
		if err := Table(&b, r); err != nil || !strings.Contains(b.String(), "not fitted: ") {
			t.Errorf("table: got error %v and\n%s", err, b.String())
		}
		if text, err := r.MarshalJSON(); err != nil || !strings.Contains(string(text), `"refused"`) {
			t.Errorf("JSON: got error %v and %s", err, text)
		}
	}
}

// Points that differ by less than the resolution are flat, and the error of their slope includes the resolution.
func TestFitWithinTheResolution(t *testing.T) {
	s := newSeries(sizes, 0, 1, func(float64) float64 { return 0 })
	s.Resolution, s.TargetSize = 10, 1e6
	f := fit(t, s)
	if f.Shape != Flat || f.SlopeError < 10/sizes[len(sizes)-1]/10 || f.AtError(1e6) < 10 {
		t.Errorf("got %+v, error %v at 1e6, want it flat with errors of the resolution", f, f.AtError(1e6))
	}
}

// A relative error of 10 % at the largest size doesn't dominate the fit.
func TestFitWeightsByRelativeError(t *testing.T) {
	s := newSeries(sizes, 0, 1, func(n float64) float64 { return 20 + 0.003*n })
	s.Points[len(s.Points)-1].Value *= 1.1
	if f := fit(t, s); f.Shape != Line || !near(f.Intercept, 20, 0.05) || !near(f.Slope, 0.003, 0.06) {
		t.Errorf("got %+v, want a line of about slope 0.003 and intercept 20", f)
	}
}
