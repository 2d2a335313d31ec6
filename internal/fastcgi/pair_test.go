package fastcgi

import (
	"strings"
	"testing"
)

func TestPairsOfAllLengths(t *testing.T) {
	var b []byte
	lengths := []int{0, 1, 127, 128, 300, 65535, 70000}
	for _, nameLength := range lengths {
		for _, valueLength := range lengths {
			b = AppendPair(b, strings.Repeat("n", nameLength), strings.Repeat("v", valueLength))
		}
	}
	i := 0
	err := ForEachParam(b, func(name, value []byte) error {
		wantName, wantValue := lengths[i/len(lengths)], lengths[i%len(lengths)]
		if len(name) != wantName || len(value) != wantValue {
			t.Errorf("pair %d: got lengths %d and %d, want %d and %d", i, len(name), len(value), wantName, wantValue)
		}
		i++
		return nil
	})
	if want := len(lengths) * len(lengths); err != nil || i != want {
		t.Errorf("got %d pairs, error %v, want %d pairs", i, err, want)
	}
}

func TestCutPairRejectsIncompletePair(t *testing.T) {
	for _, input := range []string{"\x01", "\x80\x00\x00", "\x01\x80\x00\x00", "\x05\x05abc", "\xff\xff\xff\xff\x01a", "\x01\xff\xff\xff\xffa"} {
		if _, _, _, ok := CutPair([]byte(input)); ok {
			t.Errorf("CutPair(%q): got ok, want an incomplete pair", input)
		}
	}
}
