package engine

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dunemoor/balancer"
	"dunemoor/internal/body"
)

// Request is one request of a client and its one final answer. A front fills in the first
// part and hands it over with Engine.Do; transports read it.
type Request struct {
	Method string
	Target string // path and query, byte for byte as they came
	Host   string
	Header http.Header // those that are passed on
	Body   body.Body

	// Upgrade is the protocol that the client asks to go over to, "" for none. The route has
	// to allow it.
	Upgrade string
	// Inform, if set, passes on an answer that comes ahead of the final one (1xx). It is called
	// while the request is open, and must not wait long.
	Inform func(status int, header http.Header)

	// Client, if set, is whose request it is.
	Client Client

	// Done, if set, is called once the request is over and no attempt uses its body any more.
	Done func()

	// WriteBy is when the attempt that is out has to have been written to its last byte; zero: at any
	// time. The loop sets it ahead of each attempt.
	WriteBy time.Time

	Route    *Route
	Class    int // as the pools of the route number them
	Tenant   int
	Repeat   bool      // the client says that it has asked before
	Deadline time.Time // when its answer is due
	Key      string    // what a split keeps together; "": chance

	came   chan struct{} // the last byte of a body that flows has come
	due    atomic.Int64  // when the answer is due once that has come, by since; 0: not yet
	loose  bool          // a byte of its body has been let go: nothing of it can be sent again; the loop's
	over   atomic.Bool   // it is answered or nobody waits: set once, by Close
	exit   *exit         // by when all is due once the gateway ends; nil: it is at no engine
	answer chan Answer   // holds the answer that finish was won with

	// The rest belongs to the loop.
	id        balancer.RequestID
	pool      *Pool
	attempts  []context.CancelFunc // of the pool that it is in now
	out       int
	sent      int  // attempts that went out, in all pools
	proved    bool // all that ended so far never ran
	unreached bool // ... as no connection came up
	chain     *chain
	level     int    // of the chain that it is in
	trial     bool   // sent to see whether a pool is back
	last      Answer // what a host said that was no success, to be passed on if nothing better comes
}

// Over says whether it has its answer or nobody waits for one: nothing may go out for it.
func (x *Request) Over() bool { return x.over.Load() }

// MayWrite says whether an attempt may be written now: nobody has the answer yet, its time for
// that is not over, and its client is still there.
func (x *Request) MayWrite() bool {
	return !x.Over() && (x.WriteBy.IsZero() || time.Now().Before(x.WriteBy)) && (x.Client == nil || !x.Client.Gone())
}

// Client is whoever waits for an answer.
type Client interface {
	// Gone looks whether it has left. It does not wait, and not for its turn either: whoever hears
	// of those who leave by an event may not have had his on a busy machine.
	Gone() bool
}

// epoch is what instants kept as numbers count from.
var epoch = time.Now()

// Came says that the last byte of a body that flows has come, and when the answer is due.
func (x *Request) Came(due time.Time) {
	x.due.Store(int64(due.Sub(epoch)))
	select {
	case x.came <- struct{}{}:
	default: // it is over, or has been said
	}
}

// Due is when the answer is due: the Deadline, or later where a body has come since, and the exit
// at the latest. known is false while the body is still coming and no exit is set: then nothing
// is due yet.
func (x *Request) Due() (at time.Time, known bool) {
	at, known = x.Deadline, x.Body.Whole()
	if d := x.due.Load(); !known && d != 0 {
		at, known = epoch.Add(time.Duration(d)), true
	}
	if by := x.exit.by(); by != nil && (!known || at.After(*by)) {
		return *by, true
	}
	return at, known
}

// Left is the time until its answer is due.
func (x *Request) Left() time.Duration {
	at, _ := x.Due()
	return max(0, time.Until(at))
}

// Close ends a request and says whether it was still open: whoever closes it gives the
// answer, so that there is one.
func (x *Request) Close() bool { return x.over.CompareAndSwap(false, true) }

// finish gives the answer if there is none yet, and says whether it did.
func (x *Request) finish(a Answer) bool {
	won := x.Close()
	if won {
		x.answer <- a
	}
	return won
}

// Kind says what an Answer is.
type Kind uint8

// Kinds of answer.
const (
	Failed  Kind = iota // nothing is promised about its effect
	Served              // what a host said
	Refused             // turned away: trying again is harmless
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       Kind
	Status     int         // Served
	Header     http.Header // Served
	Body       body.Body   // Served
	Tunnel     Tunnel      // Served with 101: the connection as it goes on from there
	RetryAfter time.Duration
	Free       func() // gives back what the body holds of a budget; nil: nothing
}

// Tunnel is a connection to a host that has gone over to another protocol.
type Tunnel interface {
	Read(p []byte) (int, error)
	Write(p []byte) (int, error)
	SetDeadline(at time.Time) error
	CloseWrite() error
	Close() error
}

// FreeHeld gives back what the part of the body that is in memory holds of a budget. Nobody
// looks at it any more.
func (a *Answer) FreeHeld() {
	if a.Free != nil {
		a.Free()
		a.Free = nil
	}
}

// Release is called by whoever has an Answer last; a second time it does nothing.
func (a *Answer) Release() {
	if f := a.Body.Flow(); f != nil {
		f.Close()
	}
	if a.Tunnel != nil {
		a.Tunnel.Close()
	}
	a.FreeHeld()
}

// discard releases an answer from the loop, which must not wait for what flows to end.
func (a *Answer) discard() {
	if a.Body.Whole() && a.Tunnel == nil {
		a.Release()
		return
	}
	go func(a Answer) { a.Release() }(*a)
}

// Result is the end of one attempt.
type Result struct {
	// Answered says that a whole answer came; the rule of the route reads it. Else Outcome
	// says how the attempt ended. A Result that proves that nothing ran is given only with
	// the proof that the protocol's own text names.
	Answered bool
	Answer   Answer
	Outcome  balancer.Result
	// Part says that some bytes of the request went out, but not the last. By the platform's
	// protocol that proves that nothing ran; of plain HTTP it proves nothing.
	Part bool
}

// Ended is a Result without an answer.
func Ended(outcome balancer.Result) Result { return Result{Outcome: outcome} }

// Transport makes attempts by one protocol at the hosts of one pool, and keeps the
// connections to them.
type Transport interface {
	// Host makes an Endpoint of a host that has come.
	Host(id string) Endpoint
	// Run does what has to be done from time to time, until ctx ends; then it closes what
	// is idle, and later what attempts still out are done with.
	Run(ctx context.Context)
}

// Endpoint is a host to a Transport. Update and CloseIdle come from the loop and must not
// wait; Attempt comes from goroutines of its own.
type Endpoint interface {
	// Update takes over what the list says. Where usable is false nothing new may go out.
	Update(addr string, started int64, usable bool)
	CloseIdle()
	// Attempt sends a request at most once, and says how that ended. ctx ends when it is to
	// be given up, by its deadline or by being called off. It looks again at MayWrite and at
	// usable before the first byte goes out, and at WriteBy while it writes.
	Attempt(ctx context.Context, x *Request) Result
}
