package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testkit"
)

// fleet is a fleet that carries the plan's steps out, all the while that machines come and go.
type fleet struct {
	Plan
	r     *rand.Rand
	seed  uint64
	moved int // copies that were begun to be brought up
	bad   error
}

func (f *fleet) fail(format string, args ...any) {
	if f.bad == nil {
		f.bad = fmt.Errorf("seed %d: %s", f.seed, fmt.Sprintf(format, args...))
	}
}

func newFleet(seed uint64, shelves, machines int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 1)), seed: seed}
	f.ReplicationFactor = 3
	for i := range shelves {
		f.Partitions = append(f.Partitions, Partition{ID: i})
	}
	for i := range machines {
		for k := range 1 + f.r.IntN(2) { // one or two gateways a machine
			f.Gateways = append(f.Gateways, Gateway{
				Name: fmt.Sprintf("g%d-%d", i, k), Machine: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Weight: []float64{1, 1, 2}[f.r.IntN(3)], Up: true,
			})
		}
	}
	// A shelf begins with the copies that it is to have.
	want := f.Targets()
	for i := range f.Partitions {
		f.Partitions[i].Replicas = want[i]
	}
	return f
}

// check looks at what must hold of every shelf at any time.
func (f *fleet) check() {
	for _, s := range f.Partitions {
		machines := map[string]bool{}
		for _, c := range s.Replicas {
			if m := f.byName[c].Machine; machines[m] {
				f.fail("shelf %d has two copies on a machine: %v", s.ID, s.Replicas)
			} else {
				machines[m] = true
			}
		}
	}
}

// step carries out what is to be done next, some of it, and says whether there was anything.
func (f *fleet) step() bool {
	steps := f.NextSteps()
	seen := map[int]bool{}
	for _, st := range steps {
		s := &f.Partitions[st.Partition]
		if seen[st.Partition] {
			f.fail("two changes of shelf %d at once: %+v", st.Partition, steps)
		}
		seen[st.Partition] = true
		if f.r.IntN(4) == 0 {
			continue // it did not come through
		}
		before := f.countUp(s.Replicas)
		if 2*before <= len(s.Replicas) && st.Remove != s.Learner {
			f.fail("%+v of shelf %d, of whose %d copies %d live: it can't be carried out", st, st.Partition, len(s.Replicas), before)
		}
		switch {
		case st.AddLearner != "":
			s.Learner, s.LearnerCaughtUp = st.AddLearner, false
			f.moved++
			continue
		case st.Promote != "":
			if !s.LearnerCaughtUp {
				f.fail("%s gets its vote before it has the log", st.Promote)
			}
			s.Replicas, s.Learner, s.LearnerCaughtUp = append(s.Replicas, st.Promote), "", false
		case st.Remove == s.Learner:
			s.Learner, s.LearnerCaughtUp = "", false
			continue
		}
		s.Replicas = slices.DeleteFunc(s.Replicas, func(c string) bool { return c == st.Remove })
		if now := f.countUp(s.Replicas); 2*now <= len(s.Replicas) || now < min(before, f.ReplicationFactor) {
			f.fail("shelf %d has %d of %d copies behind %+v, %d lived before", s.ID, now, len(s.Replicas), st, before)
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
		open = open || s.Learner != "" && !s.LearnerCaughtUp // one that has the log may wait for a majority
	}
	return open
}

// settle steps until nothing is left to do.
func (f *fleet) settle() {
	for range 20_000 {
		if f.bad != nil || !f.step() {
			return
		}
	}
	f.fail("it does not come to an end")
}

// machine sets all gateways of a machine up or down, and returns how many copies they hold.
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

// play loses machines, one or two at once, and has them come back, and returns how much was moved
// beside what was lost: for the losses, and with what machines were given that came back.
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
			f.fail("shelf %d has %v", s.ID, s.Replicas)
		}
		for i, c := range s.Replicas {
			held[c]++
			if !f.separated(s.Replicas[:i], c, true) {
				f.fail("shelf %d has two copies in a zone: %v", s.ID, s.Replicas)
			}
		}
	}
	for name, n := range held {
		if float64(n) > maxRetainedLoad*f.share[name]+1 {
			f.fail("%s holds %d copies, its share is %.1f", name, n, f.share[name])
		}
	}
	return float64(f.moved-back) / float64(lost), float64(f.moved) / float64(lost), f.bad
}

// Machines are lost with their disks and come back, at whatever moment: copies are never on one
// machine, a shelf never loses its majority by a step, all have their copies in the end, in zones of
// their own, and what is moved is at most 1.5 times what was lost.
func TestMachinesComeAndGo(t *testing.T) {
	most, all := 0.0, 0.0
	for seed := range uint64(60) {
		worst, total, err := play(seed)
		if err != nil {
			t.Fatal(err)
		}
		most, all = max(most, worst), max(all, total)
	}
	t.Logf("moved at most %.2f times what was lost, and %.2f with what machines were given that came back", most, all)
	if most > 1.5 {
		t.Errorf("moved %.2f times what was lost", most)
	}
}

// Each guard is taken out in turn, in a build of its own, and found: see TestEachGuard.
func TestFailpoints(t *testing.T) { testkit.FailpointBuild(t, failpoint.Available) }

// playFew has fewer machines than copies: each has one, and nothing is moved about; one with no
// weight has none.
func playFew(seed uint64) error {
	f := newFleet(seed, 16, 2)
	f.settle()
	f.check()
	for _, s := range f.Partitions {
		if len(s.Replicas) != 2 {
			f.fail("shelf %d has %v", s.ID, s.Replicas)
		}
	}
	f.Gateways = append(f.Gateways, Gateway{Name: "none", Machine: "m9", Zone: "z9", Up: true})
	if f.step() {
		f.fail("one with no weight is given copies")
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
