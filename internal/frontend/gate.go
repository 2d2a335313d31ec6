// Package frontend has what the fronts of all protocols share: the gate through which requests
// come in, checked, counted and with their route. It decides nothing about them.
package frontend

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
	"dunemoor/internal/drain"
	"dunemoor/internal/engine"
	"dunemoor/internal/route"
)

// Headers of requests, as net/http spells them.
const (
	headID      = "X-Request-Id"
	headClass   = "X-Priority-Class"
	headTenant  = "X-Tenant-Id"
	headTimeout = "X-Timeout"
	headRetried = "X-Retried"
	headKey     = "Idempotency-Key"
)

const (
	// MaxBodyBytes is the longest body of a request in our protocol, MaxHeld what is held of it.
	MaxBodyBytes     = 32 << 20
	MaxBufferedBytes = 64 << 10
	// answerMargin is how long before the client stops waiting the answer is due. From
	// a host's answer to the client 0.4 ms pass in 99 of 100 cases, as measured; a
	// shared core may hold us up a few more.
	answerMargin = 5 * time.Millisecond
	// FullRetryAfter is when a request turned away for want of memory may come back:
	// most are answered within it.
	FullRetryAfter = 100 * time.Millisecond
	maxID          = 64 // characters of a request's id
)

// Message is the head of a client's request, as its protocol gave it.
type Message struct {
	Method string
	Target string // as it came
	Host   string
	Named  string // what the Host header names, where the target names a host too
	Header http.Header
	Length int64 // of the body, -1 where that is not known
	Peer   ClientAddress
	Odd    bool // in a form that our own protocol does not have: HTTP/1.0
}

// BadRequest says why a request goes to no host, and with what status.
type BadRequest struct {
	Status int
	text   string
}

func (b *BadRequest) Error() string { return b.text }

// Bad makes a BadRequest.
func Bad(status int, format string, args ...any) error {
	return &BadRequest{status, fmt.Sprintf(format, args...)}
}

// Status is the status that goes with an error.
func Status(err error) int {
	var bad *BadRequest
	var turned *Turned
	switch {
	case errors.As(err, &bad):
		return bad.Status
	case errors.As(err, &turned):
		return turned.Status()
	}
	return http.StatusBadRequest
}

// Admission is what all fronts of a gateway bring their requests through. It owns the ids and
// the memory for bodies.
type Admission struct {
	Engine *engine.Engine

	Bodies *body.Budget // memory for what requests and answers carry
	// MaxHeaders is how many headers a request of a plain route may have; 0: any.
	MaxHeaders int

	// Limits are set before the first request; nil: there are none.
	Limits *Limits

	waits    atomic.Bool                 // for the list of hosts, before it first serves
	drain    atomic.Pointer[drain.Drain] // nil: none is on
	begun    chan struct{}               // holds an item when a drain has begun
	ids      ids
	stopping atomic.Bool
}

// NewAdmission returns a Gate.
func NewAdmission(e *engine.Engine, bodies *body.Budget) *Admission {
	return &Admission{Engine: e, Bodies: bodies, begun: make(chan struct{}, 1)}
}

// SetNotReady has health say no until Go.
func (g *Admission) SetNotReady() { g.waits.Store(true) }

// SetReady ends what Wait began.
func (g *Admission) SetReady() { g.waits.Store(false) }

// StartDrain begins a drain. It may be called at any time, and again.
func (g *Admission) StartDrain() {
	d := drain.Drain{}.Quiesce(time.Duration(time.Now().UnixNano()), drainTimes)
	if !g.drain.CompareAndSwap(nil, &d) {
		return // one that is on goes on as it was
	}
	select {
	case g.begun <- struct{}{}:
	default: // nobody has seen the one before
	}
}

// DrainBegun gives an item when a drain has begun.
func (g *Admission) DrainBegun() <-chan struct{} { return g.begun }

// CancelDrain ends a drain, if one is on.
func (g *Admission) CancelDrain() { g.drain.Store(nil) }

// Draining is how far a drain has gone, and how long that holds; 0: until it is called off.
func (g *Admission) Draining() (drain.State, time.Duration) {
	d := g.drain.Load()
	if d == nil {
		return drain.Serving, 0
	}
	now := time.Duration(time.Now().UnixNano())
	at, never := d.Next(now)
	if never {
		return d.State(now), 0
	}
	return d.State(now), max(at-now, 1)
}

// drainTimes: clients are still sent here for 0.2 s after health has first said no, and it is
// asked every 0.1 s; 4 s after the call no connection may be left but with a request from the
// first 2 s. There may be no other gateway, so those that clients have stay of use until
// most of these 2 s are over; what comes within the rest ends its connection with its answer.
var drainTimes = drain.Times{Leave: 1500 * time.Millisecond, Close: 1900 * time.Millisecond}

// Stop has all answers due by a time, also those of requests that came before.
func (g *Admission) Stop(by time.Time) {
	g.stopping.Store(true)
	g.Engine.Stop(by)
}

// Entry is a request on its way in, and then at the engine.
type Entry struct {
	engine.Request
	gate *Admission
	plan *engine.Snapshot
	id   string // "": it is not remembered

	client  uint64 // key of the client
	counted bool   // the client's table counts it
	tenant  int    // place of the tenant that counts it, from 1

	held int64
	page []byte
	left time.Duration
}

// Begin checks the head of a request, finds its route and looks up what the module needs. It
// guards the hosts: a request that they can't read ends its connection there. With no error
// the caller calls End once the request has its answer.
func (g *Admission) Begin(m *Message, came time.Time) (*Entry, error) {
	plan := g.Engine.Snapshot()
	if plan == nil {
		return nil, Bad(http.StatusServiceUnavailable, "starting")
	}
	e := &Entry{gate: g, plan: plan}
	if err := e.begin(m, came); err != nil {
		e.leave()
		plan.Release()
		return nil, err
	}
	return e, nil
}

func (e *Entry) begin(m *Message, came time.Time) error {
	e.Method, e.Target, e.Host, e.Header = m.Method, origin(m.Target), m.Host, m.Header
	if e.plan.Table == nil {
		e.Route = e.plan.Route(nil)
	} else {
		q := route.Request{Method: m.Method, Header: e.header}
		var err error
		host := m.Host
		if m.Target != "" && m.Target[0] != '/' {
			host = m.Named
		}
		if q.Host, q.Path, err = route.ParseTarget(m.Target, host); err != nil {
			return Bad(http.StatusBadRequest, "%v", err)
		}
		if e.Route = e.plan.Route(&q); e.Route == nil {
			return Bad(http.StatusNotFound, "no route takes it")
		}
		if by := e.Route.SplitBy(); by != "" {
			e.Key, _ = e.header(by)
		}
	}
	most := int64(MaxBufferedBytes)
	if s := e.Route.Streams; s != nil {
		most = s.MaxBodyBytes
	} else if m.Length < 0 {
		return Bad(http.StatusBadRequest, "the body needs a Content-Length")
	}
	if most > 0 && m.Length > most {
		return Bad(http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", most)
	}
	if p := e.Route.Plain; p != nil {
		if n := e.gate.MaxHeaders; n > 0 && count(m.Header) > n {
			return Bad(http.StatusRequestHeaderFieldsTooLarge, "more than %d headers", n)
		}
		return e.plain(m)
	}
	if m.Odd {
		return Bad(http.StatusBadRequest, "requests come in HTTP/1.1")
	}
	return e.protocol(m, came)
}

func count(h http.Header) (n int) {
	for _, v := range h {
		n += len(v)
	}
	return n
}

// header is a header's value, as the routes see it.
func (e *Entry) header(name string) (string, bool) {
	v, ok := e.Header[http.CanonicalHeaderKey(name)]
	if len(v) == 1 {
		return v[0], true
	}
	return strings.Join(v, ", "), ok
}

// origin is a target in origin-form: of one that names a host, what is behind that.
func origin(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// protocol reads a request in the protocol's form. With no error its id is open.
func (e *Entry) protocol(m *Message, came time.Time) error {
	r := e.Route
	var id, class, tenant, timeout, retried, key string
	for _, h := range [...]struct {
		name string
		to   *string
	}{
		{headID, &id}, {headClass, &class}, {headTimeout, &timeout}, {headTenant, &tenant},
		{headRetried, &retried}, {headKey, &key},
	} {
		switch v := m.Header[h.name]; {
		case len(v) > 1:
			return Bad(http.StatusBadRequest, "%s: is there more than once", h.name)
		case len(v) == 1:
			*h.to = v[0]
		}
	}
	if !wellFormed(id) {
		return Bad(http.StatusBadRequest, "%s: missing or malformed", headID)
	}
	var ok bool
	if e.Class, ok = r.ClassNames[class]; !ok {
		return Bad(http.StatusBadRequest, "%s: unknown class", headClass)
	}
	rules := &r.Classes[e.Class]
	if len(r.Tenants) > 0 {
		if e.Tenant, ok = r.Tenants[tenant]; !ok {
			return Bad(http.StatusBadRequest, "%s: unknown tenant", headTenant)
		}
	}
	if safe := rules.Idempotency == balancer.Idempotent; safe != (m.Method == http.MethodGet) ||
		!safe && m.Method != http.MethodPost || safe && m.Length != 0 {
		return Bad(http.StatusBadRequest, "a request of this class has another method")
	}
	if rules.Idempotency == balancer.IdempotentWithKey && key == "" {
		// Without it no host would drop the repeat that the module may send.
		return Bad(http.StatusBadRequest, "%s: missing, the class needs one", headKey)
	}
	e.Duplicate = retried == "1"
	if err := e.admit(m, e.Duplicate); err != nil {
		return err
	}
	delete(EndToEnd(e.Header), headTimeout) // hosts are told their own
	seconds, ok := readSeconds(timeout)
	if !ok {
		return Bad(http.StatusBadRequest, "%s: no number of seconds", headTimeout)
	}
	// No client waits longer than the deadline of the class.
	e.left = time.Duration(min(seconds, rules.Deadline.Seconds()) * float64(time.Second))
	if !e.gate.ids.start(id, came) {
		// Another client's: two requests under one id can't be told apart by hosts.
		return Bad(http.StatusConflict, "%s: in use", headID)
	}
	e.id = id
	return nil
}

func readSeconds(s string) (float64, bool) {
	x, err := strconv.ParseFloat(s, 64)
	return x, err == nil && strings.Trim(s, "0123456789.") == ""
}

// plain gives a request that needs none of our headers what it lacks: class and time are the
// route's, and the id is made where there is none of its own. What may be sent again is what
// both the class and the method allow (RFC 9110, 9.2.1 and 9.2.2): of the methods that are
// idempotent but not safe, only those that the route names.
func (e *Entry) plain(m *Message) error {
	p := e.Route.Plain
	e.Class = p.Class
	switch m.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
	default:
		keyed := e.Route.Classes[p.Class].Idempotency == balancer.IdempotentWithKey
		if key := m.Header[headKey]; keyed && (len(key) != 1 || key[0] == "") ||
			!keyed && !slices.Contains(p.RetryableMethods, m.Method) {
			e.Class = p.NonIdempotentClass
		}
	}
	if retried := m.Header[headRetried]; len(retried) == 1 && retried[0] == "1" {
		e.Duplicate = true
	}
	if err := e.admit(m, e.Duplicate); err != nil {
		return err
	}
	e.left = min(p.Timeout, e.Route.Classes[e.Class].Deadline)
	if told := m.Header[headTimeout]; len(told) == 1 {
		if s, ok := readSeconds(told[0]); ok && s < e.left.Seconds() {
			e.left = time.Duration(s * float64(time.Second))
		}
	}
	delete(EndToEnd(e.Header), headTimeout)
	if m.Peer.Addr.IsValid() {
		SetForwardedHeaders(e.Header, m.Peer, m.Host)
	}
	p.RequestHeaders.Apply(e.Header)
	if id := m.Header[headID]; len(id) != 1 || !wellFormed(id[0]) {
		e.Header[headID] = []string{fmt.Sprintf("%016x", rand.Uint64())}
	}
	return nil
}

// Hold takes leave to hold n bytes of body. It guards the memory limit.
func (e *Entry) Hold(n int64) error {
	if !e.gate.Bodies.Reserve(body.RequestBodies, n) {
		return Bad(http.StatusServiceUnavailable, "too much is being held, trying again is harmless")
	}
	e.held += n
	e.Done = e.free
	return nil
}

// Page takes leave to hold n bytes, and memory for them.
func (e *Entry) Page(n int64) ([]byte, error) {
	if err := e.Hold(n); err != nil {
		return nil, err
	}
	e.page = body.AllocPage(n)
	return e.page, nil
}

// free gives back what was held: an attempt may use it after the client has its answer.
func (e *Entry) free() {
	e.gate.Bodies.Release(body.RequestBodies, e.held)
	if e.page != nil {
		body.FreePage(e.page)
		e.page = nil
	}
}

// Drop gives back what the entry holds where it never came to the engine.
func (e *Entry) Drop() {
	e.free()
	e.held = 0
	e.End()
}

// holdLess is how much is held of a body when memory for them is near its end.
const holdLess = 4 << 10

// HoldMost is how much of its body a request may hold now whose body may flow.
func (e *Entry) HoldMost() int64 {
	if e.gate.Bodies.NearLimit(body.RequestBodies) {
		return min(e.Route.Streams.BufferBytes, holdLess)
	}
	return e.Route.Streams.BufferBytes
}

// Arrived says when the last byte of the request came: its time counts from there. Of a body
// that flows that is yet to come.
func (e *Entry) Arrived(at time.Time) {
	e.Deadline = e.due(at)
}

// ArrivedLate is Arrived for a body that flows, once the request is at the engine.
func (e *Entry) ArrivedLate(at time.Time) { e.Request.BodyArrived(e.due(at)) }

func (e *Entry) due(at time.Time) time.Time {
	return at.Add(e.left - answerMargin)
}

// End is called when the client has its answer, or has gone.
func (e *Entry) End() {
	if f := e.Body.Stream(); f != nil {
		f.Close()
	}
	e.leave()
	if e.id != "" {
		e.gate.ids.end(e.id)
	}
	e.plan.Release()
}

// OpenIDs is the number of ids that are in use.
func (g *Admission) OpenIDs() int {
	g.ids.mu.Lock()
	defer g.ids.mu.Unlock()
	return len(g.ids.open)
}

// Health says whether requests can be served, and which pools can't serve theirs.
func (g *Admission) Health() (ok bool, text string) {
	if g.stopping.Load() {
		return false, "stopping\n"
	}
	if s, _ := g.Draining(); s != drain.Serving {
		return false, "draining: " + s.String() + "\n"
	}
	if g.waits.Load() {
		return false, "starting\n"
	}
	plan := g.Engine.Snapshot()
	if plan == nil {
		return false, "starting\n"
	}
	defer plan.Release()
	var out []string
	plan.Pools(func(p *engine.Pool) {
		if p.Ready() {
			ok = true
		} else if p.Name != "" {
			out = append(out, "pool "+p.Name+": no host takes requests\n")
		}
	})
	switch {
	case !ok && len(out) == 0:
		text = "no hosts known\n"
	case ok && len(out) == 0:
		text = "ok\n"
	}
	return ok, text + strings.Join(out, "")
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

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd takes out the headers that are not passed on.
func EndToEnd(h http.Header) http.Header {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}

// Trailer is what of a trailer is passed on: not what frames or routes a message, nor what
// concerns one connection (RFC 9110, 6.5.1).
func Trailer(h http.Header) http.Header {
	if len(h) == 0 {
		return nil
	}
	out := http.Header{}
	for name, v := range h {
		if !slices.Contains(hopByHop, name) && name != "Host" && name != "Content-Type" && name != "Content-Encoding" &&
			name != "Authorization" && name != "Set-Cookie" && name != "Content-Range" {
			out[name] = v
		}
	}
	return out
}
