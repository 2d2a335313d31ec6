package placement

import (
	"cmp"
	"slices"

	"dunemoor/internal/cluster/failpoint"
)

// Step is one configuration change of one partition.
type Step struct {
	Partition  int
	AddLearner string // gateway on which a learner is added
	Promote    string // learner to promote to a voter
	Remove     string // replica to remove, in the same joint configuration change
}

// NextSteps returns the steps towards the targets that can be taken now, at most one for each partition. No
// step leaves a partition without a majority of live replicas, or removes a replica before its successor has
// a vote.
func (p *Plan) NextSteps() (steps []Step) {
	targets := p.Targets()
	incoming, changing := map[string]int{}, 0
	for _, part := range p.Partitions {
		if part.Learner != "" {
			incoming[part.Learner]++
			changing++
		}
	}
	partitions := slices.Clone(p.Partitions)
	slices.SortStableFunc(partitions, func(a, b Partition) int { // partitions with the fewest live replicas first
		return cmp.Compare(p.countUp(a.Replicas), p.countUp(b.Replicas))
	})
	for _, part := range partitions {
		surplus := p.surplus(part, targets[part.ID])
		switch {
		case part.Learner != "":
			steps = append(steps, p.learnerStep(part, surplus)...)
		case (len(part.Replicas) > p.ReplicationFactor || failpoint.Enabled(failpoint.RemoveBeforePromote)) && surplus != "":
			if s := (Step{Partition: part.ID, Remove: surplus}); p.keepsMajority(part, s) {
				steps = append(steps, s)
			}
		default:
			for _, name := range targets[part.ID] {
				if !slices.Contains(part.Replicas, name) && incoming[name] < maxIncomingReplicas && changing < maxConcurrentSteps && p.keepsMajority(part, Step{}) {
					incoming[name]++
					changing++
					steps = append(steps, Step{Partition: part.ID, AddLearner: name})
					break
				}
			}
		}
	}
	return steps
}

// learnerStep returns the next step for a partition with a learner, if one can be taken.
func (p *Plan) learnerStep(part Partition, surplus string) []Step {
	if !p.usable(part.Learner) {
		return []Step{{Partition: part.ID, Remove: part.Learner}}
	}
	if !part.LearnerCaughtUp {
		return nil
	}
	s := Step{Partition: part.ID, Promote: part.Learner, Remove: surplus}
	if len(part.Replicas) < p.ReplicationFactor && surplus != "" && p.countUp(part.Replicas) == len(part.Replicas) {
		s.Remove = "" // all replicas are live and one is missing, so none has to be replaced
	}
	if !p.keepsMajority(part, s) {
		return nil
	}
	return []Step{s}
}

// surplus returns a replica that is not among the targets, or "" if there is none. It prefers a replica that
// is down to one that is up.
func (p *Plan) surplus(part Partition, targets []string) (surplus string) {
	for _, name := range part.Replicas {
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

// keepsMajority reports whether a majority of the replicas is up before a step and after it.
func (p *Plan) keepsMajority(part Partition, s Step) bool {
	after := slices.DeleteFunc(slices.Clone(part.Replicas), func(name string) bool { return name == s.Remove })
	if s.Promote != "" {
		after = append(after, s.Promote)
	}
	majority := func(replicas []string) bool { return 2*p.countUp(replicas) > len(replicas) }
	return majority(part.Replicas) && majority(after) || failpoint.Enabled(failpoint.SkipMajorityCheck)
}
