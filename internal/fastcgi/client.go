package fastcgi

import (
	"errors"
	"strconv"
	"sync"
)

// ErrStray says that a responder has sent what belongs to no request, or behind a request's end.
// The requests that are open are not touched by it, but no other should begin on the connection.
var ErrStray = errors.New("fastcgi: a record belongs to no request")

// Heard is what a Client makes of a responder's records, in their order. Output may wait.
type Heard interface {
	Stdout(id uint16, part []byte) // STDOUT
	Stderr(id uint16, part []byte) // STDERR
	EndRequest(id uint16, e EndRequestBody)
	// Values is the answer to a GET_VALUES; 0 stands for what it does not tell.
	Values(v Values)
	// UnsolicitedRecord says that something came that belongs to no request.
	UnsolicitedRecord()
}

// Values are what a responder says of itself (4.1).
type Values struct {
	Conns, Reqs int
	Multiplexes bool
}

// Client is what a web server hears on one connection to a responder. Feed belongs to one
// goroutine, the others may come from any.
type Client struct {
	heard Heard

	scan   Scanner
	fixed  [8]byte
	values []byte
	n      int

	mu   sync.Mutex
	ids  map[uint16]*clientRequest
	next uint16
}

type clientRequest struct {
	shut bool // its STDOUT has ended
}

// NewClient returns a Client.
func NewClient(heard Heard) *Client { return &Client{heard: heard, ids: map[uint16]*clientRequest{}} }

// OpenRequest gives out the id of a new request. An id is used again as late as can be: what comes late
// for one that has ended must not be taken for the next.
func (c *Client) OpenRequest() uint16 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.next++; c.next == 0 {
			c.next = 1
		}
		if c.ids[c.next] == nil {
			c.ids[c.next] = &clientRequest{}
			return c.next
		}
	}
}

// Drop forgets a request that was never sent.
func (c *Client) Drop(id uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ids, id)
}

// Len is how many requests are open.
func (c *Client) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ids)
}

// Feed takes in bytes as they come. An error is final.
func (c *Client) Feed(b []byte) error {
	for {
		ev, part, rest, err := c.scan.Next(b)
		if err != nil {
			return err
		}
		b = rest
		switch ev {
		case NeedMore:
			return nil
		case RecordStart:
			err = c.start(c.scan.Header())
		case RecordContent:
			c.part(c.scan.Header(), part)
		case RecordEnd:
			err = c.done(c.scan.Header())
		}
		if err != nil {
			return err
		}
	}
}

// Between says whether the responder is between two records: a connection that ends there has
// not been cut within one.
func (c *Client) Between() bool { return c.scan.Between() }

func (c *Client) find(id uint16) *clientRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[id]
}

func (c *Client) start(h Head) error {
	c.n, c.values = 0, c.values[:0]
	switch h.Type {
	case Stdout, Stderr, EndRequest:
		if h.ID == 0 || h.Type == EndRequest && h.Content != len(c.fixed) {
			return ErrBody
		}
		if r := c.find(h.ID); r == nil || r.shut && h.Type == Stdout && h.Content > 0 {
			c.heard.UnsolicitedRecord()
		}
	case GetValuesResult:
		if h.Content > valuesMost {
			return ErrBody
		}
	case UnknownType:
	default:
		return ErrOrder // only web servers send those
	}
	return nil
}

func (c *Client) part(h Head, part []byte) {
	switch h.Type {
	case Stdout:
		if r := c.find(h.ID); r != nil && !r.shut {
			c.heard.Stdout(h.ID, part)
		}
	case Stderr:
		if c.find(h.ID) != nil {
			c.heard.Stderr(h.ID, part)
		}
	case EndRequest:
		c.n += copy(c.fixed[c.n:], part)
	case GetValuesResult:
		c.values = append(c.values, part...)
	}
}

func (c *Client) done(h Head) error {
	switch h.Type {
	case Stdout:
		if r := c.find(h.ID); r != nil && h.Content == 0 {
			r.shut = true
		}
	case EndRequest:
		if c.find(h.ID) == nil {
			return nil
		}
		e, err := ParseEnd(c.fixed[:])
		if err != nil {
			return err
		}
		c.Drop(h.ID)
		c.heard.EndRequest(h.ID, e)
	case GetValuesResult:
		var v Values
		for b := c.values; len(b) > 0; {
			name, value, rest, ok := Pair(b)
			if !ok {
				return ErrBody
			}
			b = rest
			n, err := strconv.Atoi(string(value))
			if err != nil || n < 0 {
				continue // what can't be read tells nothing
			}
			switch string(name) {
			case MaxConns:
				v.Conns = n
			case MaxReqs:
				v.Reqs = n
			case MpxsConns:
				v.Multiplexes = n == 1
			}
		}
		c.heard.Values(v)
	}
	return nil
}
