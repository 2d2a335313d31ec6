package scaletest

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// newSeries returns a series by a formula, with relative noise of a seed.
func newSeries(sizes []float64, noise float64, seed uint64, value func(n float64) float64) *Series {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &Series{Name: "series", Unit: "ms", By: "thing"}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{n, value(n) * (1 + noise*rng.NormFloat64())})
	}
	return s
}

var sizes = []float64{1000, 3000, 10_000, 30_000, 55_000}

// fit returns the fit of a series that has one.
func fit(t *testing.T, s *Series) *Fit {
	t.Helper()
	f, err := s.Fit()
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// near reports whether x is within a share of want.
func near(x, want, share float64) bool { return math.Abs(x-want) <= share*math.Abs(want) }

// A line has its slope and intercept; a constant is flat.
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

// A power other than 1 is found, with and without an intercept and a linear part, and the table has no value for the
// target size.
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
			t.Errorf("%s: got %+v, want a power from %v to %v", name, f, c.low, c.high)
		}
		var b strings.Builder
		r := &Report{Part: "p", Series: []Series{*newSeries(sizes, 0, 1, c.value)}}
		r.Series[0].TargetSize = 1e6
		if err := Table(&b, r); err != nil || !strings.Contains(b.String(), "power ") || strings.Contains(b.String(), "at 1e+06") {
			t.Errorf("%s: got error %v and\n%s", name, err, b.String())
		}
	}
}

// With the noise of processes lines and quadratics are found, and slopes are within their errors; with far more noise no
// line is found.
func TestFitWithNoise(t *testing.T) {
	const seeds = 200
	var withinErrors, lines, powers, falseLines int
	for seed := range uint64(seeds) {
		f := fit(t, newSeries(sizes, 0.03, seed, func(n float64) float64 { return 20 + 0.003*n }))
		if f.Shape == Line {
			lines++
		}
		// Two errors hold 86 in 100 with three degrees of freedom (Student's t).
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
	t.Logf("of %d: lines %d, slope within two errors %d, quadratics %d, lines in noise %d", seeds, lines, withinErrors, powers, falseLines)
	if lines < seeds*90/100 || withinErrors < seeds*75/100 || powers < seeds*95/100 || falseLines > seeds*5/100 {
		t.Errorf("got of %d: lines %d, slope within two errors %d, quadratics %d, lines in noise %d", seeds, lines, withinErrors, powers, falseLines)
	}
}

// A series with too few sizes is not fitted, and table and JSON say so.
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

// Points within the resolution are flat, with a slope error as large as the resolution allows.
func TestFitWithinTheResolution(t *testing.T) {
	s := newSeries(sizes, 0, 1, func(float64) float64 { return 0 })
	s.Resolution, s.TargetSize = 10, 1e6
	f := fit(t, s)
	if f.Shape != Flat || f.SlopeError < 10/sizes[len(sizes)-1]/10 || f.AtError(1e6) < 10 {
		t.Errorf("got %+v, error %v at 1e6, want it flat with errors of the resolution", f, f.AtError(1e6))
	}
}

// An error at the largest size, as large by its share as others, doesn't decide alone.
func TestFitWeightsByRelativeError(t *testing.T) {
	s := newSeries(sizes, 0, 1, func(n float64) float64 { return 20 + 0.003*n })
	s.Points[len(s.Points)-1].Value *= 1.1
	if f := fit(t, s); f.Shape != Line || !near(f.Intercept, 20, 0.05) || !near(f.Slope, 0.003, 0.06) {
		t.Errorf("got %+v, want a line of about slope 0.003 and intercept 20", f)
	}
}
