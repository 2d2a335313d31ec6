package scaletest

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// planted is a series by a formula, with relative noise of a seed.
func planted(sizes []float64, noise float64, seed uint64, value func(n float64) float64) *Series {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &Series{Name: "planted", Unit: "ms", By: "thing"}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{n, value(n) * (1 + noise*rng.NormFloat64())})
	}
	return s
}

var sizes = []float64{1000, 3000, 10_000, 30_000, 55_000}

func fit(t *testing.T, s *Series) *Fit {
	t.Helper()
	f, err := s.Fit()
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func near(x, want, part float64) bool { return math.Abs(x-want) <= part*math.Abs(want) }

func TestLine(t *testing.T) {
	s := planted(sizes, 0, 1, func(n float64) float64 { return 20 + 0.003*n })
	s.Asked = 110_000
	f := fit(t, s)
	if f.Shape != Line || !near(f.Slope, 0.003, 1e-9) || !near(f.Intercept, 20, 1e-9) || f.SlopeError > 1e-9 || f.Reach != 2 || !near(f.At(s.Asked), 350, 1e-9) {
		t.Errorf("%+v", f)
	}
	if f := fit(t, planted(sizes, 0, 1, func(float64) float64 { return 7 })); f.Shape != Flat || !near(f.Intercept, 7, 1e-9) {
		t.Errorf("constant: %+v", f)
	}
	if f := fit(t, planted(sizes, 0, 1, func(float64) float64 { return 0 })); f.Shape != Flat {
		t.Errorf("nothing: %+v", f)
	}
}

// A power other than 1 is told, with or without an intercept and a linear part, and no slope is
// taken from it.
func TestPower(t *testing.T) {
	for name, c := range map[string]struct {
		value     func(n float64) float64
		low, high float64
	}{
		"quadratic":          {func(n float64) float64 { return n * n / 1e6 }, 1.95, 2.05},
		"with an intercept":  {func(n float64) float64 { return 20 + n*n/1e6 }, 1.95, 2.05},
		"with a linear part": {func(n float64) float64 { return 20 + n/1000 + n*n/1e7 }, 1.5, 2},
		"square root":        {func(n float64) float64 { return 20 + math.Sqrt(n) }, 0.45, 0.55},
	} {
		f := fit(t, planted(sizes, 0, 1, c.value))
		if f.Shape != Power || f.Exponent < c.low || f.Exponent > c.high {
			t.Errorf("%s: %+v", name, f)
		}
		var b strings.Builder
		r := &Report{Part: "p", Series: []Series{*planted(sizes, 0, 1, c.value)}}
		r.Series[0].Asked = 1e6
		if err := Table(&b, r); err != nil || !strings.Contains(b.String(), "power ") || strings.Contains(b.String(), "at 1e+06") {
			t.Errorf("%s: %v\n%s", name, err, b.String())
		}
	}
}

// With the noise of processes a line stays one and a quadratic too, and the slope is within its
// errors; with far more no line is claimed.
func TestNoise(t *testing.T) {
	const seeds = 200
	var within, lines, powers, claimed int
	for seed := range uint64(seeds) {
		f := fit(t, planted(sizes, 0.03, seed, func(n float64) float64 { return 20 + 0.003*n }))
		if f.Shape == Line {
			lines++
		}
		// Two errors hold 86 in 100 with three degrees of freedom (Student's t).
		if math.Abs(f.Slope-0.003) <= 2*f.SlopeError {
			within++
		}
		if f := fit(t, planted(sizes, 0.03, seed, func(n float64) float64 { return 20 + n*n/1e6 })); f.Shape == Power && f.Exponent > 1.7 && f.Exponent < 2.3 {
			powers++
		}
		if f := fit(t, planted(sizes, 0.5, seed, func(n float64) float64 { return 20 + 0.003*n })); f.Shape == Line {
			claimed++
		}
	}
	t.Logf("of %d: lines %d, slope within two errors %d, quadratics %d, lines claimed of noise %d", seeds, lines, within, powers, claimed)
	if lines < seeds*90/100 || within < seeds*75/100 || powers < seeds*95/100 || claimed > seeds*5/100 {
		t.Errorf("of %d: lines %d, slope within two errors %d, quadratics %d, lines claimed of noise %d", seeds, lines, within, powers, claimed)
	}
}

// What is too little is not fitted, and the table says so.
func TestTooFew(t *testing.T) {
	line := func(n float64) float64 { return n }
	for want, s := range map[string]*Series{
		"3 sizes":        planted([]float64{1, 10, 100}, 0, 1, line),
		"2 sizes":        planted([]float64{1, 1, 1, 100, 100}, 0, 1, line),
		"a factor of":    planted([]float64{10, 20, 40, 99}, 0, 1, line),
		"no measurement": planted([]float64{0, 20, 40, 990}, 0, 1, line),
	} {
		f, err := s.Fit()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, %v", want, f, err)
		}
		var b strings.Builder
		r := &Report{Part: "p", Series: []Series{*s}}
		if err := Table(&b, r); err != nil || !strings.Contains(b.String(), "not fitted: ") {
			t.Errorf("%v\n%s", err, b.String())
		}
		if text, err := r.MarshalJSON(); err != nil || !strings.Contains(string(text), `"refused"`) {
			t.Errorf("%v %s", err, text)
		}
	}
}

// Points that the measure can't tell apart give a slope that may be as large as that allows, and no
// line is claimed.
func TestResolution(t *testing.T) {
	s := planted(sizes, 0, 1, func(float64) float64 { return 0 })
	s.Resolution, s.Asked = 10, 1e6
	f := fit(t, s)
	if f.Shape != Flat || f.SlopeError < 10/sizes[len(sizes)-1]/10 || f.AtError(1e6) < 10 {
		t.Errorf("%+v, %v at 1e6", f, f.AtError(1e6))
	}
}

// An error of the largest size, as large as the others' by its share, does not decide alone.
func TestWeights(t *testing.T) {
	s := planted(sizes, 0, 1, func(n float64) float64 { return 20 + 0.003*n })
	s.Points[len(s.Points)-1].Value *= 1.1
	if f := fit(t, s); f.Shape != Line || !near(f.Intercept, 20, 0.05) || !near(f.Slope, 0.003, 0.06) {
		t.Errorf("%+v", f)
	}
}
