package capacity

import (
	"encoding/json"
	"math"
	"strings"
	"unicode"
)

// Slope is the line through a measured series, with the value measured at the largest size.
type Slope struct {
	Name      string
	Slope     float64
	Error     float64 // standard error of Slope
	Intercept float64
	Shape     string  // shapeLine, shapeFlat, or a shape for which the slope can't be used
	Reach     float64 // target size as a multiple of the largest measured one
	Largest   float64 // value measured at the largest size
}

// Shapes for which Slope and Intercept can be used in formulas.
const (
	shapeLine = "line"
	shapeFlat = "flat"
	// shapeNotFitted is the shape of a series without a fit.
	shapeNotFitted = "not fitted"
)

func (s *Slope) isLine() bool { return s.Shape == shapeLine || s.Shape == shapeFlat }

// report is the JSON document that "experiment scale --json" writes.
type report []struct {
	Part   string         `json:"part"`
	Series []reportSeries `json:"series"`
}

type reportSeries struct {
	Name   string        `json:"name"`
	Unit   string        `json:"unit"`
	Points []reportPoint `json:"points"`
	Fit    *reportFit    `json:"fit"`
}

type reportPoint struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

type reportFit struct {
	Slope     float64 `json:"slope"`
	Error     float64 `json:"slope_error"`
	Intercept float64 `json:"intercept"`
	Shape     string  `json:"shape"`
	Reach     float64 `json:"reach"`
}

// ParseReport parses the output of "experiment scale --json". The name of a slope consists of the part, the series
// and the unit, in lower case, joined by _, which also replaces any sequence of characters other than letters and
// digits, as in mesh_member_bytes_s.
func ParseReport(text []byte) ([]Slope, error) {
	var parts report
	if err := json.Unmarshal(text, &parts); err != nil {
		return nil, err
	}
	var slopes []Slope
	for _, part := range parts {
		for _, series := range part.Series {
			slopes = append(slopes, series.slope(part.Part))
		}
	}
	return slopes, nil
}

func (s *reportSeries) slope(part string) Slope {
	slope := Slope{Name: formulaName(part + " " + s.Name + " " + s.Unit), Shape: shapeNotFitted}
	if s.Fit != nil {
		slope.Slope = s.Fit.Slope
		slope.Error = s.Fit.Error
		slope.Intercept = s.Fit.Intercept
		slope.Shape = s.Fit.Shape
		slope.Reach = s.Fit.Reach
	}
	largestSize := math.Inf(-1)
	for _, p := range s.Points {
		if p.Size > largestSize {
			largestSize = p.Size
			slope.Largest = p.Value
		}
	}
	return slope
}

// formulaName converts a text to a name for formulas.
func formulaName(text string) string {
	isSeparator := func(r rune) bool { return !unicode.IsLetter(r) && !unicode.IsDigit(r) }
	return strings.Join(strings.FieldsFunc(strings.ToLower(text), isSeparator), "_")
}
