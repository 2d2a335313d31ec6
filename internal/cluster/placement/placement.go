// Package placement decides which gateways hold the replicas of each partition, and computes the steps that
// move replicas there. It does no I/O and reads no clock: the holder of the placement lease describes the
// fleet in a [Plan] and carries out the steps.
//
// Two replicas of a partition are never placed on the same machine, nor in the same zone while another zone
// is available. A replica is not moved unless its gateway is down or heavily overloaded, or the move
// separates zones or relieves an imbalance. A new replica is placed by rendezvous hashing among the gateways
// with capacity, so that adding or removing a machine moves few other replicas.
package placement

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"dunemoor/internal/cluster/failpoint"
)

const (
	// maxAssignedLoad is the multiple of its share up to which a gateway is assigned new replicas. A lower
	// value moves more replicas than were lost; a higher one makes the loads more uneven
	// (docs/design/copies.md).
	maxAssignedLoad = 1.25
	// maxRetainedLoad is the multiple of its share above which replicas are moved from a gateway only for
	// balance. It exceeds the load of gateways that have taken over replicas of a failed machine, so a
	// machine that returns does not take replicas back from them. A gateway at or below underloadedShare of
	// its share receives replicas.
	maxRetainedLoad  = 1.5
	underloadedShare = 0.5
	// maxIncomingReplicas is the maximum number of learners that a gateway brings up at the same time, as
	// each uses disk and network capacity that requests need.
	maxIncomingReplicas = 2
	// maxConcurrentSteps is the maximum number of partitions with a learner at the same time.
	maxConcurrentSteps = 16
)

// Gateway is a gateway that can hold replicas.
type Gateway struct {
	Name, Machine, Zone string
	Weight              float64 // weight relative to other gateways; a gateway with weight 0 holds no replicas
	Up                  bool    // true if the gateway is live, or has been silent for less than its replacement delay
}

// Partition describes the replicas of a partition.
type Partition struct {
	ID              int
	Replicas        []string // gateways with a voting replica
	Learner         string   // gateway with a learner that is being brought up, or empty
	LearnerCaughtUp bool     // true if the learner has the log
}

// Plan describes the fleet.
type Plan struct {
	ReplicationFactor int // number of replicas of each partition
	Partitions        []Partition
	Gateways          []Gateway

	// The fields below are computed by Targets. Their keys are gateway names.

	byName map[string]*Gateway
	load   map[string]int     // number of replicas that the gateway should hold
	limit  map[string]int     // number of replicas up to which the gateway is assigned new ones
	share  map[string]float64 // number of replicas proportional to the gateway's weight
}

// rendezvousScore returns the score of a gateway for a partition by weighted rendezvous hashing. The gateway
// with the highest score is chosen; the probability of a gateway is proportional to its weight.
func rendezvousScore(partition int, g *Gateway) float64 {
	h := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(partition))
	h.Write(b[:])
	h.WriteString(g.Name)
	uniform := (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
	return -g.Weight / math.Log(uniform)
}

// prepare computes the shares and limits of all gateways.
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

// Targets returns the gateways that should hold replicas of each partition: ReplicationFactor gateways, or
// one per machine if there are fewer machines.
func (p *Plan) Targets() map[int][]string {
	p.prepare()
	targets := map[int][]string{}
	missing := 0
	for _, part := range p.Partitions {
		targets[part.ID] = p.retained(part)
		missing += p.ReplicationFactor - len(targets[part.ID])
	}
	for _, part := range p.Partitions {
		for len(targets[part.ID]) < p.ReplicationFactor {
			name := p.choose(part.ID, targets[part.ID])
			if name == "" {
				break // there are fewer machines than replicas
			}
			targets[part.ID] = append(targets[part.ID], name)
			p.load[name]++
		}
	}
	if missing == 0 {
		p.rebalance(targets)
	}
	return targets
}

// retained returns the gateways of a partition that keep their replicas, including a learner that is being
// brought up.
func (p *Plan) retained(part Partition) (names []string) {
	for _, name := range append(slices.Clone(part.Replicas), part.Learner) {
		if p.usable(name) && len(names) < p.ReplicationFactor && p.separated(names, name, false) {
			names = append(names, name)
			p.load[name]++
		}
	}
	return names
}

// separated reports whether a gateway is on a different machine than all holders, and if zones is set, also
// in a different zone.
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

// choose returns the gateway for an additional replica, or "" if there is none. It prefers, in this order,
// gateways in a separate zone and under their limit, gateways in a separate zone, gateways under their
// limit, and any other gateways. If limits are ignored, it chooses the gateway with the lowest load relative
// to its weight.
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

// rebalance moves at most one replica: from a gateway that shares a zone with another replica although there
// is a zone without one, from an overloaded gateway, or to an underloaded one.
func (p *Plan) rebalance(targets map[int][]string) {
	underloaded := p.underloaded()
	for _, part := range p.Partitions {
		holders := targets[part.ID]
		for i, from := range holders {
			others := slices.Delete(slices.Clone(holders), i, i+1)
			to := p.moveTarget(part.ID, others, from, underloaded)
			if to == "" {
				continue
			}
			targets[part.ID] = append(others, to)
			p.load[from]--
			p.load[to]++
			return
		}
	}
}

// underloaded returns the underloaded gateway with the lowest load, or "" if there is none.
func (p *Plan) underloaded() (best string) {
	for i := range p.Gateways {
		name := p.Gateways[i].Name
		if p.usable(name) && float64(p.load[name]+1) <= underloadedShare*p.share[name] && (best == "" || p.load[name] < p.load[best]) {
			best = name
		}
	}
	return best
}

// moveTarget returns the gateway to which a replica should be moved, or "" if it should not be moved.
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
