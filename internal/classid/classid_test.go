package classid

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

func class(name string, idempotency balancer.Idempotency) Class {
	return Class{name, balancer.Class{LatencyObjective: time.Second, Deadline: time.Second, Idempotency: idempotency}}
}

// formatClasses returns the names of a list of classes, with retired ones in parentheses.
func formatClasses(list []Class) string {
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

func TestAssignKeepsNumbersInUse(t *testing.T) {
	look := class("look", balancer.Idempotent)
	strictLook := class("look", balancer.NonIdempotent)
	retiredLook := look
	retiredLook.Rules.Retired = true
	book := class("book", balancer.NonIdempotent)
	more := class("more", balancer.Idempotent)
	none := func(int) bool { return false }
	all := func(int) bool { return true }
	for _, c := range []struct {
		name            string
		current, wanted []Class
		inUse           func(int) bool
		wantList        string
		wantFrom        []int
	}{
		{"no change", []Class{look, book}, []Class{look, book}, all, "look book", []int{0, 1}},
		{"other order", []Class{look, book}, []Class{book, look}, all, "look book", []int{0, 1}},
		{"class added", []Class{look}, []Class{look, book}, all, "look book", []int{0, -1}},
		{"class removed", []Class{look, book}, []Class{book}, none, "(look) book", []int{0, 1}},
		{"last class removed", []Class{book, look}, []Class{book}, none, "book (look)", []int{0, 1}},
		{"retired class not in use is dropped", []Class{book, retiredLook}, []Class{book}, none, "book", []int{0}},
		{"retired class in use is kept", []Class{book, retiredLook}, []Class{book}, all, "book (look)", []int{0, 1}},
		{"retired class returns", []Class{retiredLook, book}, []Class{look, book}, all, "look book", []int{0, 1}},
		{"class with changed rules gets a new number", []Class{look, book}, []Class{strictLook, book}, none, "(look) book look", []int{0, 1, 0}},
		{"free number is reused", []Class{retiredLook, book}, []Class{book, more}, none, "more book", []int{-1, 1}},
		{"number in use is not reused", []Class{retiredLook, book}, []Class{book, more}, all, "(look) book more", []int{0, 1, -1}},
	} {
		list, from := Assign(c.current, c.wanted, c.inUse)
		if got := formatClasses(list); got != c.wantList || !slices.Equal(from, c.wantFrom) {
			t.Errorf("%s: got %s from %v, want %s from %v", c.name, got, from, c.wantList, c.wantFrom)
		}
	}
}

// Random changes of the settings: a number that requests use keeps its rules, each wanted class has one number, and
// no more numbers are kept than are needed.
func TestNumbersKeepTheirRulesOverRandomChanges(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var current []Class
		inUse := map[int]balancer.Class{} // numbers that requests use, with their rules
		for range 40 {
			wanted := drawClasses(rng)
			if len(wanted) == 0 {
				continue
			}
			list, from := Assign(current, wanted, func(i int) bool { _, used := inUse[i]; return used })
			if len(from) != len(list) {
				t.Fatalf("seed %d: got a list of %d numbers and %d entries in from, want as many", seed, len(list), len(from))
			}
			checkNumbers(t, seed, list, current, wanted, inUse)
			for i, c := range list {
				if !c.Rules.Retired && rng.IntN(2) == 0 {
					inUse[i] = c.Rules
				}
				if rng.IntN(3) == 0 {
					delete(inUse, i)
				}
			}
			current = list
		}
	}
}

// drawClasses returns some classes at random, each with a random idempotency.
func drawClasses(rng *rand.Rand) (classes []Class) {
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		if rng.IntN(2) == 0 {
			classes = append(classes, class(name, balancer.Idempotency(rng.IntN(3))))
		}
	}
	return classes
}

// checkNumbers checks the list that Assign has returned for current and wanted.
func checkNumbers(t *testing.T, seed uint64, list, current, wanted []Class, inUse map[int]balancer.Class) {
	t.Helper()
	needed := len(current)
	for number := range inUse {
		needed = max(needed, number+1)
	}
	if len(list) > needed+len(wanted) {
		t.Fatalf("seed %d: got %d numbers, with %d before, want no more than needed", seed, len(list), len(current))
	}
	for number, rules := range inUse {
		if got := list[number].Rules; got.Idempotency != rules.Idempotency {
			t.Fatalf("seed %d: the rules of number %d have changed, want them kept while requests use it", seed, number)
		}
	}
	for _, w := range wanted {
		numbers := 0
		for _, c := range list {
			if c == w {
				numbers++
			}
		}
		if numbers != 1 {
			t.Fatalf("seed %d: got %d numbers for %s, want 1", seed, numbers, w.Name)
		}
	}
	live := 0
	for _, c := range list {
		if !c.Rules.Retired {
			live++
		}
	}
	if live != len(wanted) {
		t.Fatalf("seed %d: got %d live classes, want %d", seed, live, len(wanted))
	}
}
