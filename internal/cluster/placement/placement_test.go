package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

// fleet carries out the steps of a plan while machines come and go.
type fleet struct {
	Plan
	r     *rand.Rand
	seed  uint64
	moved int // learners that were added
	bad   error
}

func (f *fleet) fail(format string, args ...any) {
	if f.bad == nil {
		f.bad = fmt.Errorf("seed %d: %s", f.seed, fmt.Sprintf(format, args...))
	}
}

func newFleet(seed uint64, partitions, machines int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 1)), seed: seed}
	f.ReplicationFactor = 3
	for i := range partitions {
		f.Partitions = append(f.Partitions, Partition{ID: i})
	}
	for i := range machines {
		for k := range 1 + f.r.IntN(2) { // one or two gateways a machine
			f.Gateways = append(f.Gateways, Gateway{
				Name: fmt.Sprintf("g%d-%d", i, k), Machine: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Weight: []float64{1, 1, 2}[f.r.IntN(3)], Up: true,
			})
		}
	}
	// A partition begins with its target replicas.
	targets := f.Targets()
	for i := range f.Partitions {
		f.Partitions[i].Replicas = targets[i]
	}
	return f
}

// check checks the invariants of all partitions.
func (f *fleet) check() {
	for _, s := range f.Partitions {
		machines := map[string]bool{}
		for _, c := range s.Replicas {
			if m := f.byName[c].Machine; machines[m] {
				f.fail("partition %d has two replicas on a machine: %v", s.ID, s.Replicas)
			} else {
				machines[m] = true
			}
		}
	}
}

// step carries out some of the next steps, and reports whether there are any.
func (f *fleet) step() bool {
	steps := f.NextSteps()
	seen := map[int]bool{}
	for _, st := range steps {
		s := &f.Partitions[st.Partition]
		if seen[st.Partition] {
			f.fail("two changes of partition %d at once: %+v", st.Partition, steps)
		}
		seen[st.Partition] = true
		if f.r.IntN(4) == 0 {
			continue // it failed
		}
		before := f.countUp(s.Replicas)
		if 2*before <= len(s.Replicas) && st.Remove != s.Learner {
			f.fail("%+v of partition %d, of whose %d replicas %d are up: it can't be committed", st, st.Partition, len(s.Replicas), before)
		}
		switch {
		case st.AddLearner != "":
			s.Learner, s.LearnerCaughtUp = st.AddLearner, false
			f.moved++
			continue
		case st.Promote != "":
			if !s.LearnerCaughtUp {
				f.fail("%s is promoted before it has caught up", st.Promote)
			}
			s.Replicas, s.Learner, s.LearnerCaughtUp = append(s.Replicas, st.Promote), "", false
		case st.Remove == s.Learner:
			s.Learner, s.LearnerCaughtUp = "", false
			continue
		}
		s.Replicas = slices.DeleteFunc(s.Replicas, func(c string) bool { return c == st.Remove })
		if now := f.countUp(s.Replicas); 2*now <= len(s.Replicas) || now < min(before, f.ReplicationFactor) {
			f.fail("partition %d has %d of %d replicas up after %+v, %d before", s.ID, now, len(s.Replicas), st, before)
		}
	}
	open := len(steps) > 0
	for i := range f.Partitions {
		if s := &f.Partitions[i]; s.Learner != "" && f.usable(s.Learner) && !s.LearnerCaughtUp && f.r.IntN(3) > 0 {
			s.LearnerCaughtUp, open = true, true
		}
	}
	f.check()
	for _, s := range f.Partitions {
		open = open || s.Learner != "" && !s.LearnerCaughtUp // a learner that has caught up may wait for a majority
	}
	return open
}

// settle carries out steps until none is left.
func (f *fleet) settle() {
	for range 20_000 {
		if f.bad != nil || !f.step() {
			return
		}
	}
	f.fail("the steps do not end")
}

// machine sets all gateways of a machine up or down, and returns how many replicas they have.
func (f *fleet) machine(name string, up bool) (held int) {
	for i := range f.Gateways {
		if g := &f.Gateways[i]; g.Machine == name {
			g.Up = up
			for _, s := range f.Partitions {
				if slices.Contains(s.Replicas, g.Name) {
					held++
				}
			}
		}
	}
	return held
}

// play loses machines, one or two at once, and has them return. It returns how many replicas were moved for each
// that was lost: for the losses alone, and with those that returned machines were given.
func play(seed uint64) (worst, total float64, err error) {
	f := newFleet(seed, 64, 8+int(seed%5))
	f.settle()
	lost, back := 0, 0
	f.moved = 0
	for range 3 {
		names := []string{fmt.Sprint("m", f.r.IntN(8))}
		if seed%4 == 3 {
			names = append(names, fmt.Sprint("m", f.r.IntN(8)))
		}
		for _, name := range names {
			lost += f.machine(name, false)
			for range f.r.IntN(12) {
				f.step()
			}
		}
		f.settle()
		moved := f.moved
		for _, name := range names {
			f.machine(name, true)
		}
		f.settle()
		back += f.moved - moved
	}
	f.prepare()
	held := map[string]int{}
	for _, s := range f.Partitions {
		if f.countUp(s.Replicas) != f.ReplicationFactor || len(s.Replicas) != f.ReplicationFactor {
			f.fail("partition %d has %v", s.ID, s.Replicas)
		}
		for i, c := range s.Replicas {
			held[c]++
			if !f.separated(s.Replicas[:i], c, true) {
				f.fail("partition %d has two replicas in a zone: %v", s.ID, s.Replicas)
			}
		}
	}
	for name, n := range held {
		if float64(n) > maxRetainedLoad*f.share[name]+1 {
			f.fail("%s has %d replicas, its share is %.1f", name, n, f.share[name])
		}
	}
	return float64(f.moved-back) / float64(lost), float64(f.moved) / float64(lost), f.bad
}

// Machines are lost with their disks and return, at any moment: replicas are never on one machine, a partition
// never loses its majority by a step, all have their replicas in the end, in zones of their own, and at most 1.5
// times as many are moved as were lost.
func TestMachinesComeAndGo(t *testing.T) {
	most, all := 0.0, 0.0
	for seed := range uint64(60) {
		worst, total, err := play(seed)
		if err != nil {
			t.Fatal(err)
		}
		most, all = max(most, worst), max(all, total)
	}
	t.Logf("moved at most %.2f times what was lost, and %.2f with what returned machines were given", most, all)
	if most > 1.5 {
		t.Errorf("moved %.2f times what was lost", most)
	}
}

// Each failpoint is enabled in turn, in a build of its own, and the fault is found: see TestEachFailpoint.
func TestFailpoints(t *testing.T) { testutil.FailpointBuild(t, failpoint.Available) }

// playFew has fewer machines than replicas: each has one, and nothing is moved; a gateway without weight has none.
func playFew(seed uint64) error {
	f := newFleet(seed, 16, 2)
	f.settle()
	f.check()
	for _, s := range f.Partitions {
		if len(s.Replicas) != 2 {
			f.fail("partition %d has %v", s.ID, s.Replicas)
		}
	}
	f.Gateways = append(f.Gateways, Gateway{Name: "none", Machine: "m9", Zone: "z9", Up: true})
	if f.step() {
		f.fail("a gateway without weight is given replicas")
	}
	return f.bad
}

func TestFewMachines(t *testing.T) {
	for seed := range uint64(20) {
		if err := playFew(seed); err != nil {
			t.Error(err)
		}
	}
}
