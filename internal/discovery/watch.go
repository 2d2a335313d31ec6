// Package discovery provides the endpoint list of a pool: from a service that is watched, or from a file.
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

	// heartbeatInterval is how often a watch sends an empty line while nothing changes.
	heartbeatInterval = 2 * time.Second
	// maxSilence is how long a call may be silent before it is given up: one heartbeat is missing then, and half an interval
	// more is for a busy machine. Two things have to hold: a change that a silent watch misses is known 6 s after the
	// silence began, and what discovery has is known 6 s after it can be reached. The worst case is a call that hangs from
	// just before, then one new call, in a fleet after its turn.
	maxSilence = heartbeatInterval + heartbeatInterval/2
	// dialTimeout limits the time for a connection to discovery to be established.
	dialTimeout = time.Second
	// minBackoff is the time before a new call, doubled to maxBackoff. It is short, as the discovery service answers a call at
	// once and at no cost, and as drains that it learns of when it returns have to be known within their grace period,
	// half a second or more.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// callsAfterMove is how many calls are made without backoff after a change of the address.
	callsAfterMove = 2
)

// Watcher follows the list of a discovery service.
type Watcher struct {
	polled     bool          // a watch begins only when Poll is called
	polls      chan struct{} // receives after Poll
	moved      chan struct{} // receives after a change of the address
	client     http.Client
	MaxSilence time.Duration // after which a watch is given up; set before Run

	mu          sync.Mutex              // guards the fields below
	addr        string                  // host:port
	moves       int                     // changes of addr
	version     uint64                  // of the list at addr that was sent to the Sink; 0: none
	cancelWatch context.CancelCauseFunc // of the current watch
}

var (
	errSilent = errors.New("discovery is silent")
	errMoved  = errors.New("discovery has moved")
)

// NewWatcher returns a Watcher of the service at addr that starts from the version known. With polled set a watch begins only
// when Poll is called, and each that ends is reported as failed.
func NewWatcher(addr string, polled bool, known uint64) *Watcher {
	return &Watcher{
		addr: addr, polled: polled, version: known,
		polls: make(chan struct{}, 1), moved: make(chan struct{}, 1),
		MaxSilence: maxSilence,
		client: http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
		}},
	}
}

// Poll asks for changes from now on, where a watch does not begin by itself.
func (d *Watcher) Poll() {
	select {
	case d.polls <- struct{}{}:
	default: // it was called before
	}
}

// SetAddress has the list come from another address, at once. The current list stays in use until the new address has sent
// one; versions there count anew.
func (d *Watcher) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	d.version = 0
	d.moves++
	select {
	case d.moved <- struct{}{}:
	default: // Run has yet to see the change before
	}
	if d.cancelWatch != nil {
		d.cancelWatch(errMoved) // after the send above, as Run takes the item when the watch has ended
	}
}

// setVersion records a version, unless the address has changed since: it guards against a last line of the old address.
func (d *Watcher) setVersion(moves int, version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moves != moves {
		return false
	}
	d.version = version
	return true
}

// watchState is what Run knows of its calls.
type watchState struct {
	backoff        time.Duration // before the next call, unless it is immediate
	lossLogged     bool          // the loss of the watch was logged
	immediateCalls int           // calls to make without waiting for a poll or the backoff
}

// newWatchState returns the state after a call that was answered, or after a change of the address.
func newWatchState(immediateCalls int) watchState {
	return watchState{backoff: minBackoff, immediateCalls: immediateCalls}
}

// Run watches the list until ctx ends. A call that fails is repeated, soon at first; where the balancer polls, it is notified
// instead and decides when. After a change of the address a failed call is repeated once at once.
func (d *Watcher) Run(ctx context.Context, to Sink) {
	s := newWatchState(0)
	for ctx.Err() == nil {
		if !d.waitForPoll(ctx, &s) {
			return
		}
		received, err := d.watch(ctx, to)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errMoved) {
			discardItem(d.moved)
			s = newWatchState(callsAfterMove)
			continue
		}
		if received {
			s = newWatchState(0)
		}
		if !s.lossLogged {
			slog.Warn("endpoint watch failed, retrying", "err", err)
			s.lossLogged = true
		}
		if s.immediateCalls > 0 {
			continue
		}
		if d.polled {
			discardItem(d.polls) // this call was for what was polled meanwhile
			to.UpdateEndpoints(balancer.ListFailed, MemberList{})
			continue
		}
		d.waitBackoff(ctx, &s)
	}
}

// waitForPoll waits until a call is to be made. It returns false where ctx has ended.
func (d *Watcher) waitForPoll(ctx context.Context, s *watchState) bool {
	if s.immediateCalls > 0 {
		s.immediateCalls--
		return true
	}
	if !d.polled {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-d.polls:
	case <-d.moved:
		s.immediateCalls = callsAfterMove - 1 // beside the call that is made now
	}
	return true
}

// waitBackoff waits before a call is repeated.
func (d *Watcher) waitBackoff(ctx context.Context, s *watchState) {
	select {
	case <-ctx.Done():
	case <-d.moved:
		*s = newWatchState(callsAfterMove)
		return
	case <-time.After(s.backoff):
	}
	s.backoff = min(2*s.backoff, maxBackoff)
}

// discardItem receives an item, if there is one.
func discardItem(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// call is one HTTP request for the list, whose response stays open: a watch.
type call struct {
	watcher      *Watcher
	to           Sink
	addr         string
	moves        int         // of the watcher, when the call began
	version      uint64      // of the last list
	received     bool        // a list or a heartbeat
	silenceTimer *time.Timer // cancels the call after Watcher.MaxSilence
}

// watch makes one call until it ends. received reports whether it counts as answered: then the backoff begins anew.
func (d *Watcher) watch(ctx context.Context, to Sink) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	c := &call{watcher: d, to: to, addr: d.addr, moves: d.moves, version: d.version}
	d.cancelWatch = cancel
	d.mu.Unlock()
	c.silenceTimer = time.AfterFunc(d.MaxSilence, func() { cancel(errSilent) })
	defer c.silenceTimer.Stop()
	received, err = c.run(ctx)
	if cause := context.Cause(ctx); cause == errSilent || cause == errMoved {
		err = cause
	}
	return received, err
}

// run makes the call and reads its lists.
func (c *call) run(ctx context.Context) (received bool, err error) {
	url := "http://" + c.addr + PathMembers + "?stream=1&index=" + strconv.FormatUint(c.version, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	resp, err := c.watcher.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery answers %s", resp.Status)
	}
	stream := &stream{from: resp.Body, onHeartbeat: c.heartbeat}
	for decoder := json.NewDecoder(stream); ; {
		var list MemberList
		switch err := decoder.Decode(&list); {
		case err == io.EOF:
			return c.received, io.ErrUnexpectedEOF // a watch does not end by itself
		case isMalformed(err):
			// The list is lost, and comes again after the last version that was read whole: the full list is the most
			// expensive, and all gateways receive the same.
			return false, fmt.Errorf("discovery's list: %w", err)
		case err != nil:
			return c.received, err
		}
		c.restartSilenceTimer()
		stream.listDecoded()
		if received, err := c.apply(list); err != nil {
			return received, err
		}
	}
}

// restartSilenceTimer notes that a list or a heartbeat has arrived.
func (c *call) restartSilenceTimer() {
	c.silenceTimer.Reset(c.watcher.MaxSilence)
	c.received = true
}

// heartbeat handles an empty line.
func (c *call) heartbeat() {
	d := c.watcher
	answersPoll := d.polled && !c.received && c.version > 0
	if answersPoll && d.setVersion(c.moves, c.version) {
		// Nothing has changed since the version that the call asked for.
		c.to.UpdateEndpoints(balancer.ListChanges, MemberList{Version: c.version})
	}
	c.restartSilenceTimer()
}

// apply passes on a list. received is what watch reports where the call ends by it.
func (c *call) apply(list MemberList) (received bool, err error) {
	if !list.Full && list.Version < c.version {
		// Changes from before the known version: the service counts anew, or has another list. None of them may be used, and
		// only the full list helps.
		c.watcher.setVersion(c.moves, 0)
		return false, fmt.Errorf("discovery tells changes of version %d behind %d", list.Version, c.version)
	}
	c.version = list.Version
	kind := balancer.ListChanges
	if list.Full {
		kind = balancer.ListFull
	}
	if !c.watcher.setVersion(c.moves, list.Version) {
		return c.received, errMoved
	}
	c.to.UpdateEndpoints(kind, list)
	return c.received, nil
}
