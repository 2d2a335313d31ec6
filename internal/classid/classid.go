// Package classid assigns numbers to request classes that are stable across changes of the settings. A number keeps
// its rules for as long as any request may use it: a request in flight keeps the rules that it was admitted with,
// whatever the new settings have for its class. The package does no I/O.
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

// noNumber means that a class has no previous number.
const noNumber = -1

// Assign assigns numbers to the classes of new settings. current has the classes so far, indexed by number. inUse
// reports whether a request may still use a number; it is called only for numbers of retired classes. list has each
// wanted class at its number, and the other classes marked as retired. from has for each number the previous number
// whose state it continues, or -1.
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

// assignment is the state of Assign.
type assignment struct {
	current  []Class
	inUse    func(number int) bool
	taken    []bool // whether a number is assigned to a wanted class, by number
	nextFree int    // search position in add: no number below it is free
	list     []Class
	from     []int
}

// keep assigns a class the number that it has or had, if its rules are unchanged, and reports whether it did.
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

// add assigns a class a number that no request uses any more, or a new one.
func (a *assignment) add(w Class) {
	for a.nextFree < len(a.current) && !a.isFree(a.nextFree) {
		a.nextFree++
	}
	from := a.predecessor(w)
	if a.nextFree < len(a.current) {
		a.taken[a.nextFree] = true
		a.list[a.nextFree] = w
		a.from[a.nextFree] = from
		return
	}
	a.list = append(a.list, w)
	a.from = append(a.from, from)
}

// isFree reports whether a current number may be assigned to another class.
func (a *assignment) isFree(number int) bool {
	return !a.taken[number] && a.current[number].Rules.Retired && !a.inUse(number)
}

// predecessor returns the number of the current class of the same name, which has other rules, or noNumber.
func (a *assignment) predecessor(w Class) int {
	for i, c := range slices.Backward(a.current) {
		if c.Name == w.Name && !c.Rules.Retired {
			return i
		}
	}
	return noNumber
}

// trim removes the last numbers while they are free.
func (a *assignment) trim() {
	for n := len(a.list); n > 0 && n <= len(a.current) && a.isFree(n-1); n-- {
		a.list = a.list[:n-1]
		a.from = a.from[:n-1]
	}
}
