package httpwire

import (
	"bytes"
	"strings"
	"testing"
)

func TestFrameChunk(t *testing.T) {
	for n, wantSizeLine := range map[int]string{
		1:         "1\r\n",
		15:        "f\r\n",
		4096:      "1000\r\n",
		65535:     "ffff\r\n",
		1<<24 - 1: "ffffff\r\n",
	} {
		buf := bytes.Repeat([]byte("x"), ChunkPrefixBytes+n+ChunkSuffixBytes)
		got := string(FrameChunk(buf, n))
		if want := wantSizeLine + strings.Repeat("x", n) + "\r\n"; got != want {
			t.Errorf("chunk of %d bytes: got %d bytes that begin with %.12q, want %d that begin with %.12q", n, len(got), got, len(want), want)
		}
	}
}
