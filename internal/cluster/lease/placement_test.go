package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPlacement opens and ends random sessions and checks that every lease gets a live holder, that tokens
// never decrease, that at most 1.5 times as many leases are granted again as have lost their holder, that
// rebalancing terminates, and that the state can be decoded from its encoding.
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
				t.Fatalf("seed %d: %d leases lost their holder, but %d were granted again (%d of them transferred), want at most 1.5 times as many", seed, lost, granted, transferred)
			}
		}
		decoded := NewState(0)
		if err := decoded.Decode(p.state.Encode()); err != nil || string(decoded.Encode()) != string(p.state.Encode()) {
			t.Fatalf("seed %d: the state differs after encoding and decoding (error: %v)", seed, err)
		}
	}
}

// placementRun is a coordination state to which the test applies a leader's commands.
type placementRun struct {
	*testing.T
	seed         uint64
	state        *State
	index        uint64 // log index of the last command
	openSequence uint64 // OpenSequence of the last session
}

func (p *placementRun) apply(c Command) Result {
	p.index++
	return p.state.Apply(p.index, &c)
}

// open opens a session of the gateway with the given number, which is a candidate for 60 leases.
func (p *placementRun) open(gateway int) {
	p.openSequence++
	var candidates []string
	for i := range 60 {
		candidates = append(candidates, fmt.Sprintf("d%02d", i))
	}
	p.apply(Command{Op: OpOpenSession, Open: &OpenRequest{Name: fmt.Sprint("g", gateway), DiskID: uint64(gateway + 1), OpenSequence: p.openSequence, CandidateLeases: candidates}})
}

// settle assigns free leases and rebalances until no commands are left, and returns the number of transfers.
func (p *placementRun) settle() (transferred int) {
	p.Helper()
	for range 200 {
		assigned := AssignFree(p.state)
		for _, c := range assigned {
			if result := p.apply(c); result.Code != OK {
				p.Fatalf("seed %d: got result %+v for command %+v, want code OK", p.seed, result, c)
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
	p.Fatalf("seed %d: assignment and rebalancing did not terminate", p.seed)
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

// checkHolders checks that each lease has a live holder, that no token has decreased, and that the numbers of leases of
// any two holders differ by at most maxImbalance.
func (p *placementRun) checkHolders(tokensBefore map[string]uint64) {
	p.Helper()
	load := map[string]int{}
	for name, lease := range p.state.Leases {
		if lease.HolderSession == 0 || p.state.Sessions[lease.HolderSession] == nil || p.state.Sessions[lease.HolderSession].Name != lease.Holder {
			p.Fatalf("seed %d: lease %s has no live holder: its holder is session %d of %q", p.seed, name, lease.HolderSession, lease.Holder)
		}
		if lease.Token < tokensBefore[name] {
			p.Fatalf("seed %d: the token of lease %s has decreased", p.seed, name)
		}
		load[lease.Holder]++
	}
	if most, least := slices.Max(slices.Collect(maps.Values(load))), slices.Min(slices.Collect(maps.Values(load))); most-least > maxImbalance {
		p.Fatalf("seed %d: unbalanced leases: one gateway holds %d, another %d", p.seed, most, least)
	}
}
