package body

import (
	"bytes"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"dunemoor/internal/testutil"
)

// Bytes are read in the order in which they were written, whatever the sizes of reads and writes, and the pipe never
// holds more than its capacity.
func TestPipeKeepsOrderWithinCapacity(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		capacity := 1 + rng.IntN(100)
		p := NewPipe(capacity)
		want := make([]byte, 3000)
		for i := range want {
			want[i] = byte(rng.Uint32())
		}
		go func() {
			for rest := want; len(rest) > 0; {
				n := min(1+int(rest[0]), len(rest))
				if err := p.Write(rest[:n], time.Minute); err != nil {
					t.Errorf("seed %d: write: %v", seed, err)
				}
				rest = rest[n:]
			}
			p.CloseWrite(io.EOF)
		}()
		var got []byte
		b := make([]byte, 1+rng.IntN(200))
		for {
			if n := p.Len(); n > capacity {
				t.Fatalf("seed %d: the pipe holds %d bytes, want at most %d", seed, n, capacity)
			}
			n, err := p.Read(b, time.Minute)
			got = append(got, b[:n]...)
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatalf("seed %d: read: %v", seed, err)
			}
		}
		if !bytes.Equal(got, want) {
			t.Fatalf("seed %d: got %d bytes that differ from the %d written", seed, len(got), len(want))
		}
	}
}

// A reader that reads nothing blocks its writer until the timeout. After CloseRead no writer is blocked.
func TestPipeBlocksUntilTimeout(t *testing.T) {
	testutil.VirtualTime(t, func(t *testing.T) {
		p := NewPipe(10)
		start := time.Now()
		if err := p.Write(make([]byte, 11), time.Second); err != ErrPipeFull || time.Since(start) != time.Second {
			t.Errorf("write to a full pipe: got %v after %v, want %v after 1s", err, time.Since(start), ErrPipeFull)
		}
		if n, err := p.Read(make([]byte, 20), 0); n != 10 || err != nil {
			t.Errorf("read: got %d bytes, %v, want 10 and nil", n, err)
		}
		if _, err := p.Read(make([]byte, 20), 0); err != os.ErrDeadlineExceeded {
			t.Errorf("read of an empty pipe without a timeout: got %v, want %v", err, os.ErrDeadlineExceeded)
		}
		start = time.Now()
		if _, err := p.Read(make([]byte, 20), time.Second); err != os.ErrDeadlineExceeded || time.Since(start) != time.Second {
			t.Errorf("read of an empty pipe: got %v after %v, want %v after 1s", err, time.Since(start), os.ErrDeadlineExceeded)
		}
		written := make(chan error, 1)
		go func() { written <- p.Write(make([]byte, 30), time.Hour) }()
		synctest.Wait()
		p.CloseRead()
		if err := <-written; err != nil {
			t.Errorf("write without a reader: got %v, want nil", err)
		}
		if _, err := p.Read(make([]byte, 1), time.Hour); err != ErrConsumed {
			t.Errorf("read after CloseRead: got %v, want %v", err, ErrConsumed)
		}
	})
}

// A pipe that is extended holds more while there is memory for it, and releases the memory once it is empty or closed.
func TestPipeExtensionIsBoundedAndReleased(t *testing.T) {
	const capacity = 10
	reserved := func(b *Budget) int64 {
		used, _ := b.Used(RequestBodies)
		return used
	}
	write := func(p *Pipe) int {
		b := make([]byte, 4*extensionStep)
		return len(b) - len(p.TryWrite(b))
	}
	budget := NewBudget(1 << 30)
	p := NewPipe(capacity)
	p.ExtendFrom(budget, RequestBodies, 2*extensionStep)
	if n := write(p); n != capacity+2*extensionStep || reserved(budget) != 2*extensionStep {
		t.Errorf("wrote %d bytes with %d reserved, want %d with %d", n, reserved(budget), capacity+2*extensionStep, 2*extensionStep)
	}
	p.Read(make([]byte, capacity+2*extensionStep-1), time.Minute)
	if n := reserved(budget); n != 2*extensionStep {
		t.Errorf("%d bytes reserved with one byte left, want %d", n, 2*extensionStep)
	}
	p.Read(make([]byte, 1), time.Minute)
	if n := reserved(budget); n != 0 {
		t.Errorf("%d bytes reserved for an empty pipe, want 0", n)
	}
	write(p)
	p.CloseRead()
	if n := reserved(budget); n != 0 {
		t.Errorf("%d bytes reserved after CloseRead, want 0", n)
	}
	scarce := NewBudget(1 << 10)
	p = NewPipe(capacity)
	p.ExtendFrom(scarce, RequestBodies, 2*extensionStep)
	if n := write(p); n != capacity || reserved(scarce) != 0 {
		t.Errorf("without memory: wrote %d bytes with %d reserved, want %d with none", n, reserved(scarce), capacity)
	}
}
