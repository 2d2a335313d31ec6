package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/testutil"
)

// fleet simulates a fleet that carries out the steps of a plan while machines fail and return.
type fleet struct {
	Plan
	rng       *rand.Rand
	seed      uint64
	moved     int   // number of learners that were added
	violation error // first violated invariant
}

func (f *fleet) fail(format string, args ...any) {
	if f.violation == nil {
		f.violation = fmt.Errorf("seed %d: %s", f.seed, fmt.Sprintf(format, args...))
	}
}

func newFleet(seed uint64, partitions, machines int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), seed: seed}
	f.ReplicationFactor = 3
	for i := range partitions {
		f.Partitions = append(f.Partitions, Partition{ID: i})
	}
	for i := range machines {
		for k := range 1 + f.rng.IntN(2) { // one or two gateways a machine
			f.Gateways = append(f.Gateways, Gateway{
				Name: fmt.Sprintf("g%d-%d", i, k), Machine: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Weight: []float64{1, 1, 2}[f.rng.IntN(3)], Up: true,
			})
		}
	}
	// Each partition starts with its target replicas.
	targets := f.Targets()
	for i := range f.Partitions {
		f.Partitions[i].Replicas = targets[i]
	}
	return f
}

// check checks that no two replicas of a partition are on the same machine.
func (f *fleet) check() {
	for _, part := range f.Partitions {
		machines := map[string]bool{}
		for _, gateway := range part.Replicas {
			if m := f.byName[gateway].Machine; machines[m] {
				f.fail("partition %d has two replicas on the same machine: %v", part.ID, part.Replicas)
			} else {
				machines[m] = true
			}
		}
	}
}

// step carries out a random selection of the next steps, and checks that each is allowed. It reports whether
// further steps may follow.
func (f *fleet) step() bool {
	steps := f.NextSteps()
	seen := map[int]bool{}
	for _, s := range steps {
		part := &f.Partitions[s.Partition]
		if seen[s.Partition] {
			f.fail("two steps for partition %d at the same time: %+v", s.Partition, steps)
		}
		seen[s.Partition] = true
		if f.rng.IntN(4) == 0 {
			continue // the step fails
		}
		before := f.countUp(part.Replicas)
		if 2*before <= len(part.Replicas) && s.Remove != part.Learner {
			f.fail("step %+v of partition %d can't be committed: of its %d replicas only %d are up", s, s.Partition, len(part.Replicas), before)
		}
		switch {
		case s.AddLearner != "":
			part.Learner, part.LearnerCaughtUp = s.AddLearner, false
			f.moved++
			continue
		case s.Promote != "":
			if !part.LearnerCaughtUp {
				f.fail("learner %s is promoted before it has caught up", s.Promote)
			}
			part.Replicas, part.Learner, part.LearnerCaughtUp = append(part.Replicas, s.Promote), "", false
		case s.Remove == part.Learner:
			part.Learner, part.LearnerCaughtUp = "", false
			continue
		}
		part.Replicas = slices.DeleteFunc(part.Replicas, func(gateway string) bool { return gateway == s.Remove })
		if now := f.countUp(part.Replicas); 2*now <= len(part.Replicas) || now < min(before, f.ReplicationFactor) {
			f.fail("partition %d has %d of %d replicas up after step %+v, and %d before", part.ID, now, len(part.Replicas), s, before)
		}
	}
	more := len(steps) > 0
	for i := range f.Partitions {
		if part := &f.Partitions[i]; part.Learner != "" && f.usable(part.Learner) && !part.LearnerCaughtUp && f.rng.IntN(3) > 0 {
			part.LearnerCaughtUp, more = true, true
		}
	}
	f.check()
	for _, part := range f.Partitions {
		more = more || part.Learner != "" && !part.LearnerCaughtUp // a learner that has caught up may wait for a majority
	}
	return more
}

// settle carries out steps until none are left.
func (f *fleet) settle() {
	for range 20_000 {
		if f.violation != nil || !f.step() {
			return
		}
	}
	f.fail("the steps did not terminate")
}

// setMachineUp marks all gateways of a machine as up or down, and returns the number of their replicas.
func (f *fleet) setMachineUp(name string, up bool) (replicaCount int) {
	for i := range f.Gateways {
		if g := &f.Gateways[i]; g.Machine == name {
			g.Up = up
			for _, part := range f.Partitions {
				if slices.Contains(part.Replicas, g.Name) {
					replicaCount++
				}
			}
		}
	}
	return replicaCount
}

// simulate lets one or two machines at a time fail and return. It returns the number of moved replicas per lost
// replica: without the replicas that were moved after the machines had returned, and with them.
func simulate(seed uint64) (afterLoss, total float64, err error) {
	f := newFleet(seed, 64, 8+int(seed%5))
	f.settle()
	lost, movedBack := 0, 0
	f.moved = 0
	for range 3 {
		names := []string{fmt.Sprint("m", f.rng.IntN(8))}
		if seed%4 == 3 {
			names = append(names, fmt.Sprint("m", f.rng.IntN(8)))
		}
		for _, name := range names {
			lost += f.setMachineUp(name, false)
			for range f.rng.IntN(12) {
				f.step()
			}
		}
		f.settle()
		moved := f.moved
		for _, name := range names {
			f.setMachineUp(name, true)
		}
		f.settle()
		movedBack += f.moved - moved
	}
	f.prepare()
	replicaCount := map[string]int{}
	for _, part := range f.Partitions {
		if f.countUp(part.Replicas) != f.ReplicationFactor || len(part.Replicas) != f.ReplicationFactor {
			f.fail("partition %d has missing or unavailable replicas, or too many: %v", part.ID, part.Replicas)
		}
		for i, gateway := range part.Replicas {
			replicaCount[gateway]++
			if !f.separated(part.Replicas[:i], gateway, true) {
				f.fail("partition %d has two replicas in the same zone: %v", part.ID, part.Replicas)
			}
		}
	}
	for name, n := range replicaCount {
		if float64(n) > maxRetainedLoad*f.share[name]+1 {
			f.fail("gateway %s is overloaded: it has %d replicas, and its share is %.1f", name, n, f.share[name])
		}
	}
	return float64(f.moved-movedBack) / float64(lost), float64(f.moved) / float64(lost), f.violation
}

// TestMachinesComeAndGo lets machines fail with their disks and return at random times. It checks that two replicas
// of a partition are never on the same machine, that no step costs a partition its majority, that in the end all
// partitions have all replicas in separate zones, and that at most 1.5 times as many replicas are moved as were lost.
func TestMachinesComeAndGo(t *testing.T) {
	most, all := 0.0, 0.0
	for seed := range uint64(60) {
		afterLoss, total, err := simulate(seed)
		if err != nil {
			t.Fatal(err)
		}
		most, all = max(most, afterLoss), max(all, total)
	}
	t.Logf("replicas moved per lost replica: at most %.2f, or %.2f with those moved after machines had returned", most, all)
	if most > 1.5 {
		t.Errorf("replicas moved per lost replica: got %.2f, want at most 1.5", most)
	}
}

// TestFailpoints runs TestEachFailpoint in a build with failpoints.
func TestFailpoints(t *testing.T) { testutil.FailpointBuild(t, failpoint.Available) }

// simulateFewMachines checks a fleet with fewer machines than replicas per partition: each machine holds one replica
// of every partition, and a gateway with weight 0 receives none.
func simulateFewMachines(seed uint64) error {
	f := newFleet(seed, 16, 2)
	f.settle()
	f.check()
	for _, part := range f.Partitions {
		if len(part.Replicas) != 2 {
			f.fail("partition %d has other than 2 replicas: %v", part.ID, part.Replicas)
		}
	}
	f.Gateways = append(f.Gateways, Gateway{Name: "none", Machine: "m9", Zone: "z9", Up: true})
	if f.step() {
		f.fail("a gateway with weight 0 was assigned replicas")
	}
	return f.violation
}

// TestFewMachines runs simulateFewMachines with several seeds.
func TestFewMachines(t *testing.T) {
	for seed := range uint64(20) {
		if err := simulateFewMachines(seed); err != nil {
			t.Error(err)
		}
	}
}
