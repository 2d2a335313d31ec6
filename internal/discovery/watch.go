// Package discovery provides the endpoint list of a pool, either by watching a discovery service or by reading a file.
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
	// PathMembers is the path of the endpoint list at the discovery service.
	PathMembers = "/catalog/members"

	// heartbeatInterval is the interval at which a watch receives an empty line while the list does not change.
	heartbeatInterval = 2 * time.Second
	// maxSilence is the maximum time without a byte before a call is canceled. It allows for one missing heartbeat, and
	// half an interval more on a busy machine. It must be short enough for two requirements: a change that a silent watch
	// misses must be known 6 s after the silence began, and the state of the discovery service must be known 6 s after it
	// becomes reachable. The worst case is a call that started just before and hangs, followed by one new call, which in a
	// fleet has to wait for its turn.
	maxSilence = heartbeatInterval + heartbeatInterval/2
	// dialTimeout limits the time to establish a connection to the discovery service.
	dialTimeout = time.Second
	// minBackoff is the initial time before a failed call is repeated; it is doubled up to maxBackoff. It can be short, as
	// the discovery service answers a call immediately and at no cost. It has to be short, as drains that the service
	// reports after an outage must be known within their grace period, which is at least half a second.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// callsAfterAddrChange is the number of calls that are made without backoff after a change of the address.
	callsAfterAddrChange = 2
)

// Watcher watches the endpoint list of a discovery service.
type Watcher struct {
	polled      bool          // a watch starts only after a call of Poll
	polls       chan struct{} // has an item after a call of Poll
	addrChanged chan struct{} // has an item after a change of addr
	client      http.Client
	MaxSilence  time.Duration // time without data after which a watch is canceled; must be set before Run
	OnHeartbeat func()        // called when a watch receives a heartbeat, unless it is nil; must be set before Run

	mu          sync.Mutex              // guards the fields below
	addr        string                  // host:port
	addrChanges int                     // number of changes of addr
	version     uint64                  // version of the last list from addr that was sent to the Sink; 0 if there is none
	cancelWatch context.CancelCauseFunc // cancels the current watch
}

var (
	errSilent      = errors.New("no heartbeat from discovery")
	errAddrChanged = errors.New("address of discovery has changed")
)

// NewWatcher returns a Watcher of the discovery service at addr. known is the version of the list that the caller already
// has, or 0. If polled is set, a watch starts only after a call of Poll, and every watch that ends is reported to the Sink
// as failed.
func NewWatcher(addr string, polled bool, known uint64) *Watcher {
	return &Watcher{
		addr: addr, polled: polled, version: known,
		polls: make(chan struct{}, 1), addrChanged: make(chan struct{}, 1),
		MaxSilence: maxSilence,
		client: http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
		}},
	}
}

// Poll starts a watch if the Watcher is polled. If a watch is running, the call has no further effect.
func (d *Watcher) Poll() {
	select {
	case d.polls <- struct{}{}:
	default: // an earlier call is still pending
	}
}

// SetAddress changes the address of the discovery service and ends the current watch. The current list stays in use until
// the service at the new address has sent one. List versions of the two services are unrelated.
func (d *Watcher) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	d.version = 0
	d.addrChanges++
	select {
	case d.addrChanged <- struct{}{}:
	default: // Run has not handled the previous change yet
	}
	if d.cancelWatch != nil {
		d.cancelWatch(errAddrChanged) // the send above comes first, as Run receives the item when the watch has ended
	}
}

// setVersion records the version of a received list. It returns false if the address has changed since the call began, so
// that a late list from the old address is dropped.
func (d *Watcher) setVersion(addrChanges int, version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addrChanges != addrChanges {
		return false
	}
	d.version = version
	return true
}

// watchState is the state of Run between calls.
type watchState struct {
	backoff        time.Duration // time before the next call, unless it is immediate
	lossLogged     bool          // the loss of the watch has been logged
	immediateCalls int           // number of calls to make without waiting for a poll or the backoff
}

// newWatchState returns the state after a call that has received data, or after a change of the address.
func newWatchState(immediateCalls int) watchState {
	return watchState{backoff: minBackoff, immediateCalls: immediateCalls}
}

// Run watches the list until ctx is done. A failed call is repeated with exponential backoff. If the Watcher is polled, the
// failure is reported to the Sink instead, and the balancer decides when to poll again. After a change of the address, a
// failed call is repeated once immediately.
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
		if errors.Is(err, errAddrChanged) {
			discardItem(d.addrChanged)
			s = newWatchState(callsAfterAddrChange)
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
			discardItem(d.polls) // this call also covers polls that were requested while it ran
			to.UpdateEndpoints(balancer.ListFailed, MemberList{})
			continue
		}
		d.waitBackoff(ctx, &s)
	}
}

// waitForPoll waits until the next call has to be made. It returns false if ctx is done.
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
	case <-d.addrChanged:
		s.immediateCalls = callsAfterAddrChange - 1 // the call that follows this wait is the first of them
	}
	return true
}

// waitBackoff waits for the backoff before a failed call is repeated. A change of the address ends the wait.
func (d *Watcher) waitBackoff(ctx context.Context, s *watchState) {
	select {
	case <-ctx.Done():
	case <-d.addrChanged:
		*s = newWatchState(callsAfterAddrChange)
		return
	case <-time.After(s.backoff):
	}
	s.backoff = min(2*s.backoff, maxBackoff)
}

// discardItem receives an item from a channel if there is one.
func discardItem(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// call is one HTTP request for the list. Its response is a watch, which stays open and receives updates.
type call struct {
	watcher      *Watcher
	to           Sink
	addr         string
	addrChanges  int         // Watcher.addrChanges when the call began
	version      uint64      // version of the last list
	received     bool        // a list or a heartbeat has been received
	silenceTimer *time.Timer // cancels the call after Watcher.MaxSilence without data
}

// watch makes one call and returns when it ends. received reports whether the call counts as successful, which resets the
// backoff.
func (d *Watcher) watch(ctx context.Context, to Sink) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.mu.Lock()
	c := &call{watcher: d, to: to, addr: d.addr, addrChanges: d.addrChanges, version: d.version}
	d.cancelWatch = cancel
	d.mu.Unlock()
	c.silenceTimer = time.AfterFunc(d.MaxSilence, func() { cancel(errSilent) })
	defer c.silenceTimer.Stop()
	received, err = c.run(ctx)
	if cause := context.Cause(ctx); cause == errSilent || cause == errAddrChanged {
		err = cause
	}
	return received, err
}

// run makes the call and passes the received lists to the Sink.
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
		return false, fmt.Errorf("discovery returned status %s", resp.Status)
	}
	stream := &stream{from: resp.Body, onHeartbeat: c.heartbeat}
	for decoder := json.NewDecoder(stream); ; {
		var list MemberList
		switch err := decoder.Decode(&list); {
		case err == io.EOF:
			return c.received, io.ErrUnexpectedEOF // the service is not expected to end a watch
		case isMalformed(err):
			// The next call requests the changes after the last valid version again. It does not request the full list,
			// which is the most expensive response, as all gateways receive the same malformed list.
			return false, fmt.Errorf("malformed list from discovery: %w", err)
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

// restartSilenceTimer records that a list or a heartbeat has arrived.
func (c *call) restartSilenceTimer() {
	c.silenceTimer.Reset(c.watcher.MaxSilence)
	c.received = true
}

// heartbeat handles an empty line. If it is the first data of a polled call, it also reports that the list is unchanged.
func (c *call) heartbeat() {
	d := c.watcher
	answersPoll := d.polled && !c.received && c.version > 0
	if answersPoll && d.setVersion(c.addrChanges, c.version) {
		// The list has not changed since the version in the request.
		c.to.UpdateEndpoints(balancer.ListChanges, MemberList{Version: c.version})
	}
	c.restartSilenceTimer()
	if d.OnHeartbeat != nil {
		d.OnHeartbeat()
	}
}

// apply passes a list to the Sink. If it returns an error, the call ends and watch returns received.
func (c *call) apply(list MemberList) (received bool, err error) {
	if !list.Full && list.Version < c.version {
		// These changes are older than the known version: the service has restarted its version count, or has another
		// list. They must not be applied; the next call requests the full list.
		c.watcher.setVersion(c.addrChanges, 0)
		return false, fmt.Errorf("discovery sent changes of version %d, older than the known version %d", list.Version, c.version)
	}
	c.version = list.Version
	kind := balancer.ListChanges
	if list.Full {
		kind = balancer.ListFull
	}
	if !c.watcher.setVersion(c.addrChanges, list.Version) {
		return c.received, errAddrChanged
	}
	c.to.UpdateEndpoints(kind, list)
	return c.received, nil
}
