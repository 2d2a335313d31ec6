package flightrecorder

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"dunemoor/balancer"
)

const ms = time.Millisecond

// day is a random day: some hosts, one that dies, one that goes silent, lists that change,
// a release, clients that leave.
func day(seed uint64, requests int) *Sim {
	r := rand.New(rand.NewPCG(seed, 99))
	s := &Sim{
		Settings: balancer.Settings{
			Instances: 1 + int(seed%3), Step: ms, MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second,
			Classes: []balancer.Class{
				{LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
				{LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 2, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.ScopeCell, DedupWindow: 600 * ms},
				{LatencyObjective: 100 * ms, Deadline: 400 * ms, PriorityWeight: 5, Idempotency: balancer.NonIdempotent},
			},
			SlowStartShare: 0.3, SlowStartWindow: 3 * time.Second, OverloadFactor: 2.5, OverloadWindow: time.Second,
		},
		Hosts: map[balancer.HostID]*SimHost{},
		Rand:  rand.New(rand.NewPCG(seed, 7)),
	}
	now := balancer.Time(time.Hour)
	var list []balancer.Host
	for i := range 6 {
		id := balancer.HostID(i + 1)
		list = append(list, balancer.Host{ID: id, Zone: i / 3, Cell: i / 2, Kind: i % 2})
		s.Hosts[id] = &SimHost{Speed: 0.5 + r.Float64(), Errors: []float64{0.02, 0, 0.01}}
	}
	s.Lists = append(s.Lists, List{now, balancer.ListSaved, list})
	t := now
	for i := range requests {
		t += time.Duration(r.ExpFloat64() * float64(6*ms))
		class := r.IntN(3)
		left := s.Settings.Classes[class].Deadline
		a := Arrival{
			Request: balancer.Request{ID: balancer.RequestID(i + 1), Class: class, Remaining: left, Duplicate: r.IntN(9) == 0},
			At:      t, Work: time.Duration(r.ExpFloat64() * float64(15*ms)),
		}
		if r.IntN(50) == 0 {
			a.GoneAt = t + 20*ms
		}
		s.Arrivals = append(s.Arrivals, a)
	}
	part := func(x float64) balancer.Time { return now + balancer.Time(x*float64(t-now)) }
	s.Hosts[1].Down = []Span{{part(0.2), part(0.35)}}
	s.Hosts[2].Silent = []Span{{part(0.4), part(0.5)}}
	gone := list[3]
	gone.State = balancer.Draining
	s.Lists = append(s.Lists, List{part(0.55), balancer.ListChanges, []balancer.Host{gone}})
	gone.State = balancer.Removed
	s.Lists = append(s.Lists, List{part(0.6), balancer.ListChanges, []balancer.Host{gone}})
	s.Lists = append(s.Lists, List{part(0.62), balancer.ListFailed, nil})
	cold := balancer.Host{ID: 77, Zone: 1, Cell: 1, Started: part(0.65)}
	s.Hosts[77] = &SimHost{Speed: 1}
	s.Lists = append(s.Lists, List{part(0.7), balancer.ListChanges, []balancer.Host{cold}})
	// Discovery has moved: the whole list, with one host gone and one in another cell.
	whole := slices.Clone(list[1:])
	whole[0].Cell = 2
	s.Lists = append(s.Lists, List{part(0.85), balancer.ListFull, append(whole, cold)})
	return s
}

// sink keeps what it is given; refuse says when not to.
type sink struct {
	bytes.Buffer
	refuse func(n int) bool
	n      int
}

func (s *sink) Put(b []byte) (taken, anew bool) {
	s.n++
	if s.refuse != nil && s.refuse(s.n) {
		return false, false
	}
	s.Write(b)
	return true, false
}

// What ends a gateway and what is hinted at is read back as it was told.
func TestStopAndHintAreRecorded(t *testing.T) {
	s := day(1, 1)
	bal, err := balancer.New(s.Settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := balancer.Time(time.Hour)
	r, err := New(bal, SessionStart{Settings: s.Settings, Seed: 1, At: now}, 1, Options{})
	if err != nil {
		t.Fatal(err)
	}
	r.Start(now)
	r.HealthCheckPassed(now+ms, 7, 20*ms)
	r.Shutdown(now+2*ms, now+3*time.Second)
	var got []Event
	in := NewReader(bytes.NewReader(r.Dump(nil)))
	for it := new(Item); ; {
		err := in.Next(it)
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if it.Kind == ItemEvent {
			got = append(got, it.Event)
		}
	}
	if len(got) != 3 || got[1].Hint != (Hint{7, 20 * ms}) || got[2].Kind != EventStop || got[2].By != now+3*time.Second {
		t.Errorf("read back as %+v", got)
	}
}

// record plays a day with a Recorder in between.
func record(t testing.TB, s *Sim, seed uint64, opts Options) (*Recorder, *Summary) {
	t.Helper()
	bal, err := balancer.New(s.Settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	at := s.Lists[0].At
	rec, err := New(bal, SessionStart{Name: "n0", Seed: seed, At: at, Settings: s.Settings, Wall: time.Unix(0, 0)}, 1000+seed, opts)
	if err != nil {
		t.Fatal(err)
	}
	rec.NameHost(at, 1, "s-1")
	sum := s.Run(rec, at)
	rec.Flush()
	return rec, sum
}

func replayed(t testing.TB, data []byte) *Report {
	t.Helper()
	rep, err := Replay(NewReader(bytes.NewReader(data)), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// Whatever happens, a replay decides as was decided: over random days with hosts that die,
// go silent, drain, come cold and lists that fail.
func TestReplayAgrees(t *testing.T) {
	for seed := range uint64(30) {
		var out sink
		_, sum := record(t, day(seed, 1500), seed, Options{Sink: &out, ViewInterval: 100 * ms})
		if sum.Unheard > 0 || sum.Twice > 0 {
			t.Errorf("seed %d: %d unheard, %d ran twice", seed, sum.Unheard, sum.Twice)
		}
		rep := replayed(t, out.Bytes())
		if rep.Divergence != nil {
			t.Errorf("seed %d: %v", seed, rep.Divergence)
		}
		if rep.Events < 5000 || rep.Actions < 4000 || rep.SkippedEvents > 0 || len(rep.Losses) > 0 || rep.Checked == 0 {
			t.Errorf("seed %d: %+v", seed, rep)
		}
	}
}

// A recording of another seed, or of a module that decided otherwise, is told apart at
// the first action that differs.
func TestReplayFindsTheFirstDifference(t *testing.T) {
	s := day(3, 500)
	var out sink
	record(t, s, 3, Options{Sink: &out})
	// The same day under another seed: its start block in front of the same records.
	var other sink
	bal, _ := balancer.New(s.Settings, 4)
	New(bal, SessionStart{Seed: 4, At: s.Lists[0].At, Settings: s.Settings}, 1003, Options{Sink: &other})
	first := firstBlock(t, out.Bytes())
	rep := replayed(t, append(other.Bytes(), out.Bytes()[first:]...))
	if rep.Divergence == nil || !strings.Contains(rep.Divergence.What, "action") || rep.Divergence.Event == 0 {
		t.Fatalf("another seed: %v", rep.Divergence)
	}
	if text := rep.Divergence.String(); !strings.Contains(text, "recorded Send") || !strings.Contains(text, "replayed Send") {
		t.Errorf("it says %q", text)
	}
}

// firstBlock is the length of the first block.
func firstBlock(t testing.TB, data []byte) int {
	t.Helper()
	var h head
	if !h.parse(data) {
		t.Fatal("no block at the start")
	}
	return blockHead + int(h.length)
}

// blocks is where each block begins.
func blocks(t testing.TB, data []byte) (at []int) {
	t.Helper()
	for n := 0; n < len(data); {
		at = append(at, n)
		n += firstBlock(t, data[n:])
	}
	return at
}

// A ring that has wrapped holds the last part of the day, and what it holds can be replayed
// whole from its first checkpoint.
func TestRingThatWrapped(t *testing.T) {
	s := day(5, 12000)
	var out sink
	rec, _ := record(t, s, 5, Options{RingBytes: leastRing, Sink: &out})
	dump := rec.Dump(nil)
	if len(dump) > leastRing+4096 || len(dump) < leastRing/3 || len(out.Bytes()) < 3*leastRing {
		t.Fatalf("ring of %d bytes: dump of %d, all is %d", leastRing, len(dump), out.Len())
	}
	rep := replayed(t, dump)
	if rep.Divergence != nil {
		t.Error(rep.Divergence)
	}
	whole := replayed(t, out.Bytes())
	share := whole.Events * len(dump) / len(out.Bytes()) // by their bytes; a ring has more checkpoints
	if rep.SkippedEvents > 0 || rep.Events < share*4/5 || rep.Events >= whole.Events/2 {
		t.Errorf("of %d events the ring holds %d, %d can't be replayed", whole.Events, rep.Events, rep.SkippedEvents)
	}
	if len(rep.Losses) != 1 || !strings.Contains(rep.Losses[0], "overwritten") {
		t.Errorf("losses: %q", rep.Losses)
	}
}

// A process that is killed while it writes leaves all whole blocks readable, at whatever
// byte it was.
func TestTornAtEveryByte(t *testing.T) {
	s := day(1, 1200)
	var out sink
	record(t, s, 1, Options{Sink: &out})
	data := out.Bytes()
	starts := blocks(t, data)
	if len(starts) < 4 {
		t.Fatalf("only %d blocks", len(starts))
	}
	whole := replayed(t, data[:starts[len(starts)-1]])
	for cut := starts[len(starts)-1] + 1; cut < len(data); cut += 1 + (len(data)-cut)/50 {
		rep := replayed(t, data[:cut])
		if rep.Divergence != nil || rep.Events != whole.Events || len(rep.Losses) != 1 {
			t.Fatalf("cut at %d of %d: %d events of %d, losses %q, %v", cut, len(data), rep.Events, whole.Events, rep.Losses, rep.Divergence)
		}
	}
}

// What was lost, altered or written in between costs the blocks it touches; from the next
// checkpoint on the replay goes on, and it says so.
func TestDamageIsPassedOver(t *testing.T) {
	s := day(2, 9000)
	var out sink
	record(t, s, 2, Options{RingBytes: 3 * leastRing, Sink: &out})
	data := out.Bytes()
	starts := blocks(t, data)
	// In the middle, with no checkpoint near that would hide what is lost.
	k := len(starts) / 3
	for ; data[starts[k]+5] != blockRecords || data[starts[k+1]+5] != blockRecords || data[starts[k+2]+5] != blockRecords; k++ {
	}
	for _, c := range []struct {
		name, says string
		data       []byte
	}{
		{"a bit", "torn", flipped(data, starts[k]+blockHead+50)},
		{"a head", "no part of a recording", flipped(data, starts[k]+9)},
		{"a block left out", "follows block", append(append([]byte{}, data[:starts[k]]...), data[starts[k+1]:]...)},
		{"zeroes", "torn", zeroed(data, starts[k]+100, starts[k+1]+100)},
	} {
		rep := replayed(t, c.data)
		if rep.Divergence != nil {
			t.Errorf("%s: %v", c.name, rep.Divergence)
		}
		if !strings.Contains(strings.Join(rep.Losses, "; "), c.says) {
			t.Errorf("%s: losses %q", c.name, rep.Losses)
		}
		if rep.SkippedEvents == 0 || rep.SkippedEvents > rep.Events {
			t.Errorf("%s: %d events replayed, %d skipped", c.name, rep.Events, rep.SkippedEvents)
		}
	}
	// Log lines between the blocks, as where both go to one stream: nothing is lost.
	var mixed []byte
	for i, at := range starts {
		end := len(data)
		if i+1 < len(starts) {
			end = starts[i+1]
		}
		mixed = append(mixed, data[at:end]...)
		mixed = append(mixed, fmt.Sprintf("time=%d level=INFO msg=\"host is back\"\n", i)...)
	}
	rep := replayed(t, mixed)
	if rep.Divergence != nil || rep.Events != replayed(t, data).Events {
		t.Errorf("with log lines in between: %d events, %v", rep.Events, rep.Divergence)
	}
}

func flipped(data []byte, at int) []byte {
	data = bytes.Clone(data)
	data[at] ^= 4
	return data
}

func zeroed(data []byte, from, to int) []byte {
	data = bytes.Clone(data)
	clear(data[from:to])
	return data
}

// Two runs of a gateway in one file are two sessions, each with its own seed.
func TestSessionsInOneFile(t *testing.T) {
	var out sink
	record(t, day(1, 300), 1, Options{Sink: &out})
	record(t, day(2, 300), 2, Options{Sink: &out})
	rep := replayed(t, out.Bytes())
	if rep.Sessions != 2 || rep.Divergence != nil || rep.SkippedEvents > 0 || len(rep.Losses) > 0 {
		t.Errorf("%+v", rep)
	}
}

func TestOtherVersionAndNoRecording(t *testing.T) {
	var out sink
	record(t, day(1, 100), 1, Options{Sink: &out})
	data := out.Bytes()
	h := head{}
	h.parse(data)
	payload := data[blockHead:firstBlock(t, data)]
	h.put(data, payload)
	data[4] = Version + 1
	rehead(data)
	_, err := Replay(NewReader(bytes.NewReader(data)), nil, nil)
	var version *VersionError
	if !errors.As(err, &version) || version.Found != Version+1 {
		t.Errorf("another version: %v", err)
	}
	for _, text := range []string{"", "x", strings.Repeat("no recording ", 20000)} {
		if _, err := Replay(NewReader(strings.NewReader(text)), nil, nil); err != ErrNoRecording {
			t.Errorf("%d bytes of text: %v", len(text), err)
		}
	}
}

// A sink that takes nothing for a while, as with a disk that is full, costs what came
// meanwhile; then a checkpoint comes and the replay goes on. The module acts as ever.
func TestSinkThatRefuses(t *testing.T) {
	_, want := record(t, day(4, 9000), 4, Options{})
	full := sink{refuse: func(n int) bool { return n >= 8 && n < 20 }}
	rec, got := record(t, day(4, 9000), 4, Options{RingBytes: 1 << 20, Sink: &full})
	if fmt.Sprint(want) != fmt.Sprint(got) {
		t.Error("the day went otherwise")
	}
	if rec.Lost() != 12 {
		t.Errorf("%d blocks counted as lost, 12 were", rec.Lost())
	}
	rep := replayed(t, full.Bytes())
	if rep.Divergence != nil || len(rep.Losses) == 0 || rep.SkippedEvents > rep.Events {
		t.Errorf("%d events, %d skipped, losses %q, %v", rep.Events, rep.SkippedEvents, rep.Losses, rep.Divergence)
	}
	if whole := replayed(t, rec.Dump(nil)); whole.Divergence != nil || whole.Events <= rep.Events {
		t.Errorf("the ring holds %d events, the file %d: %v", whole.Events, rep.Events, whole.Divergence)
	}
}

// endless is a recording far larger than memory should be, made of the same blocks.
type endless struct {
	start, data []byte
	left        int64
	pos         int
}

func (e *endless) Read(b []byte) (int, error) {
	if len(e.start) > 0 {
		n := copy(b, e.start)
		e.start = e.start[n:]
		return n, nil
	}
	if e.left <= 0 {
		return 0, io.EOF
	}
	n := copy(b, e.data[e.pos:])
	e.pos = (e.pos + n) % len(e.data)
	e.left -= int64(n)
	return n, nil
}

// A recording of 1 GB is read with the memory of a small one. Only its blocks are looked
// for here: all its events would take a minute.
func TestHugeRecording(t *testing.T) {
	if testing.Short() {
		t.Skip("reads 1 GB")
	}
	var out sink
	record(t, day(1, 1200), 1, Options{Sink: &out})
	data := out.Bytes()
	r := NewReader(&endless{data: data, left: 1 << 30})
	n := 0
	for {
		if err := r.nextBlock(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		r.pending, r.rest.data = r.pending[:0], nil
		n++
	}
	if want := (1 << 30) / len(data) * len(blocks(t, data)); n < want {
		t.Errorf("%d blocks of %d", n, want)
	}
	if cap(r.payload) > 1<<20 {
		t.Errorf("the reader holds %d bytes", cap(r.payload))
	}
}

// The wall clock is told once, for labels: times count on the module's clock, which goes
// back nowhere, and if one did the recording would still say what was told.
func TestClockStep(t *testing.T) {
	s := day(1, 10)
	bal, _ := balancer.New(s.Settings, 1)
	var out sink
	at := s.Lists[0].At
	rec, _ := New(bal, SessionStart{Seed: 1, At: at, Settings: s.Settings, Wall: time.Now().Add(-9000 * time.Hour)}, 1, Options{Sink: &out})
	for _, d := range []time.Duration{0, 5 * time.Hour, 4 * time.Hour} {
		rec.Timer(at+d, 0)
		rec.TakeActions(nil)
	}
	rec.Flush()
	var times []balancer.Time
	r, it := NewReader(bytes.NewReader(out.Bytes())), Item{}
	for r.Next(&it) == nil {
		if it.Kind == ItemEvent {
			times = append(times, it.At-at)
		}
	}
	if fmt.Sprint(times) != "[0s 5h0m0s 4h0m0s]" {
		t.Errorf("times read: %v", times)
	}
}

func crcOf(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

func rehead(b []byte) {
	sum := crcOf(b[:36])
	b[36], b[37], b[38], b[39] = byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24)
}

// FuzzReader: whatever the bytes, the reader ends, with items or a plain error.
func FuzzReader(f *testing.F) {
	var out sink
	record(f, day(1, 40), 1, Options{Sink: &out, ViewInterval: 10 * ms})
	f.Add(out.Bytes())
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, data []byte) {
		// Sums are set right, so that what lies behind them is reached.
		fixed := bytes.Clone(data)
		for n := 0; n+blockHead <= len(fixed); n++ {
			if string(fixed[n:n+4]) != magic {
				continue
			}
			length := int(fixed[n+20]) | int(fixed[n+21])<<8
			if end := n + blockHead + length; end <= len(fixed) {
				sum := crcOf(fixed[n+blockHead : end])
				fixed[n+22], fixed[n+23] = 0, 0
				fixed[n+32], fixed[n+33], fixed[n+34], fixed[n+35] = byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24)
				rehead(fixed[n:])
			}
		}
		for _, b := range [][]byte{data, fixed} {
			Replay(NewReader(bytes.NewReader(b)), nil, nil)
		}
	})
}
