package gateway

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"

	"dunemoor/internal/body"
)

// randomBytes returns a reader of n pseudorandom bytes that are determined by the seed.
func randomBytes(seed uint64, n int64) io.Reader {
	var key [32]byte
	key[0] = byte(seed)
	key[1] = byte(seed >> 8)
	return io.LimitReader(rand.NewChaCha8(key), n)
}

// randomBody returns n pseudorandom bytes.
func randomBody(n int) []byte {
	b, _ := io.ReadAll(randomBytes(uint64(n), int64(n)))
	return b
}

// checksum reads r to the end and returns the hash and the length of the data.
func checksum(r io.Reader) (string, int64, error) {
	h := sha256.New()
	n, err := io.Copy(h, r)
	return fmt.Sprintf("%x", h.Sum(nil)), n, err
}

// randomChecksum returns the checksum of randomBytes.
func randomChecksum(seed uint64, n int64) string { s, _, _ := checksum(randomBytes(seed, n)); return s }

// chunkedBody encodes a body in chunks of the given size, with chunk extensions and a trailer.
func chunkedBody(body []byte, size int, trailer string) []byte {
	var b bytes.Buffer
	for rest := body; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		fmt.Fprintf(&b, "%x;ext=\"1\"\r\n", min(size, len(rest)))
		b.Write(rest[:min(size, len(rest))])
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n" + trailer + "\r\n")
	return b.Bytes()
}

// chunkWriter writes each block that it is given as a chunk.
type chunkWriter struct{ w io.Writer }

func (c chunkWriter) Write(p []byte) (int, error) {
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), nil
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// maxBufferedBytes returns the largest number of body bytes that the gateway buffers for one purpose.
func (g *Gateway) maxBufferedBytes() int64 {
	most := int64(0)
	for _, purpose := range body.Purposes() {
		used, _ := g.admission.Bodies.Used(purpose)
		most = max(most, used)
	}
	return most
}
