package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever sessions begin and end: a lease is held by a live candidate or by nobody, tokens only grow, a
// lease stays where it is unless its holder is gone or it is transferred, rebalancing ends, and the state
// can be decoded from its encoding.
func TestPlacement(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		p := &placementRun{T: t, seed: seed, state: NewState(1)}
		for i := range 12 {
			p.open(i)
		}
		p.settle()
		for range 30 {
			before := p.tokens()
			lost := 0
			sessions := slices.Sorted(maps.Keys(p.state.Sessions))
			if len(sessions) > 3 && random.IntN(2) == 0 {
				gone := sessions[random.IntN(len(sessions))]
				lost = len(p.state.LeasesOf(gone))
				p.apply(Command{Op: OpExpireSession, Session: gone})
			} else {
				p.open(random.IntN(12))
			}
			transferred := p.settle()
			p.checkHolders(before)
			granted := p.grantedSince(before)
			if lost > 0 && 2*granted > 3*lost {
				t.Fatalf("seed %d: %d leases lost their holder, %d were granted anew (%d transferred)", seed, lost, granted, transferred)
			}
		}
		decoded := NewState(0)
		if err := decoded.Decode(p.state.Encode()); err != nil || string(decoded.Encode()) != string(p.state.Encode()) {
			t.Fatalf("seed %d: the state is not the same after decoding: %v", seed, err)
		}
	}
}

// placementRun is a coordination state to which the test applies the commands of a leader.
type placementRun struct {
	*testing.T
	seed         uint64
	state        *State
	index        uint64 // of the last command
	openSequence uint64 // of the last session
}

func (p *placementRun) apply(c Command) Result {
	p.index++
	return p.state.Apply(p.index, &c)
}

// open opens a session of the numbered gateway, which is a candidate for 60 leases.
func (p *placementRun) open(gateway int) {
	p.openSequence++
	var candidates []string
	for i := range 60 {
		candidates = append(candidates, fmt.Sprintf("d%02d", i))
	}
	p.apply(Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", gateway), DiskID: uint64(gateway + 1), OpenSequence: p.openSequence, CandidateLeases: candidates}})
}

// settle assigns free leases and rebalances until neither has anything to do, and returns the number of transfers.
func (p *placementRun) settle() (transferred int) {
	p.Helper()
	for range 200 {
		assigned := AssignFree(p.state)
		for _, c := range assigned {
			if result := p.apply(c); result.Code != OK {
				p.Fatalf("seed %d: %+v for %+v", p.seed, result, c)
			}
		}
		transfers := Rebalance(p.state)
		for _, c := range transfers {
			lease := p.state.Leases[c.Lease]
			p.apply(c)
			p.apply(Command{Op: OpRelease, Session: lease.HolderSession, Lease: c.Lease, Token: c.Token})
			transferred++
		}
		if len(assigned)+len(transfers) == 0 {
			return transferred
		}
	}
	p.Fatalf("seed %d: placement does not settle", p.seed)
	return 0
}

// tokens returns the tokens of all leases by name.
func (p *placementRun) tokens() map[string]uint64 {
	tokens := map[string]uint64{}
	for name, lease := range p.state.Leases {
		tokens[name] = lease.Token
	}
	return tokens
}

// grantedSince returns how many leases have a higher token than before.
func (p *placementRun) grantedSince(before map[string]uint64) (granted int) {
	for name, lease := range p.state.Leases {
		if lease.Token > before[name] {
			granted++
		}
	}
	return granted
}

// checkHolders checks that each lease has a live holder, that no token fell, and that holders have about as many leases
// each.
func (p *placementRun) checkHolders(tokensBefore map[string]uint64) {
	p.Helper()
	load := map[string]int{}
	for name, lease := range p.state.Leases {
		if lease.HolderSession == 0 || p.state.Sessions[lease.HolderSession] == nil || p.state.Sessions[lease.HolderSession].Name != lease.Holder {
			p.Fatalf("seed %d: %s is held by %d %s", p.seed, name, lease.HolderSession, lease.Holder)
		}
		if lease.Token < tokensBefore[name] {
			p.Fatalf("seed %d: the token of %s fell", p.seed, name)
		}
		load[lease.Holder]++
	}
	if most, least := slices.Max(slices.Collect(maps.Values(load))), slices.Min(slices.Collect(maps.Values(load))); most-least > maxImbalance {
		p.Fatalf("seed %d: one holds %d, another %d", p.seed, most, least)
	}
}
