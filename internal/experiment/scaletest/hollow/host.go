// Package hollow runs fleets of gateways in which some or all are hollow: the program's own control
// code (internal/fleet and what is below it: member, session, carrier, disk, lists of hosts) on real
// sockets and disks, without the part that serves requests, many in one process. What they use is
// counted by the kernel.
package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/url"
	"runtime"
	"slices"
	"sync"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/admin"
	"dunemoor/internal/config"
	"dunemoor/internal/discovery"
	"dunemoor/internal/fleet"
)

// order is what a host is told, one a line on its standard input, in JSON; each gets a reply.
type order struct {
	Start []string `json:"start,omitempty"` // files of gateways to be started
	// Say is called at gateway By: an operator's word on a host.
	Say *say `json:"say,omitempty"`
	// Change has words said at gateway By, a steady rate of them for so long, one by one in turn.
	Change *change `json:"change,omitempty"`
	// Report asks for a report; Status with how each gateway stands, Counts with its counters.
	Report bool `json:"report,omitempty"`
	Status bool `json:"status,omitempty"`
	Counts bool `json:"counts,omitempty"`
}

type say struct {
	By    string `json:"by"`
	Host  string `json:"host"`
	Drain bool   `json:"drain"`
}

type change struct {
	By   []string      `json:"by"`
	Rate float64       `json:"rate"` // a second
	For  time.Duration `json:"for"`
}

// reply is a host's answer to an order, or an event.
type reply struct {
	Error  string  `json:"error,omitempty"`
	Report *Report `json:"report,omitempty"`
	Done   int     `json:"done,omitempty"`   // changes that were carried out
	Failed int     `json:"failed,omitempty"` // and that were not, or are not known of
	Event  string  `json:"event,omitempty"`  // a line of the log
	By     string  `json:"by,omitempty"`     // the gateway, of "word"
	At     int64   `json:"at,omitempty"`     // when, in nanoseconds since 1970
}

// Report is a host's own account.
type Report struct {
	Goroutines int                `json:"goroutines"`
	Heap       uint64             `json:"heap"`  // bytes in use by objects and stacks
	Lines      map[string]int     `json:"lines"` // of the log, by text
	Gateways   map[string]*Status `json:"gateways,omitempty"`
}

// Status is how a gateway stands, of its own account.
type Status struct {
	Role    string `json:"role"`
	Leader  string `json:"leader"`
	Session uint64 `json:"session"`
	Members []struct {
		Session uint64 `json:"session"`
	} `json:"members"`
	Sessions int `json:"sessions"`
	Duties   []struct {
		Name  string `json:"name"`
		Owner string `json:"owner"`
	} `json:"duties"`
	// Relay is where the gateway has its stream, in a fleet with relays; Joined is since when, in
	// nanoseconds since 1970, as the host has worked it out.
	Relay *struct {
		Name    string `json:"name"`
		SinceMS int64  `json:"since_ms"`
		First   string `json:"first"`
		Moves   uint64 `json:"moves"`
	} `json:"relay,omitempty"`
	Joined int64 `json:"joined,omitempty"`
	// Streams are those that a relay holds.
	Streams *struct {
		Streams int `json:"streams"`
		Routes  int `json:"routes"`
	} `json:"streams,omitempty"`
	Counts map[string]float64 `json:"counts,omitempty"` // dunemoor_fleet_*
}

// join works out since when the gateway has its stream.
func (s *Status) join() {
	if s.Relay != nil && s.Relay.Name != "" {
		s.Joined = time.Now().UnixNano() - s.Relay.SinceMS*int64(time.Millisecond)
	}
}

// gateway is a hollow gateway.
type gateway struct {
	name   string
	part   *fleet.Fleet
	pool   string
	calls  map[string]admin.Call
	cancel context.CancelFunc
	all    sync.WaitGroup
}

// host is a process of them.
type host struct {
	mu    sync.Mutex
	all   map[string]*gateway
	lines map[string]int

	writing sync.Mutex
	out     *json.Encoder
}

// told are the lines of the log that are passed on as events, as the program words them.
var told = []string{"session opened", "session expired", "became leader", "fleet bootstrapped", "lease acquired"}

// WordEvent is of a word that has taken effect at a gateway.
const WordEvent = "word"

// Serve is a host: it does as it is told until in ends, and ends all that it has started. It takes
// the program's log for its own.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{all: map[string]*gateway{}, lines: map[string]int{}, out: json.NewEncoder(out)}
	was := slog.Default()
	slog.SetDefault(slog.New((*logged)(h)))
	defer slog.SetDefault(was)
	defer h.close()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var o order
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return fmt.Errorf("an order that can't be read: %w", err)
		}
		r := h.do(&o)
		if err := h.say(r); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (h *host) say(r *reply) error {
	h.writing.Lock()
	defer h.writing.Unlock()
	return h.out.Encode(r)
}

func (h *host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all sync.WaitGroup
	for _, g := range h.all {
		all.Go(g.close)
	}
	all.Wait()
}

func (h *host) do(o *order) *reply {
	r := &reply{}
	fail := func(err error) {
		if err != nil && r.Error == "" {
			r.Error = err.Error()
		}
	}
	switch {
	case len(o.Start) > 0:
		for _, file := range o.Start {
			fail(h.start(file))
		}
	case o.Say != nil:
		fail(h.word(o.Say))
	case o.Change != nil:
		r.Done, r.Failed = h.change(o.Change)
	case o.Report:
		r.Report = h.report(o.Status, o.Counts)
	}
	return r
}

// start starts a gateway by its file, as the program does but for what serves.
func (h *host) start(file string) error {
	a, wrong := config.LoadAppliance(file)
	if len(wrong) > 0 {
		return errors.Join(wrong...)
	}
	part, err := fleet.Join(a)
	if err != nil {
		return err
	}
	if err := part.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &gateway{name: a.Name, part: part, calls: part.Calls(), cancel: cancel}
	if len(a.Pools) > 0 { // a relay has none
		g.pool = a.Pools[0].Name
	}
	h.mu.Lock()
	was := h.all[g.name]
	h.all[g.name] = g
	h.mu.Unlock()
	if was != nil {
		return fmt.Errorf("%s runs already", g.name)
	}
	for _, p := range a.Pools {
		if p.Discovery != "" {
			source := part.Source(p.Name, p.Discovery)
			g.all.Go(func() { source.Run(ctx, unheard{}) })
		}
	}
	words := 0
	part.SetPools(func(string) (fleet.Pool, bool) { return unheard{}, true }, func(hosts map[string][]string) {
		n := 0
		for _, list := range hosts {
			n += len(list)
		}
		if n > words {
			h.say(&reply{Event: WordEvent, By: g.name, At: time.Now().UnixNano()})
		}
		words = n
	})
	return nil
}

func (g *gateway) close() {
	g.cancel()
	g.part.Leave()
	g.all.Wait()
}

// unheard is the pool of a gateway that serves nobody.
type unheard struct{}

func (unheard) UpdateEndpoints(balancer.ListKind, discovery.MemberList) {}
func (unheard) EjectedHosts(int) []string                               { return nil }
func (unheard) Address(string) string                                   { return "" }
func (unheard) HealthCheckPassed(string, time.Duration)                 {}

func (h *host) named(name string) *gateway {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.all[name]
}

// wordMost is how long a word may take to be written.
const wordMost = 15 * time.Second

// word says an operator's word at a gateway.
func (h *host) word(s *say) error {
	g := h.named(s.By)
	if g == nil {
		return fmt.Errorf("%s does not run", s.By)
	}
	path := fleet.PathUndrain
	if s.Drain {
		path = fleet.PathDrain
	}
	ctx, cancel := context.WithTimeout(context.Background(), wordMost)
	defer cancel()
	if code, text, _ := g.calls[path].Do(ctx, url.Values{"pool": {g.pool}, "host": {s.Host}}); code/100 != 2 {
		return fmt.Errorf("%s: %d %s", s.By, code, text)
	}
	return nil
}

// change says words at gateways in turn, at a steady rate, drained and back. A gateway has its
// words carried out one after the other; all of them share the rate.
func (h *host) change(c *change) (done, failed int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	each := time.Duration(float64(len(c.By)) / c.Rate * float64(time.Second))
	for i, name := range c.By {
		all.Go(func() {
			began := time.Now()
			next := began.Add(each * time.Duration(i) / time.Duration(len(c.By)))
			for drain := true; next.Before(began.Add(c.For)); drain = !drain {
				time.Sleep(time.Until(next))
				next = next.Add(each)
				err := h.word(&say{By: name, Host: "h-" + name, Drain: drain})
				mu.Lock()
				if err == nil {
					done++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return done, failed
}

func (h *host) report(status, counts bool) *Report {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r := &Report{Goroutines: runtime.NumGoroutine(), Heap: m.HeapInuse + m.StackInuse, Lines: map[string]int{}}
	h.mu.Lock()
	for text, n := range h.lines {
		r.Lines[text] = n
	}
	var all []*gateway
	for _, g := range h.all {
		all = append(all, g)
	}
	h.mu.Unlock()
	if !status && !counts {
		return r
	}
	r.Gateways = map[string]*Status{}
	for _, g := range all {
		s := &Status{}
		if status {
			_, text, _ := g.calls[fleet.PathFleet].Do(context.Background(), nil)
			if err := json.Unmarshal([]byte(text), s); err != nil {
				s.Role = err.Error()
			}
			s.join()
		}
		if counts {
			_, text, _ := g.calls[fleet.PathMetrics].Do(context.Background(), nil)
			s.Counts = readCounts(text)
		}
		r.Gateways[g.name] = s
	}
	return r
}

// logged is a host as it takes the lines of the log.
type logged host

func (l *logged) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelInfo }
func (l *logged) WithAttrs([]slog.Attr) slog.Handler               { return l }
func (l *logged) WithGroup(string) slog.Handler                    { return l }

func (l *logged) Handle(_ context.Context, r slog.Record) error {
	h := (*host)(l)
	h.mu.Lock()
	h.lines[r.Message]++
	h.mu.Unlock()
	if slices.Contains(told, r.Message) {
		return h.say(&reply{Event: r.Message, At: r.Time.UnixNano()})
	}
	return nil
}
