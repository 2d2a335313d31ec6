package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lynxspool"
)

// Shares of the descriptors, in hundredths; the rest is for the listener, discovery
// and what the runtime holds.
const (
	clientSockets = 55
	hostSockets   = 35
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

	headerTimeout = 10 * time.Second // for a client to get a request's head through
	writeTimeout  = 10 * time.Second // for a client to take its answer
	idleTimeout   = 3 * time.Minute  // for a client's connection with no request
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

// finish gives the answer if there is none yet.
func (x *exchange) finish(a answer) {
	if x.close() {
		x.answer <- a
	}
}

// Server is the side of the clients.
type Server struct {
	cfg     *Config
	loop    *Loop
	http    http.Server
	longest time.Duration // deadline of any class
	budget  int           // client connections beyond which idle ones are closed

	stopping atomic.Bool
	exitAt   time.Time // set before stopping: all answers are due by then

	mu    sync.Mutex
	conns map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// NewServer returns a Server that hands requests to loop.
func NewServer(cfg *Config, loop *Loop) *Server {
	s := &Server{
		cfg: cfg, loop: loop, budget: cfg.Sockets * clientSockets / 100,
		conns: map[net.Conn]connState{},
	}
	for _, c := range cfg.Settings.Classes {
		s.longest = max(s.longest, c.Deadline)
	}
	s.http = http.Server{
		Handler:           http.HandlerFunc(s.serve), // no ServeMux: it would clean paths and redirect
		ConnState:         s.track,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      s.longest + writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHead, // a connection's share of the memory limit

		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Serve takes requests from ln until Stop has closed it.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop ends service in order: it goes on taking what still comes, asking clients to
// leave, then closes the listener and idle connections and waits for what was taken.
func (s *Server) Stop() {
	now := time.Now()
	s.exitAt = now.Add(exitTime + min(s.longest, exitDeadline) - stopMargin)
	s.stopping.Store(true)
	time.Sleep(lingerTime)
	ctx, cancel := context.WithDeadline(context.Background(), s.exitAt)
	defer cancel()
	go s.http.Shutdown(ctx) // it looks for the last connection too seldom to be waited for
	for tick := time.NewTicker(10 * time.Millisecond); s.busy() && time.Now().Before(s.exitAt); <-tick.C {
	}
}

// busy says whether a connection holds a request, or may yet bring its first.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && time.Since(c.since) < lingerTime {
			return true
		}
	}
	return false
}

// crowded says whether there are more connections than the budget even with no idle
// one left; they are then closed behind their answers.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > s.budget
}

// track follows the clients' connections. Beyond the budget it closes the one idle
// longest: it guards against running out of descriptors with requests in the backlog.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state, time.Now()}
	if len(s.conns) <= s.budget {
		return
	}
	var idlest net.Conn
	for c, cs := range s.conns {
		if cs.state == http.StateIdle && (idlest == nil || cs.since.Before(s.conns[idlest].since)) {
			idlest = c
		}
	}
	if idlest != nil {
		delete(s.conns, idlest)
		idlest.Close()
	}
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	came := time.Now()
	if s.stopping.Load() || s.crowded() {
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet && r.URL.Path == pathHealth {
		s.health(w)
		return
	}
	x, status, err := s.read(w, r, came)
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	s.loop.Submit(x)
	var a answer
	late := time.NewTimer(time.Until(x.deadline))
	defer late.Stop()
	select {
	case a = <-x.answer:
	case <-r.Context().Done():
		if x.close() {
			s.loop.Abandon(x)
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

// read reads a request whole and looks up what the module needs. An error comes
// with the status to answer.
func (s *Server) read(w http.ResponseWriter, r *http.Request, came time.Time) (*exchange, int, error) {
	x := &exchange{
		method: r.Method, uri: r.RequestURI, host: r.Host, url: r.URL, header: r.Header,
		repeat: r.Header.Get("X-Retried") == "1", answer: make(chan answer, 1),
	}
	bad := func(format string, args ...any) (*exchange, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	var ok bool
	if x.class, ok = s.cfg.Classes[r.Header.Get("X-Priority-Class")]; !ok {
		return bad("X-Priority-Class: unknown class %q", r.Header.Get("X-Priority-Class"))
	}
	class := &s.cfg.Settings.Classes[x.class]
	if len(s.cfg.Tenants) > 0 {
		if x.tenant, ok = s.cfg.Tenants[r.Header.Get("X-Tenant-Id")]; !ok {
			return bad("X-Tenant-Id: unknown tenant %q", r.Header.Get("X-Tenant-Id"))
		}
	}
	if class.Effect == lynxspool.Keyed && r.Header.Get("Idempotency-Key") == "" {
		// Without it no host would drop the repeat that the module may send.
		return bad("Idempotency-Key: missing, the class needs one")
	}
	left := class.Deadline
	if v := r.Header.Get(headTimeout); v != "" {
		seconds, err := strconv.ParseFloat(v, 64)
		if err != nil || !(seconds >= 0) {
			return bad("%s: %q is no number of seconds", headTimeout, v)
		}
		// No client waits longer than the deadline of the class.
		left = time.Duration(min(seconds, left.Seconds()) * float64(time.Second))
	}
	x.deadline = came.Add(left - answerMargin)
	if s.stopping.Load() && x.deadline.After(s.exitAt) {
		x.deadline = s.exitAt
	}
	if r.ContentLength != 0 {
		// One that is not here when the client stops waiting is of no use.
		rc := http.NewResponseController(w)
		rc.SetReadDeadline(came.Add(max(left, time.Second)))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is longer than %d bytes", maxBody)
		} else if err != nil {
			return bad("the body did not arrive")
		}
		rc.SetReadDeadline(time.Time{})
		x.body = body
	}
	return x, 0, nil
}

// write gives a client its answer.
func write(w http.ResponseWriter, a answer) {
	switch a.kind {
	case served:
		h := w.Header()
		for name, values := range endToEnd(a.header) {
			h[name] = values
		}
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
