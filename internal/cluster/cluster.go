// Package cluster puts a gateway's part in a fleet together: its member, the disk, the carrier and
// the duties that it holds. Requests are served without any of it.
package cluster

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dunemoor/internal/cluster/failpoint"
	"dunemoor/internal/cluster/lease"
	"dunemoor/internal/cluster/leaseholder"
	"dunemoor/internal/cluster/multiraft"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/cluster/peer"
	"dunemoor/internal/cluster/relay"
	"dunemoor/internal/cluster/wal"
)

// Config is a gateway's part in a fleet, as its file says.
type Config struct {
	ID, Name, Zone, Machine string
	Listen                  string
	DataDir                 string
	Key                     []byte
	First                   []string
	Peers                   []Peer

	// Relays is for fleets that have some, in place of Peers; one of this gateway's own name says
	// that it is one. Other gateways need no Listen.
	Relays []Relay
	Region string
}

// Peer is another gateway.
type Peer struct{ Name, Address, Zone, Machine string }

// Bounds and times.
const (
	// eventsMost bounds what waits for the loop; who brings more waits, and with him the
	// connection that it came by.
	eventsMost = 1024
	// statusEvery is how old what is shown may be, statusMost how long the loop is waited for where
	// it is older.
	statusEvery = 200 * time.Millisecond
	statusMost  = time.Second
	// asideMost is how many disks that can't be used are kept for whoever looks into it.
	asideMost = 2
	// reviveEvery is when a disk that was full is tried again.
	reviveEvery = 5 * time.Second
)

// Fleet is a gateway's part in it.
type Fleet struct {
	cfg     Config
	member  *node.Node
	dir     *wal.Dir
	disk    *wal.Log
	carrier *peer.Carrier
	duties  *leaseholder.Runner
	ln      net.Listener

	events chan func()
	writes chan *multiraft.Batch
	ctx    context.Context
	cancel context.CancelFunc
	all    sync.WaitGroup

	hello  atomic.Pointer[node.Hello]
	status atomic.Pointer[Status]
	stale  atomic.Bool // what is shown is older than what was logged
	shown  atomic.Int64
	judge  atomic.Pointer[node.Node] // for Judge, which looks at what does not change

	// OnWords is told of the operators' words as they change, from the loop. Set before Start.
	OnWords func(*node.OverrideSet)

	words atomic.Pointer[node.OverrideSet]
	said  chan *node.OverrideSet // to be kept
	syncs prometheus.Histogram

	// Of the loop.
	relayed *relayed // nil: the fleet has no relays
	waiting map[uint64]chan<- node.Outcome
	news    map[string]func(node.Publication)
	wants   map[string]func(from string, body []byte)
	counts  counts
	writing bool          // a batch is with the writer
	halted  time.Duration // when the replica here was seen to have stopped; 0: it has not
}

// counts are of what a Fleet did, for the metrics.
type counts struct {
	changes, fenced, written, synced atomic.Uint64
}

// New opens a gateway's part: its directory and its listener. Nothing runs before Start.
func New(cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg: cfg, events: make(chan func(), eventsMost), writes: make(chan *multiraft.Batch, 1), said: make(chan *node.OverrideSet, 1),
		waiting: map[uint64]chan<- node.Outcome{}, news: map[string]func(node.Publication){}, wants: map[string]func(string, []byte){},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.syncs = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "dunemoor_fleet_write_seconds", Help: "Time of a write to the fleet's log with its fsync.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
	})
	f.duties = leaseholder.NewRunner(func(name string, token uint64) {
		f.post(func() { f.member.ReleaseStopped(leaseholder.Now(), name, token) })
	})
	var err error
	if f.dir, err = wal.OpenDir(cfg.DataDir); err != nil {
		return nil, fmt.Errorf("fleet.data_dir: %w", err)
	}
	if len(cfg.Relays) == 0 || f.isRelay(cfg.Name) {
		if f.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
			f.dir.Close()
			return nil, fmt.Errorf("fleet.listen: %w", err)
		}
	}
	words := f.readWords()
	f.words.Store(&words)
	return f, nil
}

// Register names the work of a duty that this gateway can hold, and what is done with the news
// that its owner sends, and as its owner with others' wish to be told all; these come one at a
// time and must not wait. Before Start.
func (f *Fleet) Register(name string, w leaseholder.WorkFunc, news func(node.Publication), want func(from string, body []byte)) {
	f.duties.Register(name, w)
	if news != nil {
		f.news[name] = news
	}
	if want != nil {
		f.wants[name] = want
	}
}

// Start joins the fleet.
func (f *Fleet) Start() error {
	stored, err := f.open()
	if err == nil {
		err = f.join(stored)
	}
	if err != nil {
		if f.ln != nil {
			f.ln.Close()
		}
		f.dir.Close()
		return err
	}
	peers := map[string]string{}
	for _, p := range f.peers() {
		peers[p.Name] = p.Address
	}
	cfg := peer.Config{
		Name: f.cfg.Name, Key: f.cfg.Key, Peers: peers,
		Hello: func() node.Hello { return *f.hello.Load() },
		Judge: func(h *node.Hello) string {
			if err := f.judge.Load().ValidateHello(h); err != nil {
				return err.Error()
			}
			return ""
		},
	}
	if len(f.cfg.Relays) > 0 {
		cfg.Streams, cfg.JudgeStream, cfg.Serve = (*handler)(f), f.judgeStream, f.isRelay(f.cfg.Name)
	}
	f.carrier = peer.New(cfg, f.ln, (*handler)(f))
	f.all.Go(f.loop)
	f.all.Go(f.writer)
	f.all.Go(f.keepWords)
	f.carrier.Start()
	return nil
}

// peers are the gateways that this one is connected with, both ways.
func (f *Fleet) peers() []Peer {
	if len(f.cfg.Relays) == 0 {
		return f.cfg.Peers
	}
	var list []Peer
	for _, r := range f.cfg.Relays {
		if r.Name != f.cfg.Name && f.isRelay(f.cfg.Name) {
			list = append(list, Peer{Name: r.Name, Address: r.Address})
		}
	}
	return list
}

// open opens the disk. One that can't be trusted is set aside, and an empty one made: this
// gateway is another replica from then on.
func (f *Fleet) open() (map[multiraft.Group]multiraft.PersistedGroup, error) {
	d, stored, err := wal.Open(f.dir, f.cfg.ID, f.cfg.Name, f.draw)
	if errors.Is(err, wal.ErrCopied) || errors.Is(err, wal.ErrCorrupt) {
		slog.Warn("the disk is set aside, this gateway joins as a new replica", "dir", f.cfg.DataDir, "why", err.Error())
		if err := f.setAside(); err != nil {
			return nil, fmt.Errorf("fleet.data_dir: %w", err)
		}
		d, stored, err = wal.Open(f.dir, f.cfg.ID, f.cfg.Name, f.draw)
	}
	if err != nil {
		return nil, fmt.Errorf("fleet.data_dir: %s: %w", f.cfg.DataDir, err)
	}
	f.disk = d
	return stored, nil
}

// draw is for the identity of a new disk.
func (f *Fleet) draw() uint64 {
	if failpoint.Enabled(failpoint.ReuseDiskIdentity) {
		h := fnv.New64a()
		h.Write([]byte(f.cfg.Name))
		return h.Sum64() | 2
	}
	return random()
}

func random() uint64 {
	var b [8]byte
	rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// setAside moves the files of a disk into a directory beside them.
func (f *Fleet) setAside() error {
	names, err := f.dir.Names()
	if err != nil {
		return err
	}
	old, err := filepath.Glob(filepath.Join(f.cfg.DataDir, "aside-*"))
	if err != nil {
		return err
	}
	for len(old) >= asideMost {
		if err := os.RemoveAll(old[0]); err != nil {
			return err
		}
		old = old[1:]
	}
	to := "aside-" + time.Now().UTC().Format("20060102T150405.000000")
	if err := os.Mkdir(filepath.Join(f.cfg.DataDir, to), 0o700); err != nil {
		return err
	}
	for _, name := range names {
		if err := f.dir.Rename(name, filepath.Join(to, name)); err != nil {
			return err
		}
	}
	return f.dir.Sync()
}

// join makes the member on the disk that is open.
func (f *Fleet) join(stored map[multiraft.Group]multiraft.PersistedGroup) error {
	var names []string
	for _, p := range f.peers() {
		names = append(names, p.Name)
	}
	m, err := node.New(leaseholder.Now(), node.Config{
		Fleet: f.cfg.ID, Name: f.cfg.Name, Zone: f.cfg.Zone, Machine: f.cfg.Machine, Address: f.cfg.Listen, BootstrapReplicas: f.cfg.First,
		Peers: names, CandidateLeases: f.duties.Names(), Seed: random(), Disk: f.disk.Identity(), Stored: stored, Overrides: *f.words.Load(),
		UsesRelays: len(f.cfg.Relays) > 0,
	})
	if err != nil {
		return err
	}
	f.member = m
	f.judge.Store(m)
	h := m.Hello()
	f.hello.Store(&h)
	f.relays(leaseholder.Now(), &h)
	f.show(leaseholder.Now())
	slog.Info("fleet joined", "fleet", f.cfg.ID, "name", f.cfg.Name, "disk", h.ReplicaID, "boots", h.Boots)
	return nil
}

// post has the loop do something.
func (f *Fleet) post(do func()) {
	select {
	case f.events <- do:
	case <-f.ctx.Done():
	}
}

// loop is the sole owner of the member.
func (f *Fleet) loop() {
	tick := time.NewTicker(node.TickInterval)
	defer tick.Stop()
	var batch <-chan time.Time // of a relay
	if f.relayed != nil && f.relayed.router != nil {
		t := time.NewTicker(relay.TickEvery)
		defer t.Stop()
		batch = t.C
	}
	f.step()
	for {
		select {
		case <-f.ctx.Done():
			return
		case do := <-f.events:
			do()
			// What else has come is taken in the same turn: one write and one frame for it.
			for range len(f.events) {
				(<-f.events)()
			}
		case <-tick.C:
			now := leaseholder.Now()
			f.member.Tick(now)
			if f.relayed != nil {
				f.relayed.tick(now)
			}
		case <-batch:
			f.relayed.tick(leaseholder.Now())
		}
		f.step()
	}
}

// step carries out what the member and its part of relays want done.
func (f *Fleet) step() {
	f.carryOut()
	for f.relayed != nil && f.relayed.step(f) {
		f.carryOut()
	}
	f.revive(leaseholder.Now())
}

// carryOut carries out what the member wants done.
func (f *Fleet) carryOut() {
	o := f.member.TakeOutput()
	if o.ClusterID != 0 {
		if err := f.disk.SetClusterID(o.ClusterID); err != nil {
			f.member.WriteFailed(leaseholder.Now(), err)
		}
	}
	// Before anything is sent that goes beyond it.
	if h := f.member.Hello(); h != *f.hello.Load() {
		f.hello.Store(&h)
	}
	if o.Write != nil {
		f.writing = true
		f.writes <- o.Write // the one before has been told as written
	}
	for i := range o.Frames {
		if f.relayed != nil {
			f.relayed.send(f, leaseholder.Now(), &o.Frames[i])
		} else {
			f.carrier.Send(&o.Frames[i])
		}
	}
	if f.relayed != nil && f.relayed.client != nil {
		if o.RenewalSent {
			f.relayed.client.Asked(leaseholder.Now())
		}
		if o.LeaderResponded {
			f.relayed.client.Answered(leaseholder.Now())
		}
	}
	for _, d := range o.Outcomes {
		if c := f.waiting[d.ID]; c != nil {
			delete(f.waiting, d.ID)
			c <- d
		}
	}
	if o.GrantsChanged {
		f.duties.Update(o.Grants)
	}
	for _, n := range o.Publications {
		if take := f.news[n.Lease]; take != nil {
			take(n)
		}
	}
	if o.Overrides != nil {
		f.hearWords(o.Overrides)
	}
	f.counts.fenced.Add(uint64(o.StalePublications))
	for _, w := range o.ResyncRequests {
		if tell := f.wants[w.Lease]; tell != nil {
			tell(w.From, w.Body)
		}
	}
	f.log(o.Log)
	if len(o.Log) > 0 || o.GrantsChanged {
		f.stale.Store(true)
	}
}

// log logs lines.
func (f *Fleet) log(lines []node.LogEntry) {
	for _, l := range lines {
		if l.Message == "duty changed hands" {
			f.counts.changes.Add(1)
		}
		if l.Warn {
			slog.Warn(l.Message, l.Args...)
		} else {
			slog.Info(l.Message, l.Args...)
		}
	}
}

// show makes what Status shows, from the loop.
func (f *Fleet) show(now time.Duration) {
	f.stale.Store(false)
	s := &Status{Status: f.member.Status(now)}
	if f.relayed != nil {
		f.relayed.status(now, s)
	}
	f.status.Store(s)
	f.shown.Store(int64(now))
}

// revive brings a replica that has stopped back, where that can be: with an empty disk in place
// of one that can't be trusted, and with the same once there is room on it again.
func (f *Fleet) revive(now time.Duration) {
	err := f.member.Halted()
	if err == nil {
		f.halted = 0
		return
	}
	if f.halted == 0 {
		f.halted = now
	}
	copied := errors.Is(err, wal.ErrCopied)
	if f.writing || !copied && (!full(err) || now < f.halted+reviveEvery) {
		return
	}
	f.halted = now
	f.disk.Close()
	if copied {
		if err := f.setAside(); err != nil {
			slog.Error("a disk that can't be trusted can't be set aside", "dir", f.cfg.DataDir, "err", err)
			return
		}
	}
	stored, err := f.open()
	if err == nil {
		err = f.join(stored)
	}
	if err != nil {
		slog.Warn("the replica does not come back yet", "why", err.Error())
		return
	}
	f.duties.Update(nil)
	for id, c := range f.waiting {
		delete(f.waiting, id)
		c <- node.Outcome{ID: id}
	}
	f.carrier.Again()
}

// writer makes batches last, one at a time.
func (f *Fleet) writer() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case b := <-f.writes:
			m := f.judge.Load()
			began := time.Now()
			err := f.disk.Write(b)
			f.syncs.Observe(time.Since(began).Seconds())
			f.counts.written.Store(f.disk.BytesWritten)
			f.counts.synced.Store(f.disk.Syncs)
			f.post(func() {
				f.writing = false
				if err != nil {
					m.WriteFailed(leaseholder.Now(), err)
				} else {
					m.Persisted(leaseholder.Now(), b.ID)
				}
			})
		}
	}
}

// handler is the Fleet as it takes what comes from others.
type handler Fleet

func (h *handler) Greet(x node.Hello) {
	f := (*Fleet)(h)
	f.post(func() {
		f.member.ReceiveHello(leaseholder.Now(), x)
		if f.relayed != nil {
			f.relayed.greeted[x.Name]++
			f.relayed.router.Up(leaseholder.Now(), x.Name)
		}
	})
}

func (h *handler) Receive(from string, kind node.Kind, body []byte) {
	f := (*Fleet)(h)
	f.post(func() {
		if f.relayed != nil && (kind == relay.KindRecord || kind == relay.KindRoutes) {
			f.relayed.router.FromRelay(leaseholder.Now(), from, kind, body)
			return
		}
		f.receive(leaseholder.Now(), from, kind, body)
	})
}

// receive gives the member what another says.
func (f *Fleet) receive(now time.Duration, from string, kind node.Kind, body []byte) {
	if err := f.member.Receive(now, from, kind, body); err != nil {
		f.carrier.Counts.Garbled.Add(1)
		slog.Warn("a frame of the fleet can't be read", "gateway", from, "why", err.Error())
	}
}

func (h *handler) Lost(to string) {
	f := (*Fleet)(h)
	f.post(func() {
		f.member.Unreachable(leaseholder.Now(), to)
		if f.relayed != nil {
			f.relayed.router.Down(leaseholder.Now(), to)
		}
	})
}

func (h *handler) Snapshot(replica uint64, ok bool) {
	f := (*Fleet)(h)
	f.post(func() { f.member.SnapshotSent(leaseholder.Now(), replica, ok) })
}

// Errors of commands.
var (
	// ErrUnknown is of a command whose outcome can't be told: it may have had its effect.
	ErrUnknown = errors.New("what came of it is not known: the record could not be reached in time")
	// ErrBusy is of a command that was not taken, as too many are out.
	ErrBusy = errors.New("too many commands are out, nothing was done")
)

// Do has a command carried out in the record.
func (f *Fleet) Do(ctx context.Context, c lease.Command) (lease.Result, error) {
	done := make(chan node.Outcome, 1)
	f.post(func() {
		id := f.member.Propose(leaseholder.Now(), c)
		if id == 0 {
			done <- node.Outcome{Known: true, Result: lease.Result{Code: busy}}
			return
		}
		f.waiting[id] = done
	})
	select {
	case d := <-done:
		switch {
		case !d.Known:
			return lease.Result{}, ErrUnknown
		case d.Result.Code == busy:
			return lease.Result{}, ErrBusy
		}
		return d.Result, nil
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	return lease.Result{}, ErrUnknown
}

const busy lease.Code = "busy"

// Tell has the owner of a duty tell all other gateways something, or the one that is named; seq
// grows from one to the next.
func (f *Fleet) Tell(to string, h *leaseholder.Lease, seq uint64, body []byte) {
	f.post(func() { f.member.Publish(leaseholder.Now(), to, h.Name, h.Token, seq, body) })
}

// Want asks the owner of a duty, where another gateway is known to be it, for what it has, and
// tells it what the duty's work here has to say.
func (f *Fleet) Want(name string, body []byte) {
	f.post(func() { f.member.RequestResync(leaseholder.Now(), name, body) })
}

// Status is how a gateway stands in its fleet.
type Status struct {
	*node.Status
	Relay   *RelayStatus   `json:"relay,omitempty"`   // of a gateway, where there are relays
	Streams *StreamsStatus `json:"streams,omitempty"` // of a relay
}

// Status is how this gateway stands in the fleet, as of a moment ago. It is made when it is asked
// for, by the loop: not to be called from there.
func (f *Fleet) Status() *Status {
	if !f.stale.Load() && int64(leaseholder.Now()) < f.shown.Load()+int64(statusEvery) {
		return f.status.Load()
	}
	made := make(chan struct{})
	wait := time.NewTimer(statusMost)
	defer wait.Stop()
	do := func() {
		if now := leaseholder.Now(); f.stale.Load() || int64(now) >= f.shown.Load()+int64(statusEvery) {
			f.show(now)
		}
		close(made)
	}
	select {
	case f.events <- do:
		select {
		case <-made:
		case <-wait.C:
		case <-f.ctx.Done():
		}
	case <-wait.C: // what is known is better than nothing
	case <-f.ctx.Done():
	}
	return f.status.Load()
}

// fresh is Status as of now.
func (f *Fleet) fresh() *Status {
	f.stale.Store(true)
	return f.Status()
}

// handEvery is how often it is looked whether another leads.
const handEvery = 5 * time.Millisecond

// Leave ends the gateway's part in order: the lead of the record, where it is ours, and its duties
// are given to others.
func (f *Fleet) Leave(most time.Duration) {
	f.duties.Close()
	ctx, cancel := context.WithTimeout(f.ctx, most)
	defer cancel()
	f.post(func() { f.member.TransferLeadership(leaseholder.Now()) })
	for f.fresh().Role == "leader" && ctx.Err() == nil {
		time.Sleep(handEvery)
	}
	if f.fresh().Session != 0 {
		f.Do(ctx, lease.Command{Op: lease.OpCloseSession}) // if it is not heard, the session lapses
	}
	f.Close()
}

// Close ends the gateway's part at once.
func (f *Fleet) Close() {
	f.cancel()
	f.carrier.Close()
	f.all.Wait()
	f.duties.Close()
	f.disk.Close()
	f.dir.Close()
}
