package placement

import (
	"cmp"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// Step is one change of one partition.
type Step struct {
	Partition  int
	AddLearner string // gateway to bring up
	Promote    string // learner to give a vote
	Remove     string // replica to remove, in the same joint change
}

// NextSteps returns the steps that can be taken now towards the targets: one for each partition, none
// that leaves it without a majority of live replicas, and none that removes a replica before its
// successor has a vote.
func (p *Plan) NextSteps() (steps []Step) {
	targets := p.Targets()
	incoming, changing := map[string]int{}, 0
	for _, x := range p.Partitions {
		if x.Learner != "" {
			incoming[x.Learner]++
			changing++
		}
	}
	partitions := slices.Clone(p.Partitions)
	slices.SortStableFunc(partitions, func(a, b Partition) int { // those with the fewest live replicas first
		return cmp.Compare(p.countUp(a.Replicas), p.countUp(b.Replicas))
	})
	for _, x := range partitions {
		surplus := p.surplus(x, targets[x.ID])
		switch {
		case x.Learner != "":
			steps = append(steps, p.learnerStep(x, surplus)...)
		case (len(x.Replicas) > p.ReplicationFactor || failpoint.Enabled(failpoint.RemoveBeforePromote)) && surplus != "":
			if s := (Step{Partition: x.ID, Remove: surplus}); p.keepsMajority(x, s) {
				steps = append(steps, s)
			}
		default:
			for _, name := range targets[x.ID] {
				if !slices.Contains(x.Replicas, name) && incoming[name] < maxIncomingReplicas && changing < maxConcurrentSteps && p.keepsMajority(x, Step{}) {
					incoming[name]++
					changing++
					steps = append(steps, Step{Partition: x.ID, AddLearner: name})
					break
				}
			}
		}
	}
	return steps
}

// learnerStep returns the step for a partition with a learner, if there is one.
func (p *Plan) learnerStep(x Partition, surplus string) []Step {
	if !p.usable(x.Learner) {
		return []Step{{Partition: x.ID, Remove: x.Learner}}
	}
	if !x.LearnerCaughtUp {
		return nil
	}
	s := Step{Partition: x.ID, Promote: x.Learner, Remove: surplus}
	if len(x.Replicas) < p.ReplicationFactor && surplus != "" && p.countUp(x.Replicas) == len(x.Replicas) {
		s.Remove = "" // all replicas are live, and one is missing
	}
	if !p.keepsMajority(x, s) {
		return nil
	}
	return []Step{s}
}

// surplus returns a replica that is not among the targets, one that is down before one that is up; "":
// there is none.
func (p *Plan) surplus(x Partition, targets []string) (surplus string) {
	for _, name := range x.Replicas {
		if !slices.Contains(targets, name) && (surplus == "" || p.isUp(surplus) && !p.isUp(name)) {
			surplus = name
		}
	}
	return surplus
}

func (p *Plan) isUp(name string) bool {
	g := p.byName[name]
	return g != nil && g.Up
}

func (p *Plan) countUp(replicas []string) (n int) {
	for _, name := range replicas {
		if p.isUp(name) {
			n++
		}
	}
	return n
}

// keepsMajority reports whether most replicas are up before a step and after it.
func (p *Plan) keepsMajority(x Partition, s Step) bool {
	after := slices.DeleteFunc(slices.Clone(x.Replicas), func(name string) bool { return name == s.Remove })
	if s.Promote != "" {
		after = append(after, s.Promote)
	}
	majority := func(replicas []string) bool { return 2*p.countUp(replicas) > len(replicas) }
	return majority(x.Replicas) && majority(after) || failpoint.Enabled(failpoint.SkipMajorityCheck)
}
