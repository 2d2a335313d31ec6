package simulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"dunemoor/balancer"
)

// fleet is a small one that does well.
func fleet(seed uint64) Config {
	return Config{
		Seed: seed, Length: 20 * time.Second, Gateways: 3,
		Settings: balancer.Settings{
			MaxAttempts: 4, Cancel: true, MaxRetryAfter: time.Second, SlowStartShare: 0.3, SlowStartWindow: 5 * time.Second, OverloadFactor: 2, OverloadWindow: time.Second,
			Classes: []balancer.Class{
				{LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1},
				{LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5, Idempotency: balancer.NonIdempotent},
				{LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, PriorityWeight: 2, Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.ScopeCell, DedupWindow: 2500 * time.Millisecond},
			},
		},
		Hosts: []Kind{{Count: 12, Cores: 2, Slots: 8, Queue: 16, Conns: 200}},
		Classes: []Traffic{
			{Name: "look", Rate: 300, Work: 20 * time.Millisecond},
			{Name: "book", Rate: 60, Work: 20 * time.Millisecond, Dist: LogNormal},
			{Name: "report", Rate: 60, Work: 20 * time.Millisecond, Dist: Fixed},
		},
		Clients: Clients{Retries: 2, Backoff: 50 * time.Millisecond, Jitter: 0.5, Honour: 0.5, Notice: time.Second},
		Net:     Net{Delay: 200 * time.Microsecond, Spread: 0.5, Handshake: time.Millisecond},
		Lists:   Lists{Delay: 100 * time.Millisecond, Silent: 2 * time.Second, Spread: 200 * time.Millisecond},
	}
}

func run(t testing.TB, c Config) *Summary {
	t.Helper()
	s, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// kept fails where a rule is broken, or a first try has no end.
func kept(t testing.TB, c Config, s *Summary) {
	t.Helper()
	if s.Broken != ([rules]int{}) {
		t.Errorf("seed %d: rules broken %v: %q", c.Seed, s.Broken, s.Why)
	}
	for _, k := range s.Classes {
		if ends := k.InTime + k.Late + k.Refused + k.Failed + k.Left; ends != k.Asked {
			t.Errorf("seed %d: %s: %d asked, %d ended: %+v", c.Seed, k.Name, k.Asked, ends, k)
		}
	}
}

// A fleet that has what it needs serves; each kind of trouble is played, and the rules hold with
// the real module under it.
func TestTroubles(t *testing.T) {
	for i, kind := range append([]TroubleKind{""}, TroubleKinds...) {
		c := fleet(uint64(100 + i))
		least := 0.99
		if kind != "" {
			c.Troubles = []Trouble{{Kind: kind, At: 5 * time.Second, For: 6 * time.Second, Part: 0.25, Size: 1}}
			if kind == Slow {
				c.Troubles[0].Size = 5
			}
			least = 0.85
		}
		s := run(t, c)
		kept(t, c, s)
		if s.InTime() < least {
			t.Errorf("%q: %.4f in time: %+v", kind, s.InTime(), s.Classes)
		}
		t.Logf("%-8s in time %.4f, %d attempts, %d events, worst of mean %.2f", kind, s.InTime(), s.Attempts, s.Events, s.WorstOfMean)
	}
}

// A calm fleet at half load serves whatever the number of its gateways, also where work varies: it
// guards against a module that takes chance for overload, and refuses half of what comes.
func TestCalmBehindManyGateways(t *testing.T) {
	for _, gateways := range []int{2, 8, 24} {
		c := fleet(11)
		c.Gateways = gateways
		for i := range c.Classes {
			c.Classes[i].Rate *= 1.4
			c.Classes[i].Dist, c.Classes[i].CV = LogNormal, 1
		}
		s := run(t, c)
		kept(t, c, s)
		if s.InTime() < 0.99 {
			t.Errorf("%d gateways: %.4f in time: %+v", gateways, s.InTime(), s.Classes)
		}
	}
}

// Trouble leaves its mark: it guards against troubles that are asked for and not played.
func TestTroublesBite(t *testing.T) {
	calm := run(t, fleet(5))
	for _, kind := range TroubleKinds {
		c := fleet(5)
		least := 0.02
		switch kind {
		case Blind:
			continue // nobody asks for the list here
		case Replace:
			least = 0.01 // the old ones serve while the new ones start
		}
		c.Troubles = []Trouble{{Kind: kind, At: 5 * time.Second, For: 6 * time.Second, Part: 1, Size: 1}}
		if kind == Slow {
			c.Troubles[0].Size = 20
		}
		s := run(t, c)
		if s.InTime() > calm.InTime()-least {
			t.Errorf("%s of all: %.3f in time, %.3f without", kind, s.InTime(), calm.InTime())
		}
		kept(t, c, s)
	}
}

// The same seed gives the same run, another one another.
func TestSameSeedSameRun(t *testing.T) {
	c := fleet(7)
	c.Troubles = []Trouble{{Kind: Crash, At: 3 * time.Second, For: 4 * time.Second, Part: 0.3}, {Kind: Gateway, At: 8 * time.Second, For: 3 * time.Second, Part: 0.4}}
	a, b := run(t, c), run(t, c)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
	if c.Seed = 8; reflect.DeepEqual(a.Seconds, run(t, c).Seconds) {
		t.Error("another seed gives the same run")
	}
}

// What is added shifts nothing of what clients ask: it guards against comparing runs by chance.
func TestStreamsAreTheirOwn(t *testing.T) {
	asked := func(c Config) (out []int) {
		for _, s := range run(t, c).Seconds {
			out = append(out, s.Asked)
		}
		return out
	}
	c := fleet(9)
	want := asked(c)
	more := fleet(9)
	more.Hosts = append(more.Hosts, Kind{Count: 3, Cores: 1, Slots: 1, Queue: 5})
	more.Troubles = []Trouble{{Kind: Hang, At: time.Second, For: time.Second, Part: 0.5}}
	more.Gateways = 5
	if got := asked(more); !reflect.DeepEqual(got, want) {
		t.Errorf("asked %v, with more hosts, gateways and a trouble %v", want, got)
	}
	burst := fleet(9)
	burst.Bursts = []Burst{{At: 19 * time.Second, For: time.Second, Times: 3, Class: "report"}}
	if got := asked(burst); got[19] <= want[19] {
		t.Errorf("a burst brings %d in its second, %d without", got[19], want[19])
	}
}

// queueing plays one host alone, as a gateway may hold requests back, and gives the mean time there.
func queueing(t *testing.T, seed uint64, kind Kind, rate float64, dist Dist, cv float64, length time.Duration) (mean, halfWidth float64) {
	const runs = 12
	var means []float64
	for i := range uint64(runs) {
		w := &world{sum: &Summary{}, cfg: Config{Settings: balancer.Settings{Classes: make([]balancer.Class, 1)}}}
		h := &host{Kind: kind, up: true, slow: 1}
		w.hosts = []*host{h}
		arrive, work := stream(seed+i, "arrive", 0), stream(seed+i, "work", 0)
		asked, answered, took := 0, 0, 0.0
		come := func() {
			at := w.now + balancer.Time(arrive.ExpFloat64()/rate*1e9)
			if at < length {
				w.queue.push(event{at: at, kind: evArrive})
			}
		}
		for come(); len(w.queue.list) > 0; {
			e := w.queue.pop()
			w.now = e.at
			switch e.kind {
			case evArrive:
				asked++
				come()
				w.take(h, &request{at: w.now, work: dist.draw(work, 0.1, cv), gateway: &gateway{}, attempts: make([]attempt, 1)}, 0)
			case evDone:
				if e.n == h.plan {
					w.done(h)
				}
			case evAnswer:
				answered++
				took += (w.now - e.r.at).Seconds()
			}
		}
		if answered != asked || asked == 0 {
			t.Fatalf("seed %d: of %d asked %d were answered", seed+i, asked, answered)
		}
		means = append(means, took/float64(answered))
	}
	for _, m := range means {
		mean += m / runs
	}
	var square float64
	for _, m := range means {
		square += (m - mean) * (m - mean)
	}
	return mean, 4 * math.Sqrt(square/(runs-1)/runs) // four standard errors: it fails by chance one time in 10,000
}

// Hosts queue as the closed formulas have it (Kleinrock, Queueing Systems, volumes 1 and 2): one core
// after the other (M/M/1), several (M/M/c, Erlang C), and a core that is shared (M/G/1-PS), whose
// mean is that of M/M/1 whatever the distribution. The width is the run's own error.
func TestQueuesAgainstFormulas(t *testing.T) {
	const work = 0.1
	erlang := func(c int, load float64) float64 {
		sum, term := 0.0, 1.0
		for k := range c {
			sum += term
			term *= load / float64(k+1)
		}
		last := term * float64(c) / (float64(c) - load)
		return last / (sum + last)
	}
	for _, tt := range []struct {
		name string
		kind Kind
		rate float64
		dist Dist
		cv   float64
		want float64
		span time.Duration
	}{
		{"M/M/1", Kind{Count: 1, Cores: 1, Slots: 1, Queue: -1}, 5, Exponential, 0, work / (1 - 0.5), 400 * time.Second},
		{"M/D/1", Kind{Count: 1, Cores: 1, Slots: 1, Queue: -1}, 5, Fixed, 0, work + 0.5*work/(2*(1-0.5)), 400 * time.Second},
		{"M/M/4", Kind{Count: 1, Cores: 4, Slots: 4, Queue: -1}, 28, Exponential, 0, work + erlang(4, 2.8)*work/(4-2.8), 400 * time.Second},
		{"M/M/1-PS", Kind{Count: 1, Cores: 1}, 5, Exponential, 0, work / (1 - 0.5), 400 * time.Second},
		{"M/G/1-PS", Kind{Count: 1, Cores: 1}, 5, LogNormal, 1.5, work / (1 - 0.5), 3000 * time.Second},
	} {
		const seed = 31
		mean, half := queueing(t, seed, tt.kind, tt.rate, tt.dist, tt.cv, tt.span)
		t.Logf("%s: %.4f s, by formula %.4f s, width %.4f", tt.name, mean, tt.want, half)
		if math.Abs(mean-tt.want) > half || half > 0.2*tt.want {
			t.Errorf("%s, seeds from %d: %.4f s ± %.4f, by formula %.4f s", tt.name, seed, mean, half, tt.want)
		}
	}
}

// What can't be played is said, all at once.
func TestCheck(t *testing.T) {
	c := fleet(1)
	c.Length, c.Gateways, c.Hosts[0].Cores, c.Classes[0].Dist = 0, 0, 0, "normal"
	c.Classes[1].Name = "look"
	c.Clients.Jitter = 2
	c.Bursts = []Burst{{At: 0, For: 0, Times: 1, Class: "none"}}
	c.Troubles = []Trouble{{Kind: "fire", For: 1, Part: 1}, {Kind: Slow, For: 1, Part: 1}, {Kind: Errors, For: 1, Part: 1}, {Kind: Crash}}
	if _, err := Run(c); err == nil {
		t.Error("it is played")
	}
	var got []string
	for _, m := range c.Check() {
		got = append(got, m.Table+"."+m.Field)
	}
	want := []string{".length", ".gateways", "hosts.cores", "class.dist", "class.name", "clients.jitter", "burst.for", "trouble.kind", "trouble.size", "trouble.size", "trouble.for"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("mistakes in %v, want %v", got, want)
	}
}

// The queue gives events by time, and those of an instant in the order they were planned.
func TestQueue(t *testing.T) {
	const seed = 3
	rng := rand.New(rand.NewPCG(seed, 0))
	var q queue
	last := event{at: -1}
	for range 20_000 {
		if len(q.list) == 0 || rng.IntN(5) < 3 {
			q.push(event{at: balancer.Time(rng.IntN(50)) + max(last.at, 0)})
			continue
		}
		e := q.pop()
		if !before(&last, &e) && last.at >= 0 {
			t.Fatalf("seed %d: %v then %v", seed, last, e)
		}
		last = e
	}
}

type plain []event

func (q plain) Len() int           { return len(q) }
func (q plain) Less(i, j int) bool { return before(&q[i], &q[j]) }
func (q plain) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *plain) Push(x any)        { *q = append(*q, x.(event)) }
func (q *plain) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// BenchmarkQueue holds so many events and takes and puts one, beside container/heap.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint("ours/", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			var q queue
			for range n {
				q.push(event{at: balancer.Time(rng.IntN(1e9))})
			}
			for b.Loop() {
				e := q.pop()
				e.at += balancer.Time(rng.IntN(1e9))
				q.push(e)
			}
		})
		b.Run(fmt.Sprint("container-heap/", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			var q plain
			for i := range n {
				heap.Push(&q, event{at: balancer.Time(rng.IntN(1e9)), seq: uint64(i)})
			}
			for b.Loop() {
				e := heap.Pop(&q).(event)
				e.at += balancer.Time(rng.IntN(1e9))
				heap.Push(&q, e)
			}
		})
	}
}

// BenchmarkRun tells how many requests and events a second of a core are played.
func BenchmarkRun(b *testing.B) {
	for _, size := range []struct{ gateways, hosts int }{{3, 12}, {100, 1000}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.hosts), func(b *testing.B) {
			c := fleet(1)
			c.Gateways, c.Hosts[0].Count, c.Length = size.gateways, size.hosts, 5*time.Second
			for i := range c.Classes {
				c.Classes[i].Rate *= float64(size.hosts) / 12
			}
			asked, events := 0, 0
			for b.Loop() {
				s := run(b, c)
				events += s.Events
				for _, k := range s.Classes {
					asked += k.Asked
				}
			}
			b.ReportMetric(float64(asked)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
