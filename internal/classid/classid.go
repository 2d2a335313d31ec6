// Package classid gives request classes stable numbers over changes of the settings. A number keeps its rules for as long
// as any request may use it: a request under way keeps the rules that it came under, whatever the new settings say of its
// class. The package does no I/O.
package classid

import (
	"slices"

	"dunemoor/balancer"
)

// Class is a class with its name. Its number is its index in balancer.Settings.Classes and balancer.Request.Class.
type Class struct {
	Name  string
	Rules balancer.Class
}

// noNumber stands for a class that has no number yet.
const noNumber = -1

// Assign numbers the classes of new settings, given the current ones by their number. inUse reports whether a request may
// still use a number; it is asked of retired ones only. list has every wanted class at its number, the others are marked
// as retired. from has for each number the one whose state it continues, or -1.
func Assign(current, wanted []Class, inUse func(number int) bool) (list []Class, from []int) {
	a := &assignment{current: current, inUse: inUse, taken: make([]bool, len(current))}
	a.list = append(a.list, current...)
	for i := range a.list {
		a.list[i].Rules.Retired = true
		a.from = append(a.from, i)
	}
	var changed []Class
	for _, w := range wanted {
		if !a.keep(w) {
			changed = append(changed, w)
		}
	}
	for _, w := range changed {
		a.add(w)
	}
	a.trim()
	return a.list, a.from
}

// assignment is the work of Assign.
type assignment struct {
	current []Class
	inUse   func(number int) bool
	taken   []bool // by number: a wanted class has it
	free    int    // no number below it is free
	list    []Class
	from    []int
}

// keep gives a class the number that it has or had, where its rules are the same. It reports whether there is one.
func (a *assignment) keep(w Class) bool {
	for i, c := range a.current {
		rules := c.Rules
		rules.Retired = w.Rules.Retired
		if !a.taken[i] && c.Name == w.Name && rules == w.Rules {
			a.taken[i] = true
			a.list[i] = w
			return true
		}
	}
	return false
}

// add gives a class a number that no request uses any more, or a new one.
func (a *assignment) add(w Class) {
	for a.free < len(a.current) && !a.isFree(a.free) {
		a.free++
	}
	from := a.predecessor(w)
	if a.free < len(a.current) {
		a.taken[a.free] = true
		a.list[a.free] = w
		a.from[a.free] = from
		return
	}
	a.list = append(a.list, w)
	a.from = append(a.from, from)
}

// isFree reports whether a current number can be given to another class.
func (a *assignment) isFree(number int) bool {
	return !a.taken[number] && a.current[number].Rules.Retired && !a.inUse(number)
}

// predecessor returns the number of the class of the same name with other rules.
func (a *assignment) predecessor(w Class) int {
	for i, c := range slices.Backward(a.current) {
		if c.Name == w.Name && !c.Rules.Retired {
			return i
		}
	}
	return noNumber
}

// trim drops the last numbers while they are free.
func (a *assignment) trim() {
	for n := len(a.list); n > 0 && n <= len(a.current) && a.isFree(n-1); n-- {
		a.list = a.list[:n-1]
		a.from = a.from[:n-1]
	}
}
