package relay

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"dunemoor/internal/cluster/node"
)

// randomRecord returns a random valid record.
func randomRecord(rng *rand.Rand) Record {
	r := Record{
		To:   []string{"", "*", "g1"}[rng.IntN(3)],
		Kind: node.KindMessage,
		Body: bytes.Repeat([]byte{byte(rng.Uint32())}, rng.IntN(300)),
	}
	if rng.IntN(2) == 0 {
		r.From, r.ReplicaID, r.Epoch, r.Seq = "g2", rng.Uint64(), rng.Uint64(), rng.Uint64()>>rng.IntN(64)
	}
	return r
}

func equalRecords(a, b Record) bool {
	return a.To == b.To && a.From == b.From && a.ReplicaID == b.ReplicaID && a.Epoch == b.Epoch && a.Seq == b.Seq && bytes.Equal(a.Body, b.Body)
}

// appendMalformedRecord appends a record that readers reject: one of a kind that relays don't forward, one with
// a name that is too long, or one that is cut short.
func appendMalformedRecord(b []byte, rng *rand.Rand, r *Record) []byte {
	switch rng.IntN(3) {
	case 0:
		r.Kind = node.KindRaft
	case 1:
		r.To = string(bytes.Repeat([]byte("x"), MaxNameBytes+1))
	case 2:
		return append(b, 3, byte(node.KindMessage), 200, 1)
	}
	return AppendRecord(b, r)
}

// A malformed record does not affect the others of its frame, and reading arbitrary bytes does not panic.
func TestReadRecordsSkipsMalformedRecords(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		var want []Record
		var b []byte
		malformed := 0
		for range 1 + rng.IntN(5) {
			r := randomRecord(rng)
			if rng.IntN(3) == 0 {
				malformed++
				b = appendMalformedRecord(b, rng, &r)
				continue
			}
			want = append(want, r)
			b = AppendRecord(b, &r)
		}
		var got []Record
		if n := ReadRecords(b, func(r *Record) { got = append(got, *r) }); n != malformed {
			t.Fatalf("malformed records: got %d, want %d", n, malformed)
		}
		if !slices.EqualFunc(got, want, equalRecords) {
			t.Fatalf("records: got %+v, want %+v", got, want)
		}
		for range 20 {
			changed := slices.Clone(b)
			changed[rng.IntN(len(changed))] ^= byte(1 << rng.IntN(8))
			ReadRecords(changed[:rng.IntN(len(changed)+1)], func(*Record) {})
		}
	}
}
