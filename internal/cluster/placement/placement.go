// Package placement decides which gateways hold the replicas of each partition, and by which steps the
// replicas get there. It does no I/O and reads no clock: the holder of its lease describes the fleet in
// a [Plan] and carries out the steps.
//
// Two replicas of a partition are never on one machine, nor in one zone while there are others. A
// replica stays where it is unless its gateway is gone or holds far too much. A new one is placed by
// rendezvous hashing among the gateways with capacity, so that a machine that comes or goes moves
// little else.
package placement

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dunemoor/internal/cluster/failpoint"
)

const (
	// maxAssignedLoad is how much of its share a gateway may be assigned: with less more is moved than
	// was lost, with more the loads differ more (docs/design/copies.md).
	maxAssignedLoad = 1.25
	// maxRetainedLoad is how much of its share a gateway may hold before a replica is moved from it only
	// for balance. It is above what others hold for a machine that is away, so that one that comes back
	// takes nothing from them. A gateway with up to underloadedShare of its share is given some.
	maxRetainedLoad  = 1.5
	underloadedShare = 0.5
	// maxIncomingReplicas is how many replicas a gateway is brought up to at once: each uses the disk
	// and the network that requests need.
	maxIncomingReplicas = 2
	// maxConcurrentSteps is how many partitions change at once in all.
	maxConcurrentSteps = 16
)

// Gateway is a gateway that can hold replicas.
type Gateway struct {
	Name, Machine, Zone string
	Weight              float64 // share beside the others'; 0: it holds none
	Up                  bool    // or silent for less than the time after which it is replaced
}

// Partition is where the replicas of a partition are.
type Partition struct {
	ID              int
	Replicas        []string // gateways with a vote
	Learner         string   // gateway that is being brought up; "": none
	LearnerCaughtUp bool     // the learner has the log
}

// Plan describes the fleet.
type Plan struct {
	ReplicationFactor int // replicas of each partition
	Partitions        []Partition
	Gateways          []Gateway

	// The rest is computed by Targets, by gateway.

	byName map[string]*Gateway
	load   map[string]int     // replicas that it is to hold
	limit  map[string]int     // replicas that it may be assigned
	share  map[string]float64 // replicas that it would hold if all were balanced
}

// rendezvousScore is a gateway's score for a partition: the highest wins, each gateway with a
// probability proportional to its weight.
func rendezvousScore(partition int, g *Gateway) float64 {
	h := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(partition))
	h.Write(b[:])
	h.WriteString(g.Name)
	uniform := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -g.Weight / math.Log(uniform)
}

// prepare computes shares and limits.
func (p *Plan) prepare() {
	p.byName, p.load, p.limit, p.share = map[string]*Gateway{}, map[string]int{}, map[string]int{}, map[string]float64{}
	total := 0.0
	for i := range p.Gateways {
		g := &p.Gateways[i]
		p.byName[g.Name] = g
		if p.usable(g.Name) {
			total += g.Weight
		}
	}
	for i := range p.Gateways {
		if g := &p.Gateways[i]; p.usable(g.Name) {
			share := float64(p.ReplicationFactor*len(p.Partitions)) * g.Weight / total
			p.share[g.Name] = share
			p.limit[g.Name] = min(len(p.Partitions), int(math.Ceil(maxAssignedLoad*share)))
		}
	}
}

// usable reports whether a gateway may hold replicas.
func (p *Plan) usable(name string) bool {
	g := p.byName[name]
	return g != nil && g.Up && g.Weight > 0
}

// Targets returns the gateways that should hold replicas, by partition: as many as ReplicationFactor
// says, or as there are machines.
func (p *Plan) Targets() map[int][]string {
	p.prepare()
	targets := map[int][]string{}
	missing := 0
	for _, x := range p.Partitions {
		targets[x.ID] = p.retained(x)
		missing += p.ReplicationFactor - len(targets[x.ID])
	}
	for _, x := range p.Partitions {
		for len(targets[x.ID]) < p.ReplicationFactor {
			name := p.choose(x.ID, targets[x.ID])
			if name == "" {
				break // there are fewer machines than replicas
			}
			targets[x.ID] = append(targets[x.ID], name)
			p.load[name]++
		}
	}
	if missing == 0 {
		p.rebalance(targets)
	}
	return targets
}

// retained returns the gateways of a partition that keep their replicas. A learner that is being
// brought up is one of them.
func (p *Plan) retained(x Partition) (names []string) {
	for _, name := range append(slices.Clone(x.Replicas), x.Learner) {
		if p.usable(name) && len(names) < p.ReplicationFactor && p.separated(names, name, false) {
			names = append(names, name)
			p.load[name]++
		}
	}
	return names
}

// separated reports whether a gateway is on another machine than those with replicas, and with zones in
// another zone too.
func (p *Plan) separated(holders []string, name string, zones bool) bool {
	g := p.byName[name]
	for _, holder := range holders {
		h := p.byName[holder]
		sameMachine := h.Machine == g.Machine && g.Machine != "" && !failpoint.Enabled(failpoint.ShareMachine)
		sameZone := zones && h.Zone == g.Zone && g.Zone != ""
		if h.Name == g.Name || sameMachine || sameZone {
			return false
		}
	}
	return true
}

// choose returns the gateway for one more replica: one in a zone of its own and under its limit, else
// one in a zone of its own, else one under its limit, else any; "" where there is none. Over their
// limits the one with the least load for its weight is chosen.
func (p *Plan) choose(partition int, holders []string) string {
	for _, strict := range []struct{ zones, limit bool }{{true, true}, {true, false}, {false, true}, {false, false}} {
		best, bestScore := "", 0.0
		for i := range p.Gateways {
			g := &p.Gateways[i]
			if !p.usable(g.Name) || !p.separated(holders, g.Name, strict.zones) || strict.limit && p.load[g.Name] >= p.limit[g.Name] {
				continue
			}
			score := rendezvousScore(partition, g)
			if !strict.limit {
				score = -float64(p.load[g.Name]) / g.Weight
			}
			if best == "" || score > bestScore {
				best, bestScore = g.Name, score
			}
		}
		if best != "" {
			return best
		}
	}
	return ""
}

// rebalance moves one replica where that helps: from a gateway that shares a zone with another replica
// while there is a zone without one; from a gateway that holds far too much; to one that holds far too
// little.
func (p *Plan) rebalance(targets map[int][]string) {
	underloaded := p.underloaded()
	for _, x := range p.Partitions {
		holders := targets[x.ID]
		for i, from := range holders {
			others := slices.Delete(slices.Clone(holders), i, i+1)
			to := p.moveTarget(x.ID, others, from, underloaded)
			if to == "" {
				continue
			}
			targets[x.ID] = append(others, to)
			p.load[from]--
			p.load[to]++
			return
		}
	}
}

// underloaded returns the gateway with the least load of those with far too little; "": there is none.
func (p *Plan) underloaded() (best string) {
	for i := range p.Gateways {
		name := p.Gateways[i].Name
		if p.usable(name) && float64(p.load[name]+1) <= underloadedShare*p.share[name] && (best == "" || p.load[name] < p.load[best]) {
			best = name
		}
	}
	return best
}

// moveTarget returns the gateway that a replica is moved to; "": it stays.
func (p *Plan) moveTarget(partition int, others []string, from, underloaded string) string {
	ownZone := p.separated(others, from, true)
	to, load := p.choose(partition, others), float64(p.load[from])
	overloaded := load > math.Ceil(maxRetainedLoad*p.share[from])
	switch {
	case !ownZone && to != "" && p.separated(others, to, true):
		return to
	case overloaded && to != "" && p.load[to] < p.limit[to] && p.separated(others, to, ownZone):
		return to
	case underloaded != "" && load > p.share[from] && p.separated(others, underloaded, ownZone):
		return underloaded
	}
	return ""
}
