package fastcgi

import (
	"net"
	"time"

	"dunemoor/internal/fastcgi"
)

// queryTimeout limits the time for a responder to send its values. Some never send them, or close the connection
// instead; each connection to such a responder carries one request at a time.
const queryTimeout = time.Second

// queryValues requests the values of a responder (4.1) on a separate connection, as a responder that does not support
// GET_VALUES may close it. It runs in a goroutine of its own, for twice queryTimeout at most.
func (t *Transport) queryValues(h *host, target dialTarget) {
	values, ok := receiveValues(target)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.generation == target.generation {
		h.values = values
	}
}

// receiveValues sends GET_VALUES and waits for the reply.
func receiveValues(target dialTarget) (values fastcgi.Values, ok bool) {
	network, addr := target.network()
	c, err := net.DialTimeout(network, addr, queryTimeout)
	if err != nil {
		return fastcgi.Values{}, false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(queryTimeout))
	var query []byte
	for _, name := range []string{fastcgi.MaxConns, fastcgi.MaxReqs, fastcgi.MpxsConns} {
		query = fastcgi.AppendPair(query, name, "")
	}
	if _, err := c.Write(fastcgi.AppendRecord(nil, fastcgi.GetValues, 0, query)); err != nil {
		return fastcgi.Values{}, false
	}
	var reply valuesReply
	client := fastcgi.NewClient(&reply)
	b := make([]byte, 512)
	for !reply.received {
		n, err := c.Read(b)
		if client.Feed(b[:n]) != nil {
			return fastcgi.Values{}, false
		}
		if err != nil && !reply.received {
			return fastcgi.Values{}, false
		}
	}
	return reply.values, true
}

// valuesReply is the fastcgi.ClientHandler that receives the reply to GET_VALUES.
type valuesReply struct {
	values   fastcgi.Values
	received bool
}

func (*valuesReply) Stdout(uint16, []byte)                     {}
func (*valuesReply) Stderr(uint16, []byte)                     {}
func (*valuesReply) EndRequest(uint16, fastcgi.EndRequestBody) {}
func (*valuesReply) UnsolicitedRecord()                        {}

// Values keeps the first reply. Some responders send an empty one after it, like the record that ends a stream.
func (r *valuesReply) Values(values fastcgi.Values) {
	if !r.received {
		r.values = values
		r.received = true
	}
}
