package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lynxspool"
)

// Shares of the descriptors, in hundredths. Clients hold a third of all at most for
// their requests; each request out holds one to a host, and the more of those stay
// idle beside, the fewer handshakes. What is left is for the listener, two watches of
// discovery and the runtime: 25 at the least limit in service, 256.
const (
	clientSockets = 48
	clientSpare   = 2 // beyond those, before a new connection is closed at once
	hostSockets   = 42
	// From this share of the clients' part on there is a crowd: those of no use for long
	// are closed, and the others end with their answers, as in a crowd each is used once
	// and may not be closed for idleLeast if it stays open.
	crowdedShare = 65
)

const (
	pathHealth = "/_health"

	// answerMargin is how long before the client stops waiting the answer is due. From
	// a host's answer to the client 0.4 ms pass in 99 of 100 cases, as measured; a
	// shared core may hold us up a few more.
	answerMargin = 5 * time.Millisecond

	// Clients still come for up to 0.4 s after SIGTERM, and what waits in the
	// listener's backlog counts as taken: lingerTime is that and room to accept it.
	lingerTime = 600 * time.Millisecond
	// At this long after SIGTERM and the longest deadline (exitDeadline at most), the
	// gateway is killed; stopMargin is left for the last answers to get out.
	exitTime     = 700 * time.Millisecond
	exitDeadline = 3 * time.Second
	stopMargin   = 100 * time.Millisecond
	// Clients use the connections that they have for as long as these stay open, and may
	// have no other gateway to go to. So they are asked to leave only leaveTime before
	// the exit: most connections in use carry a request within it. At closeTime before the
	// exit those without one are closed; most requests out then are still answered.
	leaveTime = 300 * time.Millisecond
	closeTime = 100 * time.Millisecond

	// requestTimeout is for a client to get a request through, head and body. A client
	// that has not is owed an error or a close within 3 s of connecting.
	requestTimeout = 2500 * time.Millisecond
	writeTimeout   = 10 * time.Second // for a client to take its answer
	// What a client goes on sending behind an error is read for drainTime, drainBytes at
	// most: enough for whoever was a little over the limit to see why.
	drainTime   = 500 * time.Millisecond
	drainBytes  = 4 * maxBody
	idleTimeout = 15 * time.Second // for a connection with no request: some are never used again
	// idleLeast is how long a connection with no request is left open even when there
	// is need of room: a close sooner may cross a request that the client has begun.
	idleLeast = 2 * time.Second
	// silentCrowded is how long a connection may bring nothing before it is closed in a
	// crowd: clients open one when they have a request.
	silentCrowded = time.Second

	// silentLeast is how long a connection is given to bring its first request while
	// others can be closed: in a crowd many have just come and are yet to be read.
	silentLeast = 100 * time.Millisecond

	// maxRequestHead holds any head in the protocol's form several times over; net/http
	// adds 4 KiB. Clients by the hundred may send that much at once.
	maxRequestHead = 8 << 10
	maxID          = 64 // characters of a request's id
	// idMemory is how long an id is remembered after its request has ended, at least
	// (at most twice that): what repeats it may have been on its way meanwhile.
	idMemory = 2 * time.Second

	// bodyShare is the part of the memory limit that the bodies of all requests may
	// fill. A request out holds its body and a copy as sent; an answer as much again.
	bodyShare = 1.0 / 8
	// fullRetryAfter is when a request turned away for want of memory may come back:
	// most are answered within it.
	fullRetryAfter = 100 * time.Millisecond
)

// exchange is one request of a client and its one final answer. The handler creates
// it; attempts and out belong to the loop.
type exchange struct {
	method, uri, host string
	url               *url.URL
	header            http.Header
	body              []byte

	class, tenant int
	repeat        bool
	deadline      time.Time // when its answer is due

	over   atomic.Bool // it is answered or nobody waits: set once, by finish
	answer chan answer // holds the answer that finish was won with

	id       lynxspool.RequestID
	attempts []context.CancelFunc
	out      int
}

// answer is the final answer to a request.
type answer struct {
	kind       answerKind
	held       int64       // of its body, to be given back to the Pool
	header     http.Header // served
	body       []byte      // served
	retryAfter time.Duration
}

type answerKind int

const (
	failed answerKind = iota
	served
	refused
)

// close ends an exchange and says whether it was still open: whoever closes it
// gives the answer, so that there is one.
func (x *exchange) close() bool { return x.over.CompareAndSwap(false, true) }

// finish gives the answer if there is none yet, and says whether it did.
func (x *exchange) finish(a answer) bool {
	won := x.close()
	if won {
		x.answer <- a
	}
	return won
}

// Server is the side of the clients.
type Server struct {
	cfg     *Config
	loop    *Loop
	http    http.Server
	longest time.Duration // deadline of any class
	ids     ids
	clients clients

	bodies    atomic.Int64 // bytes of bodies held now
	bodiesMax int64

	listener net.Listener // set by Serve
	stopping atomic.Bool
	exitAt   time.Time   // set before stopping: all answers are due by then
	leaving  atomic.Bool // connections end with their answers
}

// NewServer returns a Server that hands requests to loop.
func NewServer(cfg *Config, loop *Loop) *Server {
	s := &Server{cfg: cfg, loop: loop}
	s.clients.budget = cfg.Sockets * clientSockets / 100
	s.clients.most = cfg.Sockets * (clientSockets + clientSpare) / 100
	s.bodiesMax = int64(bodyShare * float64(cfg.memory()))
	for _, c := range cfg.Settings.Classes {
		s.longest = max(s.longest, c.Deadline)
	}
	s.http = http.Server{
		Handler:        http.HandlerFunc(s.serve), // no ServeMux: it would clean paths and redirect
		ConnState:      s.clients.track,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, clientKey{}, c) },
		ReadTimeout:    requestTimeout,
		WriteTimeout:   s.longest + writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxRequestHead,
		// What it would say there are lines about single bad clients.
		ErrorLog: log.New(io.Discard, "", 0),

		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Listen makes ln what Serve takes requests from.
func (s *Server) Listen(ln net.Listener) { s.listener = clientListener{ln} }

// Serve takes requests until Stop has closed the listener.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop ends service in order: it goes on taking what still comes, closes the listener
// when nobody new will come, serves whoever has a connection until shortly before the
// exit, then asks clients to leave, closes idle connections and waits for what was taken.
func (s *Server) Stop() {
	now := time.Now()
	s.exitAt = now.Add(exitTime + min(s.longest, exitDeadline) - stopMargin)
	s.stopping.Store(true)
	time.Sleep(lingerTime)
	s.listener.Close() // it can fail only by being closed
	s.wait(s.clients.inUse, s.exitAt.Add(-leaveTime))
	s.leaving.Store(true)
	s.wait(s.clients.inUse, s.exitAt.Add(-closeTime))
	ctx, cancel := context.WithDeadline(context.Background(), s.exitAt)
	defer cancel()
	go s.http.Shutdown(ctx) // it looks for the last connection too seldom to be waited for
	s.wait(s.clients.busy, s.exitAt)
}

// wait returns when what it is given no longer holds, or at the time until.
func (s *Server) wait(holds func() bool, until time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for holds() && time.Now().Before(until) {
		<-tick.C
	}
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	c := r.Context().Value(clientKey{}).(*clientConn)
	if c.use.Load() == connClosed {
		return // its connection was closed to make room, so nothing may go out for it
	}
	if s.leaving.Load() || !s.stopping.Load() && s.clients.crowded() {
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet && r.URL.Path == pathHealth {
		s.health(w)
		return
	}
	x, id, err := s.read(c, r, came)
	if err != nil {
		s.turnAway(w, r, c, err)
		return
	}
	defer s.ids.end(id)
	defer s.bodies.Add(-int64(len(x.body)))
	s.loop.Submit(x)
	var a answer
	late := time.NewTimer(time.Until(x.deadline))
	defer late.Stop()
	select {
	case a = <-x.answer:
	case <-r.Context().Done():
		if x.close() {
			s.loop.Abandon(x)
		} else {
			s.loop.pool.release(<-x.answer)
		}
		return
	case <-late.C:
		// The module should have answered; the client is not kept waiting for it.
		if x.close() {
			s.loop.Abandon(x)
			a = answer{kind: failed}
		} else {
			a = <-x.answer
		}
	}
	write(w, a)
	s.loop.pool.release(a)
}

// turnAway answers a request that goes to no host. The connection ends with the
// answer: what comes behind a bad request is not to be trusted, and a body that is
// not read would be taken for the next one.
func (s *Server) turnAway(w http.ResponseWriter, r *http.Request, c *clientConn, err error) {
	status := http.StatusBadRequest
	var bad *badRequest
	if errors.As(err, &bad) {
		status = bad.status
	}
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(fullRetryAfter.Seconds(), 'f', -1, 64))
	}
	http.Error(w, err.Error(), status)
	s.clients.spend(c)
	if r.ContentLength == 0 {
		return
	}
	// A close with bytes unread resets the connection, and the reset may overtake the
	// answer. So the answer goes out first and then the client is heard a little more.
	// If a part of this fails the client has gone.
	http.NewResponseController(w).Flush()
	c.SetReadDeadline(time.Now().Add(drainTime))
	io.CopyN(io.Discard, r.Body, drainBytes)
}

// health tells the front whether requests can be served.
func (s *Server) health(w http.ResponseWriter) {
	switch {
	case s.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !s.loop.Ready():
		http.Error(w, "no hosts known", http.StatusServiceUnavailable)
	default:
		io.WriteString(w, "ok\n")
	}
}

// badRequest says why a request goes to no host, and with what status.
type badRequest struct {
	status int
	text   string
}

func (b *badRequest) Error() string { return b.text }

func bad(status int, format string, args ...any) error {
	return &badRequest{status, fmt.Sprintf(format, args...)}
}

// read reads a request whole, checks that it has the protocol's form and looks up what
// the module needs. With no error its id is open and its body counted. It guards the
// hosts: a request that they can't read ends its connection there.
func (s *Server) read(c *clientConn, r *http.Request, came time.Time) (x *exchange, id string, err error) {
	x = &exchange{
		method: r.Method, uri: r.RequestURI, host: r.Host, url: r.URL, header: r.Header,
		answer: make(chan answer, 1),
	}
	// A length beside a Transfer-Encoding may hide another request in the body, and
	// net/http drops the one or, in HTTP/1.0, the other unsaid. Clients of this
	// protocol send a length, in HTTP/1.1.
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		return nil, "", bad(http.StatusBadRequest, "the body needs a Content-Length, in HTTP/1.1")
	}
	if r.ContentLength > maxBody {
		return nil, "", bad(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", maxBody)
	}
	var class, tenant, timeout, retried, key string
	for _, h := range []struct {
		name string
		to   *string
	}{
		{headID, &id}, {headClass, &class}, {headTimeout, &timeout}, {headTenant, &tenant},
		{headRetried, &retried}, {headKey, &key},
	} {
		switch v := r.Header[h.name]; {
		case len(v) > 1:
			return nil, "", bad(http.StatusBadRequest, "%s: is there more than once", h.name)
		case len(v) == 1:
			*h.to = v[0]
		}
	}
	if !wellFormed(id) {
		return nil, "", bad(http.StatusBadRequest, "%s: missing or malformed", headID)
	}
	var ok bool
	if x.class, ok = s.cfg.Classes[class]; !ok {
		return nil, "", bad(http.StatusBadRequest, "%s: unknown class", headClass)
	}
	rules := &s.cfg.Settings.Classes[x.class]
	if len(s.cfg.Tenants) > 0 {
		if x.tenant, ok = s.cfg.Tenants[tenant]; !ok {
			return nil, "", bad(http.StatusBadRequest, "%s: unknown tenant", headTenant)
		}
	}
	if safe := rules.Effect == lynxspool.Safe; safe != (r.Method == http.MethodGet) ||
		!safe && r.Method != http.MethodPost || safe && r.ContentLength > 0 {
		return nil, "", bad(http.StatusBadRequest, "a request of this class has another method")
	}
	if rules.Effect == lynxspool.Keyed && key == "" {
		// Without it no host would drop the repeat that the module may send.
		return nil, "", bad(http.StatusBadRequest, "%s: missing, the class needs one", headKey)
	}
	x.repeat = retried == "1"
	delete(endToEnd(x.header), headTimeout) // hosts are told their own
	seconds, err := strconv.ParseFloat(timeout, 64)
	if err != nil || strings.Trim(timeout, "0123456789.") != "" {
		return nil, "", bad(http.StatusBadRequest, "%s: no number of seconds", headTimeout)
	}
	// No client waits longer than the deadline of the class.
	left := time.Duration(min(seconds, rules.Deadline.Seconds()) * float64(time.Second))
	if !s.ids.start(id, came) {
		// Another client's: two requests under one id can't be told apart by hosts.
		return nil, "", bad(http.StatusConflict, "%s: in use", headID)
	}
	if x.body, err = s.readBody(r); err != nil {
		s.ids.end(id)
		return nil, "", err
	}
	// A request's time counts from its last byte, which may come long after its first.
	if r.ContentLength > 0 {
		came = time.Now()
	}
	x.deadline = came.Add(left - answerMargin)
	if s.stopping.Load() && x.deadline.After(s.exitAt) {
		x.deadline = s.exitAt
	}
	// The time for reading is over; left standing it would end the wait for the answer.
	c.SetReadDeadline(time.Time{})
	return x, id, nil
}

// readBody reads the body, and counts it: it guards the memory limit.
func (s *Server) readBody(r *http.Request) ([]byte, error) {
	n := r.ContentLength
	if n == 0 {
		return nil, nil
	}
	if s.bodies.Add(n) > s.bodiesMax {
		s.bodies.Add(-n)
		return nil, bad(http.StatusServiceUnavailable, "too much is being held, trying again is harmless")
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		s.bodies.Add(-n)
		return nil, bad(http.StatusBadRequest, "the body did not arrive")
	}
	return body, nil
}

// wellFormed says whether an id can be one: nothing in it may mean anything to whoever
// reads it in a head or a log.
func wellFormed(id string) bool {
	if id == "" || len(id) > maxID {
		return false
	}
	for i := range len(id) {
		switch c := id[i]; {
		case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}

// ids holds the ids of requests that are open, and for idMemory of those that were. It
// is the Server's; there are no more open than client connections, and no more
// remembered than requests come within twice idMemory.
type ids struct {
	mu           sync.Mutex
	open         map[uint64]struct{}
	ended, older map[uint64]struct{}
	turned       time.Time // when ended was begun
}

// idSeed makes the hashes of ids unknown to clients.
var idSeed = maphash.MakeSeed()

// start opens an id unless it is open or was a moment ago.
func (s *ids) start(id string, now time.Time) bool {
	h := maphash.String(idSeed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil || now.Sub(s.turned) > idMemory {
		if s.open == nil || now.Sub(s.turned) > 2*idMemory {
			s.ended = nil
		}
		s.older, s.ended, s.turned = s.ended, map[uint64]struct{}{}, now
		if s.open == nil {
			s.open = map[uint64]struct{}{}
		}
	}
	for _, m := range []map[uint64]struct{}{s.open, s.ended, s.older} {
		if _, there := m[h]; there {
			return false
		}
	}
	s.open[h] = struct{}{}
	return true
}

func (s *ids) end(id string) {
	h := maphash.String(idSeed, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, h)
	s.ended[h] = struct{}{}
}

// write gives a client its answer.
func write(w http.ResponseWriter, a answer) {
	switch a.kind {
	case served:
		h := w.Header()
		maps.Copy(h, endToEnd(a.header))
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
		w.Write(a.body) // if it fails the client has gone
	case refused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
		}
		http.Error(w, "turned away, trying again is harmless", http.StatusServiceUnavailable)
	default:
		http.Error(w, "failed, it may have been done", http.StatusBadGateway)
	}
}
