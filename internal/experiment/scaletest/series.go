// Package scaletest computes what a unit costs from measurements at several sizes: a slope with its error, an intercept,
// whether the points are on a line at all, and how far the target size is beyond the largest measured one. It has no I/O
// but the writer of the table.
package scaletest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Point is what was measured at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// valid reports whether a point is a measurement.
func (p Point) valid() bool {
	isFinite := func(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
	return p.Size > 0 && isFinite(p.Size) && isFinite(p.Value)
}

// Series is one quantity measured at several sizes.
type Series struct {
	Name       string  `json:"name"` // such as "resident memory"
	Unit       string  `json:"unit"` // of the values, such as "MB" or "CPU ms"
	By         string  `json:"by"`   // what the sizes count, such as "route" or "pool"
	Points     []Point `json:"points"`
	Resolution float64 `json:"resolution,omitempty"` // least difference that the measurement can tell, in the unit
	TargetSize float64 `json:"asked,omitempty"`      // the size to design for; 0: none
}

// Least that a series needs to be fitted.
const (
	minSizes    = 4
	minSizeSpan = 10 // the largest size as a multiple of the smallest
)

// sortedPoints returns the points by size. It returns an error where they can't be fitted.
func (s *Series) sortedPoints() ([]Point, error) {
	points := slices.Clone(s.Points)
	slices.SortFunc(points, func(p, q Point) int { return cmp.Compare(p.Size, q.Size) })
	sizes := 0
	for i, p := range points {
		if !p.valid() {
			return nil, fmt.Errorf("size %v with value %v is no measurement", p.Size, p.Value)
		}
		if i == 0 || p.Size > points[i-1].Size {
			sizes++
		}
	}
	if sizes < minSizes {
		return nil, fmt.Errorf("%d sizes, %d at least", sizes, minSizes)
	}
	first := points[0].Size
	last := points[len(points)-1].Size
	if last < minSizeSpan*first {
		return nil, fmt.Errorf("sizes from %v to %v, a factor of %d at least between them", first, last, minSizeSpan)
	}
	return points, nil
}

// sizeRange describes the smallest and the largest size, and the number of points.
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
