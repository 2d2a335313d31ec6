package fastcgi

import (
	"errors"
	"sync"
)

// Errors of Client.Feed and Server.Feed, besides ErrVersion and ErrBody. The connection can't be used any more
// after one. The texts are sent to clients in response bodies.
var (
	// ErrOrder reports a record that is not allowed in the state of its request or from this side.
	ErrOrder = errors.New("fastcgi: a record comes where it can't")
	// ErrInUse reports a BEGIN_REQUEST with the id of a request that is still open.
	ErrInUse = errors.New("fastcgi: the id of a new request is in use")
)

// recordHandler handles the records of one side of a connection, in their order.
type recordHandler interface {
	// recordStart checks a record by its header.
	recordStart(h Header) error
	// recordContent handles a part of a record's content. keep tells the demultiplexer to collect it.
	recordContent(h Header, part []byte) (keep bool)
	// recordEnd handles the end of a record. body is the content that was collected, valid during the call.
	recordEnd(h Header, body []byte) error
}

// demux splits the bytes that a connection receives into records. It is the part that Client and Server have in
// common.
type demux struct {
	scanner Scanner
	body    []byte // content of the current record, as far as its handler collects it
}

// feed passes the records of b to a handler, up to the first error.
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

// requestTable holds the open requests of a connection by their id. It is safe for concurrent use.
type requestTable[R any] struct {
	mu     sync.Mutex
	open   map[uint16]*R // guarded by mu
	lastID uint16        // that addWithNewID chose; guarded by mu
}

func newRequestTable[R any]() *requestTable[R] {
	return &requestTable[R]{open: map[uint16]*R{}}
}

// find returns an open request, or nil.
func (t *requestTable[R]) find(id uint16) *R {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[id]
}

// add adds a request under an id that is not in use.
func (t *requestTable[R]) add(id uint16, request *R) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[id] = request
}

// addWithNewID adds a request under an id that is not in use and returns the id. Ids are reused as late as
// possible, so that a late record of a request that has ended is not attributed to another.
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

// remove removes a request.
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
