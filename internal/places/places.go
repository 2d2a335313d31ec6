// Package places gives request classes their numbers over changes of the settings. A number
// goes with its rules for as long as any request may be under it: what is under way keeps the
// rules that it came under, whatever the new settings say of its class. No I/O.
package places

import "dunemoor/balancer"

// Class is a class under its name.
type Class struct {
	Name  string
	Rules balancer.Class
}

// Next numbers the classes of new settings, given those in use now by their number. inUse
// says whether a request may be under a number still; for one that is not retired that is
// taken for granted. The list is as long as it has to be: every class of wanted is in it
// under a number, the others are marked retired. from says of each number whose learning it
// goes on from, -1 for nobody's.
func Next(now, wanted []Class, inUse func(number int) bool) (list []Class, from []int) {
	list = append(list, now...)
	taken := make([]bool, len(now))
	for i := range list {
		list[i].Rules.Retired = true
		from = append(from, i)
	}
	at := make([]int, len(wanted))
	// A class whose rules stay keeps its number, or has it again.
	for k, w := range wanted {
		at[k] = -1
		for i, c := range now {
			same := c.Rules
			same.Retired = w.Rules.Retired
			if !taken[i] && c.Name == w.Name && same == w.Rules {
				at[k], taken[i], list[i] = i, true, w
				break
			}
		}
	}
	// The others have numbers that nobody is under any more, or new ones.
	free := 0
	for k, w := range wanted {
		if at[k] >= 0 {
			continue
		}
		for free < len(now) && (taken[free] || !now[free].Rules.Retired || inUse(free)) {
			free++
		}
		goesOn := -1
		for i, c := range now {
			if c.Name == w.Name && !c.Rules.Retired {
				goesOn = i // with other rules
			}
		}
		if free < len(now) {
			taken[free], list[free], from[free] = true, w, goesOn
		} else {
			list, from = append(list, w), append(from, goesOn)
		}
	}
	for n := len(list); n > 0 && n <= len(now) && !taken[n-1] && now[n-1].Rules.Retired && !inUse(n-1); n-- {
		list, from = list[:n-1], from[:n-1]
	}
	return list, from
}
