package fakes

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/fcgi"
	"strconv"
	"sync"
	"time"
)

// Responder is a FastCGI server on a loopback address, based on net/http/fcgi.
type Responder struct {
	Name  string
	Group string // group of nodes that share idempotency keys

	ledger   *Ledger
	work     time.Duration
	listener *crashListener

	mu     sync.Mutex
	random *rand.Rand // guarded by mu
}

// StartResponder starts a responder on a free port of 127.0.0.1. work is the mean execution time of a request.
func StartResponder(name, group string, ledger *Ledger, seed uint64, work time.Duration) (*Responder, error) {
	return StartResponderAt("127.0.0.1:0", name, group, ledger, seed, work)
}

// StartResponderAt starts a responder at an address, which must be a loopback one.
func StartResponderAt(address, name, group string, ledger *Ledger, seed uint64, work time.Duration) (*Responder, error) {
	listener, err := newCrashListener(address)
	if err != nil {
		return nil, err
	}
	r := &Responder{
		Name: name, Group: group, ledger: ledger, work: work, listener: listener, random: rand.New(rand.NewPCG(seed, responderStream)),
	}
	return r, r.Start()
}

// Addr returns the address that the responder listens on, also after a crash.
func (r *Responder) Addr() string { return r.listener.address.address }

// Start starts the responder, or restarts it after a Crash.
func (r *Responder) Start() error {
	listener, err := r.listener.start()
	if err != nil {
		return err
	}
	go fcgi.Serve(&responderListener{listener, r}, http.HandlerFunc(r.serve))
	return nil
}

// Crash stops the responder like the crash of a process: connections are reset and new ones are refused.
func (r *Responder) Crash() { r.listener.crash() }

// Close stops the responder for good.
func (r *Responder) Close() {
	r.Crash()
	r.listener.address.release()
}

// responderListener is a net.Listener that records the connections of a responder.
type responderListener struct {
	net.Listener
	responder *Responder
}

// Accept implements net.Listener.
func (l *responderListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.responder.listener.add(l.Listener, c) {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (r *Responder) serve(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength != 0 { // net/http/fcgi shares one reader for all empty bodies; concurrent reads of it would race
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // a truncated request is not executed
		}
	}
	id := q.Header.Get("X-Request-Id")
	dropped := r.ledger.RecordExecution(Execution{
		ID:    id,
		Key:   q.Header.Get("Idempotency-Key"),
		Node:  r.Name,
		Group: r.Group,
		At:    time.Now(),
	})
	work := r.drawWork()
	if !dropped {
		time.Sleep(work)
	}
	body := ResponseBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
}

func (r *Responder) drawWork() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.ExpFloat64() * float64(r.work))
}
