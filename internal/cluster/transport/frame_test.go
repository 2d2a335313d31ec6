package transport

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"testing"
)

// A frame is read as it was written, and a frame with any bit changed is rejected: the checksum covers kind and
// body, and does not match if the length is wrong.
func TestReadFrameReturnsWrittenAndRejectsChangedFrames(t *testing.T) {
	const wantKind = 7
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		body := make([]byte, rng.IntN(200))
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		b := AppendFrame(nil, wantKind, body)
		kind, got, err := ReadFrame(bufio.NewReader(bytes.NewReader(b)))
		if err != nil || kind != wantKind || !bytes.Equal(got, body) {
			t.Fatalf("ReadFrame: got kind %d, body %x, error %v, want kind %d, body %x, no error", kind, got, err, wantKind, body)
		}
		b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
		if _, _, err := ReadFrame(bufio.NewReader(bytes.NewReader(append(b, body...)))); err == nil {
			t.Fatalf("ReadFrame of a changed frame with %d bytes: got no error, want one", len(body))
		}
	}
}

// Reading arbitrary bytes ends, and returns no body that is larger than the input.
func FuzzReadFrame(f *testing.F) {
	f.Add(AppendFrame(nil, 1, []byte("body")))
	f.Add([]byte{255, 255, 127, 0, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		in := bufio.NewReader(bytes.NewReader(b))
		for {
			kind, body, err := ReadFrame(in)
			if err != nil {
				return
			}
			if len(body) > len(b) {
				t.Fatalf("frame of kind %d: got a body of %d bytes, want %d at most", kind, len(body), len(b))
			}
		}
	})
}
