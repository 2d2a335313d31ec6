package body

import (
	"bytes"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// What goes in comes out, in order, whatever the sizes, and no more is ever held than is allowed.
func TestPipe(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		most := 1 + rng.IntN(100)
		p := NewPipe(most)
		want := make([]byte, 3000)
		for i := range want {
			want[i] = byte(rng.Uint32())
		}
		go func() {
			for rest := want; len(rest) > 0; {
				n := min(1+int(rest[0]), len(rest))
				if err := p.Write(rest[:n], time.Minute); err != nil {
					t.Error(err)
				}
				rest = rest[n:]
			}
			p.CloseWrite(io.EOF)
		}()
		var got []byte
		b := make([]byte, 1+rng.IntN(200))
		for {
			if n := p.Len(); n > most {
				t.Fatalf("seed %d: %d bytes are held, %d at most", seed, n, most)
			}
			n, err := p.Read(b, time.Minute)
			got = append(got, b[:n]...)
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		if !bytes.Equal(got, want) {
			t.Fatalf("seed %d: %d bytes came, not those that went in", seed, len(got))
		}
	}
}

// A reader that takes nothing holds its writer up for so long and no longer; one that has left
// holds up nobody.
func TestPipeHoldsUpForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPipe(10)
		began := time.Now()
		if err := p.Write(make([]byte, 11), time.Second); err != ErrPipeFull || time.Since(began) != time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		if n, err := p.Read(make([]byte, 20), 0); n != 10 || err != nil {
			t.Errorf("%d bytes, %v", n, err)
		}
		if _, err := p.Read(make([]byte, 20), 0); err != os.ErrDeadlineExceeded {
			t.Errorf("nothing is there: %v", err)
		}
		began = time.Now()
		if _, err := p.Read(make([]byte, 20), time.Second); err != os.ErrDeadlineExceeded || time.Since(began) != time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		full := make(chan error, 1)
		go func() { full <- p.Write(make([]byte, 30), time.Hour) }()
		synctest.Wait()
		p.CloseRead()
		if err := <-full; err != nil {
			t.Errorf("to nobody: %v", err)
		}
		if _, err := p.Read(make([]byte, 1), time.Hour); err != ErrConsumed {
			t.Errorf("a closed pipe: %v", err)
		}
	})
}
