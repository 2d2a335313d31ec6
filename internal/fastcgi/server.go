package fastcgi

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
)

const (
	// MaxRequestsPerConn is how many requests a connection may carry at once, as FCGI_MAX_REQS says.
	MaxRequestsPerConn = 32
	// MaxParamsBytes bounds the parameters of a request: what heads of HTTP may have, eight times.
	MaxParamsBytes = 64 << 10
	// valuesMost bounds what a GET_VALUES may ask: the three names there are take 48 bytes.
	valuesMost = 512
)

// Errors of what a peer sends. None of them leaves a connection of use: nothing says where the
// peer stands, but what was whole before can be answered.
var (
	ErrOrder = errors.New("fastcgi: a record comes where it can't")
	ErrInUse = errors.New("fastcgi: the id of a new request is in use")
)

// ErrParams says that the parameters of a request are longer than ParamsMost.
var ErrParams = errors.New("fastcgi: the parameters are too long")

// Calls are what a Server makes of records, in their order. Only Body may wait.
type Calls interface {
	// Request is a request whose parameters are whole; they are valid during the call. keep says
	// that the connection is to stay open behind it. With err the parameters can't be used, and
	// the request is to be answered all the same.
	Request(id uint16, params []byte, keep bool, err error)
	// Body is a part of a request's body; the last call for it has end set and no part.
	Body(id uint16, part []byte, end bool)
	// Abort says that nobody waits for the request any more. It is to be ended all the same.
	Abort(id uint16)
	// Reply is to be written to the connection.
	Reply(record []byte)
}

// Server is what an application hears on one connection of a web server: the records of up to
// ReqsMost requests that come mixed. Feed belongs to one goroutine, Ended may come from any.
type Server struct {
	calls Calls
	conns string // FCGI_MAX_CONNS

	scan   Scanner
	fixed  [8]byte // the body of a record that has one of 8 bytes
	values []byte  // the body of a GET_VALUES
	n      int
	out    []byte

	mu   sync.Mutex
	reqs map[uint16]*serverRequest
}

// serverRequest is a request from its BEGIN_REQUEST until its END_REQUEST is out.
type serverRequest struct {
	keep    bool
	params  []byte
	long    bool // too long; the rest is dropped
	begun   bool // the parameters are whole
	ended   bool // the body is
	aborted bool
}

// NewServer returns a Server. conns is how many connections there may be, for those who ask.
func NewServer(calls Calls, conns int) *Server {
	return &Server{calls: calls, conns: strconv.Itoa(conns), reqs: map[uint16]*serverRequest{}}
}

// NumOpen is how many requests have not ended.
func (s *Server) NumOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reqs)
}

// RequestEnded says that the END_REQUEST of a request is out, or about to be: its id may come anew.
func (s *Server) RequestEnded(id uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reqs, id)
}

// ForEachIncomplete calls f with each request that has not come whole.
func (s *Server) ForEachIncomplete(f func(id uint16, begun bool)) {
	s.mu.Lock()
	var ids []uint16
	var begun []bool
	for id, r := range s.reqs {
		if !r.ended {
			ids, begun = append(ids, id), append(begun, r.begun)
		}
	}
	s.mu.Unlock()
	for i, id := range ids {
		f(id, begun[i])
	}
}

func (s *Server) find(id uint16) *serverRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reqs[id]
}

// Feed takes in bytes as they come. An error is final: nothing that comes behind can be told.
func (s *Server) Feed(b []byte) error {
	for {
		ev, part, rest, err := s.scan.Next(b)
		if err != nil {
			return err
		}
		b = rest
		switch ev {
		case NeedMore:
			return nil
		case RecordStart:
			err = s.start(s.scan.Header())
		case RecordContent:
			err = s.part(s.scan.Header(), part)
		case RecordEnd:
			err = s.done(s.scan.Header())
		}
		if err != nil {
			return err
		}
	}
}

// start checks a record by its head.
func (s *Server) start(h Head) error {
	s.n = 0
	if h.ID == 0 {
		if h.Type == GetValues && h.Content > valuesMost {
			return ErrOrder
		}
		s.values = s.values[:0]
		return nil // done answers it
	}
	switch h.Type {
	case BeginRequest:
		if h.Content != len(s.fixed) {
			return ErrBody
		}
		if s.find(h.ID) != nil {
			return ErrInUse
		}
	case Params, Stdin:
		r := s.find(h.ID)
		switch {
		case r == nil: // it has ended, or never was: 3.3 has such records passed over
		case h.Type == Params && r.begun, h.Type == Stdin && (!r.begun || r.ended):
			return ErrOrder
		}
	}
	return nil
}

func (s *Server) part(h Head, part []byte) error {
	if h.ID == 0 {
		if h.Type == GetValues {
			s.values = append(s.values, part...)
		}
		return nil
	}
	switch h.Type {
	case BeginRequest:
		s.n += copy(s.fixed[s.n:], part)
	case Params:
		if r := s.find(h.ID); r != nil && !r.long {
			if r.long = len(r.params)+len(part) > MaxParamsBytes; r.long {
				r.params = nil
			} else {
				r.params = append(r.params, part...)
			}
		}
	case Stdin:
		if r := s.find(h.ID); r != nil && !r.aborted {
			s.calls.Body(h.ID, part, false)
		}
	}
	return nil
}

func (s *Server) done(h Head) error {
	if h.ID == 0 {
		return s.manage(h)
	}
	switch h.Type {
	case BeginRequest:
		return s.begin(h.ID)
	case AbortRequest:
		if r := s.find(h.ID); r != nil && !r.aborted {
			r.aborted = true
			if !r.begun { // nobody knows of it yet
				s.end(h.ID, RequestComplete)
				return nil
			}
			s.calls.Abort(h.ID)
		}
	case Params:
		r := s.find(h.ID)
		if r == nil || h.Content > 0 {
			return nil
		}
		s.mu.Lock()
		r.begun = true
		s.mu.Unlock()
		var err error
		if r.long {
			err = ErrParams
		}
		s.calls.Request(h.ID, r.params, r.keep, err)
		r.params = nil
	case Stdin:
		r := s.find(h.ID)
		if r == nil || h.Content > 0 {
			return nil
		}
		s.mu.Lock()
		r.ended = true
		s.mu.Unlock()
		if !r.aborted {
			s.calls.Body(h.ID, nil, true)
		}
	}
	// All else (DATA is for another role) has no meaning here and is passed over.
	return nil
}

// begin takes in a request, or ends it where it can't be served.
func (s *Server) begin(id uint16) error {
	g, err := ParseBegin(s.fixed[:])
	if err != nil {
		return err
	}
	s.mu.Lock()
	full := len(s.reqs) >= MaxRequestsPerConn
	if !full && g.Role == Responder {
		s.reqs[id] = &serverRequest{keep: g.Flags&KeepConn != 0}
	}
	s.mu.Unlock()
	switch {
	case g.Role != Responder:
		s.end(id, UnknownRole)
	case full:
		s.end(id, Overloaded)
	}
	return nil
}

// end ends a request that never came to anybody.
func (s *Server) end(id uint16, status Status) {
	s.RequestEnded(id)
	s.out = AppendEndRequest(s.out[:0], id, EndRequestBody{ProtocolStatus: status})
	s.calls.Reply(s.out)
}

// manage answers a management record (4).
func (s *Server) manage(h Head) error {
	if h.Type != GetValues {
		s.out = AppendUnknown(s.out[:0], h.Type)
		s.calls.Reply(s.out)
		return nil
	}
	var pairs []byte
	for b := s.values; len(b) > 0; {
		name, _, rest, ok := Pair(b)
		if !ok {
			return ErrBody
		}
		b = rest
		// Names that are not understood are left out (4.1).
		switch string(name) {
		case MaxConns:
			pairs = AppendPair(pairs, MaxConns, s.conns)
		case MaxReqs:
			pairs = AppendPair(pairs, MaxReqs, strconv.Itoa(MaxRequestsPerConn))
		case MpxsConns:
			pairs = AppendPair(pairs, MpxsConns, "1")
		}
	}
	s.out = AppendRecord(s.out[:0], GetValuesResult, 0, pairs)
	s.calls.Reply(s.out)
	return nil
}

// ForEachParam calls f with each of a request's parameters. The slices are part of params.
func ForEachParam(params []byte, f func(name, value []byte) error) error {
	for len(params) > 0 {
		name, value, rest, ok := Pair(params)
		if !ok {
			return fmt.Errorf("%w: the parameters end within a pair", ErrBody)
		}
		if err := f(name, value); err != nil {
			return err
		}
		params = rest
	}
	return nil
}
