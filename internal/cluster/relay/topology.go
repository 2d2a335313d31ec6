package relay

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// topology is the list of configured relays, ordered by name. A heartbeat has one bit for each.
type topology struct {
	relays []Relay
	// checksum is the checksum of the names. Heartbeats of a relay with another configuration are ignored.
	checksum uint32
}

// heartbeatHeaderBytes is the size of the checksum at the start of a heartbeat.
const heartbeatHeaderBytes = 4

func newTopology(relays []Relay) topology {
	t := topology{relays: slices.Clone(relays)}
	slices.SortFunc(t.relays, func(a, b Relay) int { return cmp.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, r := range t.relays {
		h.WriteString(r.Name)
		h.Write([]byte{0})
	}
	t.checksum = uint32(h.Sum64())
	return t
}

// find returns the index of a relay, or noRelay if there is none with that name.
func (t *topology) find(name string) int {
	return slices.IndexFunc(t.relays, func(r Relay) bool { return r.Name == name })
}

func (t *topology) heartbeatBytes() int { return heartbeatHeaderBytes + (len(t.relays)+7)/8 }

// encodeHeartbeat returns the body of a heartbeat, in which the bit of each relay with capacity is set.
func (t *topology) encodeHeartbeat(hasCapacity func(*Relay) bool) []byte {
	b := binary.LittleEndian.AppendUint32(make([]byte, 0, t.heartbeatBytes()), t.checksum)
	b = b[:t.heartbeatBytes()]
	bits := b[heartbeatHeaderBytes:]
	for i := range t.relays {
		if hasCapacity(&t.relays[i]) {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return b
}

// hasCapacity reports whether a relay has capacity according to the body of a heartbeat.
func (t *topology) hasCapacity(b []byte, relay int) bool {
	if len(b) != t.heartbeatBytes() || binary.LittleEndian.Uint32(b) != t.checksum {
		return false
	}
	return b[heartbeatHeaderBytes+relay/8]&(1<<(relay%8)) != 0
}

// Distances of a relay from a gateway.
const (
	sameZone    = 0
	sameRegion  = 1
	otherRegion = 2
)

// distance returns the distance of a relay from a zone of a region.
func (r *Relay) distance(zone, region string) int {
	switch {
	case r.Region != region:
		return otherRegion
	case r.Zone != zone:
		return sameRegion
	}
	return sameZone
}

// preference returns the indexes of the relays in a gateway's order of preference: those of its zone, those of
// its region, and the rest. Within each group the order is particular to the gateway (rendezvous hashing), so
// that the gateways of a relay that has failed spread over all others.
func (t *topology) preference(gateway, zone, region string) []int {
	list := make([]int, len(t.relays))
	rank := make([]uint64, len(t.relays))
	for i := range list {
		list[i], rank[i] = i, xxhash.Sum64String(gateway+"\x00"+t.relays[i].Name)
	}
	slices.SortFunc(list, func(a, b int) int {
		near := cmp.Compare(t.relays[a].distance(zone, region), t.relays[b].distance(zone, region))
		return cmp.Or(near, cmp.Compare(rank[b], rank[a]))
	})
	return list
}
