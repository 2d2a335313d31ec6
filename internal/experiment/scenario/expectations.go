package scenario

import (
	"fmt"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// Missed describes each expectation that a run doesn't meet and each rule that it violates.
func (s *Scenario) Missed(run *simulator.Summary) []string {
	c := checker{run: run}
	c.rules()
	c.inTimeShares(&s.Expected)
	c.perSecond(&s.Expected.PerSecond)
	c.endOfRun(&s.Expected)
	return c.missed
}

// checker collects the descriptions of the expectations that a run doesn't meet.
type checker struct {
	run    *simulator.Summary
	missed []string
}

func (c *checker) missf(format string, args ...any) {
	c.missed = append(c.missed, fmt.Sprintf(format, args...))
}

func (c *checker) rules() {
	for rule, count := range c.run.Violations {
		if count > 0 {
			c.missf("%v: %d times", simulator.Rule(rule), count)
		}
	}
}

func (c *checker) inTimeShares(e *Expectations) {
	if got := c.run.InTimeShare(); got < e.InTimeShare {
		c.missf("%.4f in time, %.4f expected", got, e.InTimeShare)
	}
	if got := c.run.WeightedInTimeShare(); got < e.WeightedInTimeShare {
		c.missf("%.4f in time by priority weight, %.4f expected", got, e.WeightedInTimeShare)
	}
	for _, class := range c.run.Classes {
		requests := float64(class.FirstRequests)
		inTime := float64(class.InTime)
		if requests > 0 && inTime < e.ClassInTimeShare*requests {
			c.missf("%s: %.4f in time, %.4f expected", class.Name, inTime/requests, e.ClassInTimeShare)
		}
	}
}

// perSecond adds the first second that exceeds the budget.
func (c *checker) perSecond(budget *Budget) {
	for i := range c.run.Seconds {
		if excess := budget.excess(&c.run.Seconds[i]); excess != "" {
			c.missf("second %d: %s", i, excess)
			return
		}
	}
}

// excess describes the first limit of the budget that a second exceeds; "" means none.
func (b *Budget) excess(second *simulator.Second) string {
	limits := []struct {
		name  string
		got   int
		limit int
	}{
		{"handshakes", second.Handshakes, b.Handshakes},
		{"cold_sends", second.WarmingAttempts, b.WarmingAttempts},
		{"dead_sends", second.UnavailableAttempts, b.UnavailableAttempts},
		{"list_calls", second.Polls, b.Polls},
	}
	for _, l := range limits {
		if l.limit > 0 && l.got > l.limit {
			return fmt.Sprintf("%s: %d, at most %d expected", l.name, l.got, l.limit)
		}
	}
	return ""
}

func (c *checker) endOfRun(e *Expectations) {
	if e.EndInTimeShare <= 0 {
		return
	}
	requests := 0
	inTime := 0
	for i, second := range c.run.Seconds {
		if time.Duration(i)*time.Second >= e.EndFrom {
			requests += second.FirstRequests
			inTime += second.InTime
		}
	}
	if requests > 0 && float64(inTime) < e.EndInTimeShare*float64(requests) {
		c.missf("%.4f in time from %v on, %.4f expected", float64(inTime)/float64(requests), e.EndFrom, e.EndInTimeShare)
	}
}
