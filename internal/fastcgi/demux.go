package fastcgi

import (
	"errors"
	"sync"
)

// Errors of Client.Feed and Server.Feed, in addition to ErrVersion and ErrBody. After an error no further records can
// be decoded from the connection. The texts are sent to clients in response bodies.
var (
	// ErrOrder reports a record that is not allowed in the current state of its request, or from this side of the
	// connection.
	ErrOrder = errors.New("fastcgi: a record comes where it can't")
	// ErrInUse reports a BEGIN_REQUEST with the id of a request that is still open.
	ErrInUse = errors.New("fastcgi: the id of a new request is in use")
)

// recordHandler handles the records from one side of a connection. Its methods are called in the order of the records.
type recordHandler interface {
	// recordStart checks the header of a record.
	recordStart(h Header) error
	// recordContent handles a part of a record's content. If keep is true, the part is collected for recordEnd.
	recordContent(h Header, part []byte) (keep bool)
	// recordEnd handles the end of a record. body is the collected content, which is only valid during the call.
	recordEnd(h Header, body []byte) error
}

// demux splits the bytes that are received on a connection into records. It is used by both Client and Server.
type demux struct {
	scanner Scanner
	body    []byte // collected content of the current record
}

// feed passes the records in b to a handler, and stops at the first error.
func (d *demux) feed(b []byte, handler recordHandler) error {
	for {
		event, part, rest, err := d.scanner.Next(b)
		if err != nil {
			return err
		}
		b = rest
		switch event {
		case NeedMore:
			return nil
		case RecordStart:
			d.body = d.body[:0]
			err = handler.recordStart(d.scanner.Header())
		case RecordContent:
			if handler.recordContent(d.scanner.Header(), part) {
				d.body = append(d.body, part...)
			}
		case RecordEnd:
			err = handler.recordEnd(d.scanner.Header(), d.body)
		}
		if err != nil {
			return err
		}
	}
}

// requestTable holds the open requests of a connection by id. It is safe for concurrent use.
type requestTable[R any] struct {
	mu     sync.Mutex
	open   map[uint16]*R // guarded by mu
	lastID uint16        // last id that addWithNewID has assigned; guarded by mu
}

func newRequestTable[R any]() *requestTable[R] {
	return &requestTable[R]{open: map[uint16]*R{}}
}

// find returns the open request with an id, or nil if there is none.
func (t *requestTable[R]) find(id uint16) *R {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[id]
}

// add adds a request under an id, which must not be in use.
func (t *requestTable[R]) add(id uint16, request *R) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[id] = request
}

// addWithNewID assigns an unused id to a request, adds the request and returns the id. Ids are reused as late as
// possible, so that a late record of a request that has ended is not attributed to another request.
func (t *requestTable[R]) addWithNewID(request *R) uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		t.lastID++
		isFree := t.lastID != 0 && t.open[t.lastID] == nil
		if isFree {
			t.open[t.lastID] = request
			return t.lastID
		}
	}
}

// remove removes the request with an id, if there is one.
func (t *requestTable[R]) remove(id uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// len returns the number of open requests.
func (t *requestTable[R]) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}
