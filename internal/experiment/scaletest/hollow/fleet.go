package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Options are what a fleet is made of.
type Options struct {
	Dir       string   // for files and disks
	Host      []string // the command of a hollow host: Serve on its standard input and output
	Bin       string   // the program
	Real      int      // so many of relays and the first gateways are processes of it
	Gateways  int
	Relays    int // that carry for the gateways, beside them; 0: these are connected with each other
	Keepers   int // that hold the record at first: of the relays, where there are some
	Alone     int // so many of relays and the first gateways are alone in their process, so that it is known what one takes
	Packed    int // gateways in each other process
	Pools     int // of each gateway; each pool's list of hosts is a duty
	Discovery string
}

// Process is one of a fleet: hollow gateways, or one of the program's own.
type Process struct {
	Names []string
	f     *Fleet
	first int // index of the first gateway
	cmd   *exec.Cmd
	ended chan struct{}

	asking sync.Mutex
	in     io.WriteCloser
	out    chan *reply
}

// Event is something that a gateway has logged; By is known where it is alone in its process.
type Event struct {
	What string
	By   string
	At   time.Time
}

// Fleet is gateways on the loopback.
type Fleet struct {
	*layout
	Processes []*Process
	log       *os.File
	client    http.Client

	mu     sync.Mutex
	events []Event
	wake   chan struct{} // closed with each event
}

// New lays out a fleet and starts nothing.
func New(o Options) (*Fleet, error) {
	o.Alone = min(max(o.Alone, o.Keepers, o.Relays, o.Real), o.Relays+o.Gateways)
	l, err := newLayout(o)
	if err != nil {
		return nil, err
	}
	f := &Fleet{layout: l, wake: make(chan struct{}), client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if f.log, err = os.Create(filepath.Join(o.Dir, "log")); err != nil {
		return nil, err
	}
	for i := 0; i < len(l.names); {
		n := 1
		if i >= o.Alone {
			n = min(max(1, o.Packed), len(l.names)-i)
		}
		f.Processes = append(f.Processes, &Process{Names: l.names[i : i+n], f: f, first: i})
		i += n
	}
	return f, nil
}

// Close ends all processes.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for _, p := range f.Processes {
		all.Go(p.Kill)
	}
	all.Wait()
	f.log.Close()
}

// Start starts all processes at once.
func (f *Fleet) Start(ctx context.Context) error { return startAll(ctx, f.Processes) }

func startAll(ctx context.Context, list []*Process) error {
	var all sync.WaitGroup
	errs := make([]error, len(list))
	for i, p := range list {
		all.Go(func() { errs[i] = p.Start(ctx) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Start starts the process; it ends with us.
func (p *Process) Start(ctx context.Context) error {
	f := p.f
	if p.Real() {
		p.cmd = exec.CommandContext(ctx, f.Bin, "--appliance", f.file(p.first))
	} else {
		p.cmd = exec.CommandContext(ctx, f.Host[0], f.Host[1:]...)
	}
	// Nor does it outlive us if we are killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return err
	}
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	if p.Real() {
		p.cmd.Stdout, p.cmd.Stderr = f.log, w
	} else {
		p.cmd.Stdout, p.cmd.Stderr = w, f.log
	}
	err = p.cmd.Start()
	w.Close()
	if err != nil {
		r.Close()
		return err
	}
	p.ended, p.out = make(chan struct{}), make(chan *reply, 1)
	ended, out, cmd := p.ended, p.out, p.cmd
	go func() {
		defer close(ended)
		defer cmd.Wait()
		defer close(out)
		defer r.Close()
		in := bufio.NewScanner(r)
		in.Buffer(nil, 64<<20)
		for in.Scan() {
			if p.Real() {
				f.log.Write(append(in.Bytes(), '\n'))
				p.heardLine(in.Text())
				continue
			}
			m := &reply{}
			if err := json.Unmarshal(in.Bytes(), m); err != nil {
				fmt.Fprintf(f.log, "%v: a reply that can't be read: %s\n", p.Names, in.Text())
				return
			}
			if m.Event == "" {
				out <- m
				continue
			}
			if m.By == "" && len(p.Names) == 1 {
				m.By = p.Names[0]
			}
			f.heard(Event{m.Event, m.By, time.Unix(0, m.At)})
		}
	}()
	if p.Real() {
		return nil
	}
	var files []string
	for i := range p.Names {
		files = append(files, f.file(p.first+i))
	}
	_, err = p.ask(&order{Start: files})
	return err
}

// heardLine takes a line of the program's log.
func (p *Process) heardLine(line string) {
	_, rest, ok := strings.Cut(line, " msg=")
	stamp, _, stamped := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if !ok || !stamped || err != nil {
		return
	}
	text := rest
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		text, _ = strconv.Unquote(quoted)
	} else {
		text, _, _ = strings.Cut(rest, " ")
	}
	if slices.Contains(told, text) {
		p.f.heard(Event{text, p.Names[0], at})
	}
}

func (f *Fleet) heard(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
	close(f.wake)
	f.wake = make(chan struct{})
}

// Events are those of a text from a time on.
func (f *Fleet) Events(what string, from time.Time) (list []Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e.What == what && !e.At.Before(from) {
			list = append(list, e)
		}
	}
	return list
}

// Wait waits until n events of a text have come from a time on, and says when the last of them
// was.
func (f *Fleet) Wait(ctx context.Context, what string, from time.Time, n int, most time.Duration) (time.Time, error) {
	end := time.After(most)
	for {
		f.mu.Lock()
		wake := f.wake
		f.mu.Unlock()
		list := f.Events(what, from)
		if len(list) >= n {
			slices.SortFunc(list, func(a, b Event) int { return a.At.Compare(b.At) })
			return list[n-1].At, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return time.Time{}, ctx.Err()
		case <-end:
			return time.Time{}, fmt.Errorf("%d of %d came to %q within %v", len(list), n, what, most)
		}
	}
}

// errEnded is of a process that does not run.
var errEnded = errors.New("the process has ended")

// ask has a hollow host do something.
func (p *Process) ask(o *order) (*reply, error) {
	p.asking.Lock()
	defer p.asking.Unlock()
	b, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	if _, err := p.in.Write(append(b, '\n')); err != nil {
		return nil, err
	}
	r, ok := <-p.out
	switch {
	case !ok:
		return nil, errEnded
	case r.Error != "":
		return nil, errors.New(r.Error)
	}
	return r, nil
}

// Kill ends the process at once, if it runs.
func (p *Process) Kill() {
	if p.ended == nil {
		return
	}
	p.cmd.Process.Kill()
	for {
		select {
		case <-p.out: // nobody waits for it any more
			continue
		case <-p.ended:
		}
		p.ended = nil
		return
	}
}

// Stop has the process stand still, as one whose machine has gone does to others; Continue ends that.
func (p *Process) Stop() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Continue has a process go on that stands still.
func (p *Process) Continue() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Real says whether it is a process of the program.
func (p *Process) Real() bool { return p.first < p.f.Options.Real }

// Runs says whether the process was started and not killed.
func (p *Process) Runs() bool { return p.ended != nil }

// Status is how each gateway of the process stands; with counts what it has counted as well.
func (p *Process) Status(counts bool) (map[string]*Status, error) {
	if !p.Real() {
		r, err := p.ask(&order{Report: true, Status: true, Counts: counts})
		if err != nil {
			return nil, err
		}
		return r.Report.Gateways, nil
	}
	s := &Status{}
	err := p.get("/admin/fleet", func(r io.Reader) error { return json.NewDecoder(r).Decode(s) })
	if err == nil && counts {
		err = p.get("/admin/metrics", func(r io.Reader) error {
			b, err := io.ReadAll(r)
			s.Counts = readCounts(string(b))
			return err
		})
	}
	return map[string]*Status{p.Names[0]: s}, err
}

// Report is a hollow host's own account; of a process of the program nil.
func (p *Process) Report() (*Report, error) {
	if p.Real() {
		return nil, nil
	}
	r, err := p.ask(&order{Report: true})
	if err != nil {
		return nil, err
	}
	return r.Report, nil
}

func (p *Process) get(path string, read func(io.Reader) error) error {
	resp, err := p.f.client.Get("http://" + p.f.admin(p.first) + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return read(resp.Body)
}

// Say says an operator's word at a gateway of a hollow process.
func (p *Process) Say(by, host string, drain bool) error {
	_, err := p.ask(&order{Say: &say{by, host, drain}})
	return err
}

// Change has words said at the gateways of a hollow process, rate a second in all, for so long;
// it returns how many were carried out and how many were not.
func (p *Process) Change(rate float64, d time.Duration) (done, failed int, err error) {
	r, err := p.ask(&order{Change: &change{p.Names, rate, d}})
	if err != nil {
		return 0, 0, err
	}
	return r.Done, r.Failed, nil
}

// readCounts are the counters of a gateway's part in its fleet, in the text format of Prometheus.
func readCounts(text string) map[string]float64 {
	list := map[string]float64{}
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil && strings.HasPrefix(name, "dunemoor_fleet_") {
			list[strings.TrimPrefix(name, "dunemoor_fleet_")] = v
		}
	}
	return list
}

// Whole says whether each gateway that is to run has a session and knows all the others', and each
// duty has an owner.
func (f *Fleet) Whole() bool {
	n := 0
	for _, p := range f.Processes {
		if p.Runs() {
			n += len(p.Names)
		}
	}
	if f.Relays > 0 {
		// A gateway of relays knows no list of the others; the record has who has a session.
		lead := f.Leader()
		if lead == nil {
			return false
		}
		all, err := lead.Status(false)
		return err == nil && all[lead.Names[0]].whole(n, f.Pools)
	}
	for _, p := range f.Processes {
		if !p.Runs() {
			continue
		}
		all, err := p.Status(false)
		if err != nil || len(all) != len(p.Names) {
			return false
		}
		for _, s := range all {
			if !s.whole(n, f.Pools) {
				return false
			}
		}
	}
	return true
}

// whole says whether a gateway has a session, knows n of them, and knows an owner of each duty.
func (s *Status) whole(n, pools int) bool {
	if s.Session == 0 || s.Leader == "" || s.Sessions != n || len(s.Duties) <= pools {
		return false
	}
	for _, d := range s.Duties {
		if d.Owner == "" {
			return false
		}
	}
	return true
}

// poll is how often it is looked whether a fleet is whole; of a large one so much less often that
// looking is not what it is busy with.
const (
	poll     = 100 * time.Millisecond
	pollEach = 200 * time.Microsecond
)

// UntilWhole waits until the fleet is whole.
func (f *Fleet) UntilWhole(ctx context.Context, most time.Duration) error {
	every := max(poll, time.Duration(len(f.names))*pollEach)
	for end := time.Now().Add(most); !f.Whole(); {
		if time.Now().After(end) {
			return fmt.Errorf("the fleet is not whole after %v", most)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(every):
		}
	}
	return nil
}

// Names are those of all gateways.
func (f *Fleet) Names() []string { return f.names }

// Leader is the process of the gateway that leads the record, which is alone in it; nil: nobody
// does.
func (f *Fleet) Leader() *Process {
	for _, p := range f.Processes {
		if !p.Runs() || len(p.Names) > 1 {
			continue
		}
		if all, err := p.Status(false); err == nil && all[p.Names[0]] != nil && all[p.Names[0]].Role == "leader" {
			return p
		}
	}
	return nil
}

// Owns is how many duties each gateway owns, by the leader's account.
func (f *Fleet) Owns() map[string]int {
	list := map[string]int{}
	if lead := f.Leader(); lead != nil {
		if all, err := lead.Status(false); err == nil {
			for _, d := range all[lead.Names[0]].Duties {
				list[d.Owner]++
			}
		}
	}
	return list
}

// Account is what the kernel and a process itself count of it, of a time.
type Account struct {
	At         time.Time
	CPU        time.Duration
	Resident   uint64 // bytes
	Heap       uint64 // bytes, of a hollow process
	Goroutines int
	Conns      int // between gateways: ends of connections that are open
	Traffic    Traffic
	conns      map[uint32]Traffic
	Counts     map[string]float64 // of a gateway that is alone in its process
}

// Accounts are those of all processes that run, and what the loopback device has carried.
type Accounts struct {
	Of             map[*Process]*Account
	Bytes, Packets uint64 // of the loopback device
	conns          map[uint32]Traffic
}

// Account takes the accounts of now. Own says whether the processes give theirs as well, for which
// they do some work.
func (f *Fleet) Account(own bool) (*Accounts, error) { return f.account(own, nil) }

// AccountBut takes the accounts of now, their own too, but for a process that has an order to carry
// out and does not answer meanwhile.
func (f *Fleet) AccountBut(busy *Process) (*Accounts, error) { return f.account(true, busy) }

func (f *Fleet) account(own bool, busy *Process) (*Accounts, error) {
	a := &Accounts{Of: map[*Process]*Account{}, conns: map[uint32]Traffic{}}
	for _, p := range f.Processes {
		if !p.Runs() {
			continue
		}
		x := &Account{conns: map[uint32]Traffic{}}
		a.Of[p] = x
		if !own || p == busy {
			continue
		}
		r, err := p.Report()
		if err != nil {
			return nil, err
		}
		if r != nil {
			x.Heap, x.Goroutines = r.Heap, r.Goroutines
		}
		if len(p.Names) == 1 {
			s, err := p.Status(true)
			if err != nil {
				return nil, err
			}
			x.Counts = s[p.Names[0]].Counts
		}
	}
	for p, x := range a.Of {
		var err error
		if x.CPU, err = cpuOf(p.cmd.Process.Pid); err != nil {
			return nil, err
		}
		if x.Resident, err = residentOf(p.cmd.Process.Pid); err != nil {
			return nil, err
		}
		x.At = time.Now()
	}
	list, err := conns()
	if err != nil {
		return nil, err
	}
	if a.Bytes, a.Packets, err = Loopback(); err != nil {
		return nil, err
	}
	byInode := map[uint32]*conn{}
	for i := range list {
		c := &list[i]
		if c.inode == 0 {
			continue // its process has closed it
		}
		a.conns[c.inode] = c.Traffic
		if f.between(c.local) || f.between(c.remote) {
			byInode[c.inode] = c
		}
	}
	for p, x := range a.Of {
		set, err := inodes(p.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		for inode := range set {
			if c := byInode[inode]; c != nil {
				x.Conns++
				x.conns[inode] = c.Traffic
				x.Traffic = x.Traffic.plus(c.Traffic)
			}
		}
	}
	return a, nil
}

// between says whether an end of a connection is a gateway's for other gateways.
func (f *Fleet) between(at netip.AddrPort) bool { return f.ends[at] != "" }

// Rates are what was used from one account to a later one, a second.
type Rates struct {
	CPU     float64 // ms/s
	Traffic         // of both accounts' connections, in the span
	Span    time.Duration
	Syncs   float64
	Counted float64 // bytes by the carrier's own counter (frame_bytes_sent_total)
	Frames  float64
}

// Since are a process's rates since an earlier account.
func (x *Account) Since(was *Account) Rates {
	r := Rates{Span: x.At.Sub(was.At)}
	s := r.Span.Seconds()
	r.CPU = float64((x.CPU - was.CPU).Microseconds()) / 1000 / s
	for inode, t := range x.conns {
		r.Traffic = r.Traffic.plus(t.since(was.conns[inode]))
	}
	per := func(name string) float64 { return (x.Counts[name] - was.Counts[name]) / s }
	r.Syncs, r.Counted, r.Frames = per("disk_syncs_total"), per("frame_bytes_sent_total"), per("frames_sent_total")
	return r
}

// PerSecond is a count of the span as a rate.
func (r Rates) PerSecond(n uint64) float64 { return float64(n) / r.Span.Seconds() }

// Sent is what all connections have sent since an earlier account, as their ends count it, and the
// loopback device's own count: bytes with headers.
func (a *Accounts) Sent(was *Accounts) (ends, device uint64) {
	for inode, t := range a.conns {
		d := t.since(was.conns[inode])
		ends += d.BytesOut + HeaderBytes*d.PacketsOut
	}
	return ends, a.Bytes - was.Bytes
}
