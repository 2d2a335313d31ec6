package httpwire

import "testing"

func TestHeaderEndAfterPartialInput(t *testing.T) {
	for _, text := range []string{startOfGet + "\r\n", "GET / HTTP/1.1\nHost: a\n\n", startOfGet + "\n"} {
		for firstPiece := range text {
			searched := 0
			if end := HeaderEnd([]byte(text[:firstPiece]), 0); end < 0 {
				searched = firstPiece
			} else {
				t.Errorf("header end of %q: got %d, want -1", text[:firstPiece], end)
			}
			if end := HeaderEnd([]byte(text+"more"), searched); end != len(text) {
				t.Errorf("header end of %q, searched up to %d: got %d, want %d", text, firstPiece, end, len(text))
			}
		}
	}
}
