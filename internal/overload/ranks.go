package overload

import (
	"sort"
	"time"
)

// RankedClass has the properties of a class that determine its rank in load shedding. The lowest rank is shed first.
type RankedClass struct {
	Weight           float64
	LatencyObjective time.Duration
}

// duplicateWeight is the weight of a client's duplicate relative to its first request. It is lower as a duplicate may
// be served late, and as retry storms consist of duplicates.
const duplicateWeight = 0.25

// Ranks returns the ranks of first requests and of duplicates of each class. A lower weight has a lower rank, and
// with equal weights a longer latency objective has a lower rank. Requests with the same weight and objective share a
// rank. count is the number of ranks.
func Ranks(classes []RankedClass) (first, duplicate []int, count int) {
	type kind struct {
		weight    float64
		objective time.Duration
		rank      *int // variable to which the rank of this kind is written
	}
	first = make([]int, len(classes))
	duplicate = make([]int, len(classes))
	var kinds []kind
	for i, class := range classes {
		kinds = append(kinds,
			kind{class.Weight, class.LatencyObjective, &first[i]},
			kind{class.Weight * duplicateWeight, class.LatencyObjective, &duplicate[i]})
	}
	sort.SliceStable(kinds, func(i, j int) bool {
		if kinds[i].weight != kinds[j].weight {
			return kinds[i].weight < kinds[j].weight
		}
		return kinds[i].objective > kinds[j].objective
	})
	for i, k := range kinds {
		if i > 0 {
			below := kinds[i-1]
			if below.weight != k.weight || below.objective != k.objective {
				count++
			}
		}
		*k.rank = count
	}
	return first, duplicate, count + 1
}
