package body

import (
	"io"
	"net/http"
	"testing"
	"time"
)

type source struct {
	left   int
	closed []bool
}

func (s *source) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), s.left)
	s.left -= n
	return n, nil
}
func (s *source) Trailer() http.Header { return nil }
func (s *source) Close(whole bool)     { s.closed = append(s.closed, whole) }

// A flow is taken once, tells of it before its first byte, and is closed once: it guards against
// a second attempt that would send what the first has let go.
func TestFlowIsTakenOnce(t *testing.T) {
	s := &source{left: 10}
	f := NewStream(s, 10)
	begun := 0
	f.OnConsume(func() {
		if begun++; s.left != 10 {
			t.Error("a byte was let go before")
		}
	})
	if f.Consumed() || f.Consume() != nil || f.Consume() != ErrConsumed || !f.Consumed() || begun != 1 {
		t.Errorf("taken %t, begun %d times", f.Consumed(), begun)
	}
	if n, err := io.Copy(io.Discard, f); n != 10 || err != nil || f.Err() != io.EOF {
		t.Errorf("%d, %v, %v", n, err, f.Err())
	}
	f.Close()
	f.Close()
	if len(s.closed) != 1 || !s.closed[0] {
		t.Errorf("closed %v", s.closed)
	}
	s = &source{left: 10}
	f = NewStream(s, 10)
	f.Close()
	if f.Consume() != ErrConsumed || len(s.closed) != 1 || s.closed[0] {
		t.Errorf("a closed flow: closed %v", s.closed)
	}
	if b := NewStreamed([]byte("ab"), f); b.Buffered() || b.Len() != 10 || len(b.Bytes()) != 2 || NewBuffered([]byte("ab")).Len() != 2 || !NewBuffered(nil).Buffered() {
		t.Error("lengths")
	}
}

// A peer is too slow by the time that it was waited for alone, over a window: one byte at a time
// is found out, a pause of the other side is not held against it.
func TestPace(t *testing.T) {
	m := Meter{Pace: Pace{IdleTimeout: 30 * time.Second, MinRate: 100}}
	for i := range 9 {
		if err := m.Record(1, time.Second); err != nil {
			t.Fatalf("after %d s: %v", i+1, err)
		}
	}
	if m.Timeout() != time.Second {
		t.Errorf("it may wait %v in the last second of a window", m.Timeout())
	}
	if m.Record(1, time.Second) != ErrTooSlow {
		t.Error("ten bytes in ten seconds are fast enough")
	}
	for range 100 {
		if err := m.Record(100, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	for range 1000 { // what the other side takes does not count
		if err := m.Record(1, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	any := Meter{Pace: Pace{IdleTimeout: time.Minute}}
	if any.Record(0, time.Hour) != nil || any.Timeout() != time.Minute {
		t.Error("without a least rate any is fast enough")
	}
}

// What is taken is bounded by cause, given back whole, and less is taken near the end.
func TestBudget(t *testing.T) {
	b := NewBudget(1 << 20)
	_, most := b.Used(RequestBodies)
	if most != 1<<17 || !b.Reserve(RequestBodies, most) || b.Reserve(RequestBodies, 1) {
		t.Errorf("%d bytes for requests", most)
	}
	if !b.Reserve(ResponseBodies, 1<<18) || b.Reserve(ResponseBodies, 1) {
		t.Error("one cause takes the part of another")
	}
	b.Release(RequestBodies, most)
	if b.NearLimit(RequestBodies) || !b.NearLimit(ResponseBodies) {
		t.Error("near its end")
	}
	var bufs []*[]byte
	sizes := map[int]int{}
	for {
		buf := b.AcquireBuffer()
		if buf == nil {
			break
		}
		sizes[len(*buf)]++
		bufs = append(bufs, buf)
	}
	if used, most := b.Used(StreamBuffers); used > most || sizes[largeBuffer] != 2 || sizes[smallBuffer] != 0 {
		t.Errorf("%d of %d bytes, buffers %v", used, most, sizes)
	}
	for _, buf := range bufs {
		b.ReleaseBuffer(buf)
	}
	for c := range causes {
		used, _ := b.Used(c)
		if c != ResponseBodies && used != 0 {
			t.Errorf("%v: %d bytes were not given back", c, used)
		}
	}
	FreePage(make([]byte, 10)) // not of a pool
}

// A deadline is set anew only when a quarter of its time has passed, and is never nearer than
// asked for.
func TestAlarm(t *testing.T) {
	set := 0
	var last time.Time
	a := LazyDeadline{SetDeadline: func(at time.Time) error { set++; last = at; return nil }}
	now := time.Unix(1000, 0)
	for range 10_000 {
		a.Reset(now, 10*time.Second)
		if d := last.Sub(now); d < 10*time.Second || d > 12500*time.Millisecond {
			t.Fatalf("%v from now", d)
		}
		now = now.Add(time.Millisecond)
	}
	if set < 4 || set > 6 {
		t.Errorf("set %d times in 10 s", set)
	}
	a.Reset(now, time.Second)
	if d := last.Sub(now); d > 1250*time.Millisecond {
		t.Errorf("a shorter wait is %v", d)
	}
}

// What is held for a body is less than twice what is counted for it: it guards against bodies of a
// few KiB that keep large buffers, which no budget knows of.
func TestPagesFit(t *testing.T) {
	for _, n := range []int64{1, 2048, 2049, 4096, 4097, 5 << 10, 8 << 10, 33 << 10, MaxPooledPage, MaxPooledPage + 1} {
		for range 2 { // made, and of the pool
			p := AllocPage(n)
			if int64(len(p)) != n || int64(cap(p)) >= max(2*n, smallBuffer+1) {
				t.Errorf("%d bytes: length %d, memory %d", n, len(p), cap(p))
			}
			FreePage(p)
		}
	}
}
