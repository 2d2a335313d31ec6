package classid

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

func class(name string, effect balancer.Idempotency) Class {
	return Class{name, balancer.Class{LatencyObjective: time.Second, Deadline: time.Second, Idempotency: effect}}
}

// show returns the names of a list, retired ones in brackets.
func show(list []Class) string {
	var s []string
	for _, c := range list {
		if c.Rules.Retired {
			s = append(s, "("+c.Name+")")
		} else {
			s = append(s, c.Name)
		}
	}
	return strings.Join(s, " ")
}

func TestAssign(t *testing.T) {
	look, book, strict := class("look", balancer.Idempotent), class("book", balancer.NonIdempotent), class("look", balancer.NonIdempotent)
	more := class("more", balancer.Idempotent)
	none, all := func(int) bool { return false }, func(int) bool { return true }
	gone := look
	gone.Rules.Retired = true
	for _, c := range []struct {
		name        string
		now, wanted []Class
		inUse       func(int) bool
		want        string
		from        []int
	}{
		{"nothing new", []Class{look, book}, []Class{look, book}, all, "look book", []int{0, 1}},
		{"in another order", []Class{look, book}, []Class{book, look}, all, "look book", []int{0, 1}},
		{"one appears", []Class{look}, []Class{look, book}, all, "look book", []int{0, -1}},
		{"one vanishes", []Class{look, book}, []Class{book}, none, "(look) book", []int{0, 1}},
		{"the last vanishes", []Class{book, look}, []Class{book}, none, "book (look)", []int{0, 1}},
		{"it is forgotten once no request uses it", []Class{book, gone}, []Class{book}, none, "book", []int{0}},
		{"but not before", []Class{book, gone}, []Class{book}, all, "book (look)", []int{0, 1}},
		{"it comes again", []Class{gone, book}, []Class{look, book}, all, "look book", []int{0, 1}},
		{"with stricter rules", []Class{look, book}, []Class{strict, book}, none, "(look) book look", []int{0, 1, 0}},
		{"a free number is used", []Class{gone, book}, []Class{book, more}, none, "more book", []int{-1, 1}},
		{"one that is in use is not", []Class{gone, book}, []Class{book, more}, all, "(look) book more", []int{0, 1, -1}},
	} {
		list, from := Assign(c.now, c.wanted, c.inUse)
		if got := show(list); got != c.want || !slices.Equal(from, c.from) {
			t.Errorf("%s: %s from %v, want %s from %v", c.name, got, from, c.want, c.from)
		}
	}
}

// Whatever changes come: a number that requests use keeps its rules, each wanted class has one number, and no more
// numbers are kept than are needed.
func TestNumbersKeepTheirRules(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var now []Class
		under := map[int]balancer.Class{} // numbers that requests use, with their rules
		for range 40 {
			var wanted []Class
			for _, n := range names {
				if rng.IntN(2) == 0 {
					wanted = append(wanted, class(n, balancer.Idempotency(rng.IntN(3))))
				}
			}
			if len(wanted) == 0 {
				continue
			}
			most := 0
			for n := range under {
				most = max(most, n+1)
			}
			list, from := Assign(now, wanted, func(i int) bool { _, used := under[i]; return used })
			if len(list) != len(from) || len(list) > max(len(now), most)+len(wanted) {
				t.Fatalf("seed %d: %d numbers, %d before", seed, len(list), len(now))
			}
			for n, rules := range under {
				if got := list[n].Rules; got.Idempotency != rules.Idempotency {
					t.Fatalf("seed %d: rules under number %d have changed", seed, n)
				}
			}
			for _, w := range wanted {
				if n := len(slices.DeleteFunc(slices.Clone(list), func(c Class) bool { return c != w })); n != 1 {
					t.Fatalf("seed %d: %s has %d numbers", seed, w.Name, n)
				}
			}
			live := 0
			for i, c := range list {
				if !c.Rules.Retired {
					live++
					if rng.IntN(2) == 0 {
						under[i] = c.Rules
					}
				}
				if rng.IntN(3) == 0 {
					delete(under, i)
				}
			}
			if live != len(wanted) {
				t.Fatalf("seed %d: %d live classes, want %d", seed, live, len(wanted))
			}
			now = list
		}
	}
}
