package fakes

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Responses of a node that have no body.
const (
	rejectedResponse      = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	errorResponse         = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	missingTokenResponse  = "HTTP/1.1 400 No Token\r\nContent-Length: 0\r\n\r\n"
	staleTokenResponse    = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n"
	leaseAcceptedResponse = "HTTP/1.1 204 No Content\r\n\r\n"
)

// Headers of requests that gateways send as holders of a lease.
const (
	leaseHeader = "X-Fleet-Duty"
	tokenHeader = "X-Fleet-Token"
)

// ResponseBody returns the body of a node's response to the request with the ID. Clients compare it to detect responses to
// other requests.
func ResponseBody(id string) string { return "done " + id }

// serve serves the requests of a connection sequentially.
func (n *Node) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if n.behaviour.Load().Mode == Silent {
			<-n.crashSignal() // the connection stays open without any traffic until then
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // a truncated request is not executed
		}
		if keep := n.respond(c, r); !keep {
			return
		}
	}
}

// crashSignal returns a channel that the next Crash closes.
func (n *Node) crashSignal() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed
}

// exchange is a request at a node, with the behaviour and state of the node when the request began.
type exchange struct {
	node      *Node
	conn      net.Conn
	request   *http.Request
	behaviour Behaviour
	mode      Mode
	work      time.Duration // execution time without warm-up and congestion
	cores     chan struct{}
	startedAt time.Time // start of the node
	inFlight  int64     // number of requests in flight at the node, including this one
}

// respond responds to a request, and returns whether the connection stays open.
func (n *Node) respond(c net.Conn, r *http.Request) (keep bool) {
	e := n.beginExchange(c, r)
	defer n.inFlight.Add(-1)
	maxInFlight := int64(cap(e.cores) + cmp.Or(e.behaviour.MaxQueued, defaultMaxQueued))
	if e.mode == Full || e.inFlight > maxInFlight {
		return write(c, rejectedResponse)
	}
	if lease := r.Header.Get(leaseHeader); lease != "" {
		return e.respondToLeaseHolder(lease)
	}
	e.execute()
	return e.writeResponse()
}

func (n *Node) beginExchange(c net.Conn, r *http.Request) *exchange {
	e := &exchange{node: n, conn: c, request: r, behaviour: *n.behaviour.Load()}
	e.mode = e.behaviour.Mode
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.behaviour.Share > 0 && n.random.Float64() >= e.behaviour.Share {
		e.mode = Healthy
	}
	e.work = time.Duration(n.random.ExpFloat64() * float64(e.behaviour.Work))
	e.cores = n.cores
	e.startedAt = n.startedAt
	e.inFlight = n.inFlight.Add(1)
	return e
}

// execute executes the request on a core, unless it is a duplicate of a request with the same key.
func (e *exchange) execute() {
	e.cores <- struct{}{}
	defer func() { <-e.cores }()
	work := e.actualWork()
	dropped := e.node.ledger.RecordExecution(Execution{
		ID:    e.request.Header.Get("X-Request-Id"),
		Key:   e.request.Header.Get("Idempotency-Key"),
		Node:  e.node.Name,
		Group: e.node.Group,
		At:    time.Now(),
	})
	if !dropped {
		time.Sleep(work)
	}
}

// actualWork returns the execution time including the effects of warm-up and congestion.
func (e *exchange) actualWork() time.Duration {
	work := e.work
	b := &e.behaviour
	if b.Warmup > 0 && b.WarmupStartShare > 0 {
		if age := time.Since(e.startedAt); age < b.Warmup {
			speed := b.WarmupStartShare + (1-b.WarmupStartShare)*float64(age)/float64(b.Warmup)
			work = time.Duration(float64(work) / speed)
		}
	}
	if b.CongestionStart > 0 && e.inFlight >= int64(b.CongestionStart) {
		work = time.Duration(float64(work) * max(1, b.CongestionSlowdown))
	}
	return work
}

// writeResponse writes the response of an executed request, and returns whether the connection stays open.
func (e *exchange) writeResponse() (keep bool) {
	body := ResponseBody(e.request.Header.Get("X-Request-Id"))
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch e.mode {
	case Errors:
		return write(e.conn, errorResponse)
	case Hang:
		io.Copy(io.Discard, e.conn) // returns when the client closes the connection
		return false
	case ResetAt, CloseAt:
		write(e.conn, response[:min(e.behaviour.ResponseBytes, len(response))])
		if e.mode == ResetAt {
			reset(e.conn)
		}
		return false
	}
	return write(e.conn, response)
}

// respondToLeaseHolder responds to a request that a gateway sends as the holder of a lease, such as a health check. Of the
// modes only Errors applies to the response: the results of health checks must not depend on those of client requests.
func (e *exchange) respondToLeaseHolder(lease string) (keep bool) {
	token, err := strconv.ParseUint(e.request.Header.Get(tokenHeader), 10, 64)
	if err != nil {
		return write(e.conn, missingTokenResponse)
	}
	checksTokens := !e.node.IgnoresTokens.Load()
	stale := e.node.ledger.RecordLeaseRequest(e.node.Name, lease, token, checksTokens)
	switch {
	case stale && checksTokens:
		return write(e.conn, staleTokenResponse)
	case e.mode == Errors:
		return write(e.conn, errorResponse)
	}
	return write(e.conn, leaseAcceptedResponse)
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
