package relay

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fleet is the relays of a file, in the order of their names: bits stand for them in beats.
type fleet struct {
	relays []Relay
	sum    uint32 // of the names: bits of another file's are not taken
}

func newFleet(relays []Relay) fleet {
	f := fleet{relays: slices.Clone(relays)}
	slices.SortFunc(f.relays, func(a, b Relay) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	h := xxhash.New()
	for _, r := range f.relays {
		h.WriteString(r.Name)
		h.Write([]byte{0})
	}
	f.sum = uint32(h.Sum64())
	return f
}

func (f *fleet) find(name string) int {
	return slices.IndexFunc(f.relays, func(r Relay) bool { return r.Name == name })
}

// beat is what a relay says when it has nothing to say: which relays are up and have room, and of
// itself whether it holds no more streams than its share.
func (f *fleet) beat(room func(*Relay) bool) []byte {
	b := binary.LittleEndian.AppendUint32(nil, f.sum)
	b = append(b, make([]byte, (len(f.relays)+7)/8)...)
	for i := range f.relays {
		if room(&f.relays[i]) {
			b[4+i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// room reads a beat.
func (f *fleet) room(b []byte, i int) bool {
	return len(b) == 4+(len(f.relays)+7)/8 && binary.LittleEndian.Uint32(b) == f.sum && b[4+i/8]&(1<<(i%8)) != 0
}

// far is how far a relay is from a zone and region: 0 in the zone, 1 in the region, 2 elsewhere.
func (r *Relay) far(zone, region string) int {
	switch {
	case r.Region != region:
		return 2
	case r.Zone != zone:
		return 1
	}
	return 0
}

// order is the relays as a gateway would have them: those of its zone, of its region, and the rest,
// each group in an order of the gateway's own (rendezvous hashing), so that those of one relay that
// is lost go to all others.
func (f *fleet) order(gateway, zone, region string) []int {
	list := make([]int, len(f.relays))
	rank := make([]uint64, len(f.relays))
	for i := range list {
		list[i], rank[i] = i, xxhash.Sum64String(gateway+"\x00"+f.relays[i].Name)
	}
	slices.SortFunc(list, func(a, b int) int {
		if x, y := f.relays[a].far(zone, region), f.relays[b].far(zone, region); x != y {
			return x - y
		}
		if rank[a] > rank[b] {
			return -1
		}
		return 1
	})
	return list
}
