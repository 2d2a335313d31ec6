package overload

import (
	"sort"
	"time"
)

// Rank is what the rank of a class depends on when load is shed: the lowest rank goes first.
type Rank struct {
	Weight           float64
	LatencyObjective time.Duration
}

// duplicateWeight is the weight of a client's duplicate relative to its first request: it may come late, and retry storms
// are made of them.
const duplicateWeight = 0.25

// Ranks returns the ranks of first requests and of duplicates of each class: a lower weight has a lower rank, and of equal
// weights the class that can wait longer. Equal kinds share a rank. count is the number of ranks.
func Ranks(classes []Rank) (first, duplicate []int, count int) {
	type kind struct {
		weight    float64
		objective time.Duration
		rank      *int // where its rank is set
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
