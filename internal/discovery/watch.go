// Package discovery tells a gateway of the hosts that there are: from a service that is
// watched, or from a file.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunemoor/balancer"
)

const (
	// PathMembers is where the service has the list.
	PathMembers = "/catalog/members"

	// heartbeat is how often an empty line comes on a watch while nothing changes.
	heartbeat = 2 * time.Second
	// watchSilence is how long a call may bring nothing before it is given up: a heartbeat is missing
	// then, and half of one is for a busy machine. What a silent watch misses counts as told 6 s
	// after its silence began, which may be right behind a heartbeat, and what discovery has 6 s after
	// it can be reached, which may be right behind the begin of a call that hangs: a new call must
	// have brought it by then, in its turn where it is one of a whole fleet's.
	watchSilence = heartbeat + heartbeat/2
	watchDial    = time.Second
	// watchBackoff is the time before a new call, doubled to watchMost. An agent answers at once and
	// at no cost, and what it has counts as told also without a watch: drains that it gets as
	// discovery returns have to be heard within the grace for them, half a second and more.
	watchBackoff = 50 * time.Millisecond
	watchMost    = 250 * time.Millisecond
	maxList      = 16 << 20 // bytes of one list, white space aside
)

// Watcher follows the list of a discovery service.
type Watcher struct {
	ask     bool // a watch begins only when the module asks for it
	asked   chan struct{}
	moved   chan struct{} // the address has changed
	client  http.Client
	Silence time.Duration // after which a watch is taken for dead; set before Run

	mu      sync.Mutex
	addr    string
	moves   int                     // times that addr has changed
	version uint64                  // of the list at addr as told to the loop
	leave   context.CancelCauseFunc // ends the watch that is on
}

var (
	errSilent = errors.New("discovery is silent")
	errMoved  = errors.New("discovery has moved")
)

// NewWatcher returns a Watcher of the service at addr that starts from the version known.
// With ask set a watch begins only when Watch is called, and each that ends is told as
// failed.
func NewWatcher(addr string, ask bool, known uint64) *Watcher {
	return &Watcher{
		addr: addr, ask: ask, version: known,
		asked: make(chan struct{}, 1), moved: make(chan struct{}, 1),
		Silence: watchSilence,
		client: http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: watchDial}).DialContext, DisableKeepAlives: true,
		}},
	}
}

// Watch asks for changes from now on, where they do not come by themselves.
func (d *Watcher) Watch() {
	select {
	case d.asked <- struct{}{}:
	default: // asked already
	}
}

// Move makes another address the source of the list, at once. What was told stays
// in use until the new one has said otherwise; versions there count anew.
func (d *Watcher) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr, d.version = addr, 0
	d.moves++
	select {
	case d.moved <- struct{}{}:
	default: // Run has yet to see the one before
	}
	if d.leave != nil {
		d.leave(errMoved) // by then the item above is there
	}
}

// told takes note of a version, unless the watch that brought it has been left: it
// guards against a last line of the old address coming after a move.
func (d *Watcher) told(moves int, version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moves != moves {
		return false
	}
	d.version = version
	return true
}

// Run watches the list until ctx ends. A call that fails is made again, soon at first; where the
// module has to ask, it is told instead and decides when. A new address is called once more at once.
func (d *Watcher) Run(ctx context.Context, to Sink) {
	backoff, lost := watchBackoff, false
	ahead := 0 // calls that wait for nothing
	for ctx.Err() == nil {
		if ahead > 0 {
			ahead--
		} else if d.ask {
			select {
			case <-ctx.Done():
				return
			case <-d.asked:
			case <-d.moved:
				ahead = 1
			}
		}
		heard, err := d.watch(ctx, to)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errMoved) {
			take(d.moved)
			backoff, lost, ahead = watchBackoff, false, 2
			continue
		}
		if heard {
			backoff, lost, ahead = watchBackoff, false, 0
		}
		if !lost {
			slog.Warn("watch of the host list lost, watching anew", "err", err)
			lost = true
		}
		if ahead > 0 {
			continue
		}
		if d.ask {
			take(d.asked) // what was asked for meanwhile is what this call was for
			to.UpdateEndpoints(balancer.ListFailed, MemberList{})
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.moved:
			backoff, lost, ahead = watchBackoff, false, 2
			continue
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, watchMost)
	}
}

// take takes an item out, if there is one.
func take(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// watch holds one watch until it ends and says whether it brought anything.
func (d *Watcher) watch(ctx context.Context, to Sink) (heard bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	addr, version, moves := d.addr, d.version, d.moves
	d.leave = cancel
	d.mu.Unlock()
	silence := time.AfterFunc(d.Silence, func() { cancel(errSilent) })
	defer silence.Stop()
	defer func() {
		if cause := context.Cause(ctx); cause == errSilent || cause == errMoved {
			err = cause
		}
	}()
	url := "http://" + addr + PathMembers + "?stream=1&index=" + strconv.FormatUint(version, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answers %s", resp.Status)
	}
	alive := func() { silence.Reset(d.Silence); heard = true }
	stream := &stream{from: resp.Body, beat: func() {
		if d.ask && !heard && version > 0 && d.told(moves, version) {
			// The call that the module asked for has been answered: nothing has changed.
			to.UpdateEndpoints(balancer.ListChanges, MemberList{Version: version})
		}
		alive()
	}}
	for in := json.NewDecoder(stream); ; {
		var list MemberList
		if err := in.Decode(&list); err == io.EOF {
			return heard, io.ErrUnexpectedEOF // a watch has no end of its own
		} else if !malformed(err) {
			return heard, err
		} else if err != nil {
			// What it said is lost, and comes again behind the last version that was read
			// whole: the whole list is the dearest there is, and no gateway is alone in this.
			return false, fmt.Errorf("discovery's list: %w", err)
		}
		alive()
		stream.size = 0
		if !list.Full && list.Version < version {
			// Changes from before what is known: the service counts anew, or tells of
			// another list. Nothing of it may be used, and only the whole list tells.
			d.told(moves, 0)
			return false, fmt.Errorf("discovery tells changes of version %d behind %d", list.Version, version)
		}
		version = list.Version
		kind := balancer.ListChanges
		if list.Full {
			kind = balancer.ListFull
		}
		if !d.told(moves, list.Version) {
			return heard, errMoved
		}
		to.UpdateEndpoints(kind, list)
	}
}

// malformed says whether what came is no list, or there is no error; else the connection has failed.
func malformed(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return err == nil || errors.As(err, &syntax) || errors.As(err, &kind)
}

// stream is what comes on a watch: lists in JSON, indented or not, and empty lines between them. A
// list whose bytes trickle in is no sign of life before it is whole.
type stream struct {
	from io.Reader
	beat func() // called at each empty line
	line bool   // the line holds something
	size int    // bytes since the last list, white space aside
}

var errLongList = fmt.Errorf("discovery's list is longer than %d bytes", maxList)

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.from.Read(b)
	for _, c := range b[:n] {
		switch {
		case c == '\n' && !s.line:
			s.beat()
		case c == '\n':
			s.line = false
		case c != ' ' && c != '\t' && c != '\r':
			s.line = true
			s.size++
		}
	}
	if s.size > maxList {
		return 0, errLongList
	}
	return n, err
}
