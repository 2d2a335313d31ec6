// Package scaletest computes the cost of a unit from measurements at several sizes: a slope with its error, an
// intercept, whether the points are on a line, and how far the target size is beyond the largest measured one. It
// does no I/O except writing tables.
package scaletest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Point is the value measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// valid reports whether a point can be a measurement: a positive size and finite numbers.
func (p Point) valid() bool {
	isFinite := func(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
	return p.Size > 0 && isFinite(p.Size) && isFinite(p.Value)
}

// Series is a quantity measured at several sizes.
type Series struct {
	Name       string  `json:"name"` // the quantity, such as "resident memory"
	Unit       string  `json:"unit"` // unit of the values, such as "MB" or "CPU ms"
	By         string  `json:"by"`   // what the sizes count, such as "route" or "pool"
	Points     []Point `json:"points"`
	Resolution float64 `json:"resolution,omitempty"` // smallest difference that the measurement can detect, in Unit
	TargetSize float64 `json:"asked,omitempty"`      // size to design for; 0: none
}

// Minimum requirements for fitting a series.
const (
	minSizes    = 4
	minSizeSpan = 10 // the largest size as a multiple of the smallest
)

// sortedPoints returns the points sorted by size. It returns an error if they can't be fitted.
func (s *Series) sortedPoints() ([]Point, error) {
	points := slices.Clone(s.Points)
	slices.SortFunc(points, func(p, q Point) int { return cmp.Compare(p.Size, q.Size) })
	sizes := 0
	for i, p := range points {
		if !p.valid() {
			return nil, fmt.Errorf("point with size %v and value %v is no measurement", p.Size, p.Value)
		}
		if i == 0 || p.Size > points[i-1].Size {
			sizes++
		}
	}
	if sizes < minSizes {
		return nil, fmt.Errorf("%d sizes, need at least %d", sizes, minSizes)
	}
	first := points[0].Size
	last := points[len(points)-1].Size
	if last < minSizeSpan*first {
		return nil, fmt.Errorf("sizes from %v to %v, need at least a factor of %d between them", first, last, minSizeSpan)
	}
	return points, nil
}

// sizeRange returns the smallest and the largest size and the number of points as text.
func (s *Series) sizeRange() string {
	if len(s.Points) == 0 {
		return "none"
	}
	low := s.Points[0].Size
	high := low
	for _, p := range s.Points {
		low = min(low, p.Size)
		high = max(high, p.Size)
	}
	return fmt.Sprintf("%v-%v (%d)", low, high, len(s.Points))
}
