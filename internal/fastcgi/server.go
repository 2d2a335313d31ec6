package fastcgi

import (
	"errors"
	"strconv"
	"sync/atomic"
)

const (
	// MaxRequestsPerConn is the maximum number of open requests on a connection.
	MaxRequestsPerConn = 32
	// MaxParamsBytes limits the total length of a request's parameters.
	MaxParamsBytes = 64 << 10
)

// ErrParams reports that the parameters of a request are longer than MaxParamsBytes.
var ErrParams = errors.New("fastcgi: parameters too long")

// ServerHandler handles the records that a Server receives. Its methods are called in the order of the records.
type ServerHandler interface {
	// Request handles a request whose parameters are complete. params is only valid during the call. keepConn is set if
	// the connection is to stay open after the request. If err is not nil, it is ErrParams, and params is empty. Even
	// then the handler must write an END_REQUEST and call RequestEnded.
	Request(id uint16, params []byte, keepConn bool, err error)
	// Body handles a part of a request's body. The last call has end set and an empty part. While it blocks, the
	// connection is not read.
	Body(id uint16, part []byte, end bool)
	// Abort handles the cancellation of a request. The handler must still write an END_REQUEST and call RequestEnded.
	Abort(id uint16)
	// Reply writes a record to the connection.
	Reply(record []byte)
}

// Server is the application's side of a connection from a web server. It decodes the records of up to
// MaxRequestsPerConn interleaved requests. Feed must only be called by a single goroutine. The other methods are safe
// for concurrent use.
type Server struct {
	handler  ServerHandler
	maxConns string // value of FCGI_MAX_CONNS
	demux    demux
	requests *requestTable[serverRequest]
	reply    []byte // reusable buffer for the records that are passed to Reply

	rejectsNew atomic.Bool // RejectNew has been called
}

// serverRequest is a request from its BEGIN_REQUEST until RequestEnded. It is only accessed by the goroutine that calls
// Feed, except for the fields that are guarded by requestTable.mu.
type serverRequest struct {
	keepConn      bool
	params        []byte
	paramsTooLong bool
	aborted       bool

	paramsComplete bool // guarded by requestTable.mu
	bodyComplete   bool // guarded by requestTable.mu
}

// NewServer returns a Server for a new connection. maxConns is the number of connections that the application accepts,
// as reported in reply to GET_VALUES.
func NewServer(handler ServerHandler, maxConns int) *Server {
	return &Server{handler: handler, maxConns: strconv.Itoa(maxConns), requests: newRequestTable[serverRequest]()}
}

// NumOpen returns the number of requests that have not ended.
func (s *Server) NumOpen() int { return s.requests.len() }

// MayBeginRequest reports whether the input of Feed so far ends within a record that may begin a request. It must only
// be called by the goroutine that calls Feed.
func (s *Server) MayBeginRequest() bool { return s.demux.scanner.mayBeginRequest() }

// RequestEnded removes a request whose END_REQUEST has been written or is about to be written. After that the web
// server may reuse its id.
func (s *Server) RequestEnded(id uint16) { s.requests.remove(id) }

// RejectNew makes the Server reject each request that begins from now on, with the status Overloaded.
func (s *Server) RejectNew() { s.rejectsNew.Store(true) }

// ForEachIncomplete calls f for each open request that has not been received completely. paramsComplete reports whether
// its parameters have.
func (s *Server) ForEachIncomplete(f func(id uint16, paramsComplete bool)) {
	type incompleteRequest struct {
		id             uint16
		paramsComplete bool
	}
	var incomplete []incompleteRequest
	s.requests.mu.Lock()
	for id, request := range s.requests.open {
		if !request.bodyComplete {
			incomplete = append(incomplete, incompleteRequest{id, request.paramsComplete})
		}
	}
	s.requests.mu.Unlock()
	for _, request := range incomplete {
		f(request.id, request.paramsComplete)
	}
}

// Feed decodes bytes that were received on the connection. The error is ErrVersion, ErrBody, ErrOrder or ErrInUse.
// After an error Feed must not be called again, but complete requests can still be answered.
func (s *Server) Feed(b []byte) error { return s.demux.feed(b, s) }

func (s *Server) recordStart(h Header) error {
	if h.ID == 0 {
		if h.Type == GetValues && h.ContentBytes > maxValuesBytes {
			return ErrOrder
		}
		return nil
	}
	switch h.Type {
	case BeginRequest:
		if h.ContentBytes != fixedBodyBytes {
			return ErrBody
		}
		if s.requests.find(h.ID) != nil {
			return ErrInUse
		}
	case Params, Stdin:
		return s.streamRecordStart(h)
	}
	return nil
}

// streamRecordStart checks that the streams of a request arrive in order. Records for requests that are not open are
// ignored (3.3).
func (s *Server) streamRecordStart(h Header) error {
	request := s.requests.find(h.ID)
	if request == nil {
		return nil
	}
	isExpected := !request.paramsComplete
	if h.Type == Stdin {
		isExpected = request.paramsComplete && !request.bodyComplete
	}
	if !isExpected {
		return ErrOrder
	}
	return nil
}

func (s *Server) recordContent(h Header, part []byte) (keep bool) {
	if h.ID == 0 {
		return h.Type == GetValues
	}
	switch h.Type {
	case BeginRequest:
		return true
	case Params:
		if request := s.requests.find(h.ID); request != nil {
			request.appendParams(part)
		}
	case Stdin:
		if request := s.requests.find(h.ID); request != nil && !request.aborted {
			s.handler.Body(h.ID, part, false)
		}
	}
	return false
}

// appendParams collects a part of the parameters. Once they are too long, it discards them and all further parts.
func (r *serverRequest) appendParams(part []byte) {
	if r.paramsTooLong {
		return
	}
	if len(r.params)+len(part) > MaxParamsBytes {
		r.paramsTooLong = true
		r.params = nil
		return
	}
	r.params = append(r.params, part...)
}

func (s *Server) recordEnd(h Header, body []byte) error {
	if h.ID == 0 {
		return s.replyToManagement(h, body)
	}
	if h.Type == BeginRequest {
		return s.beginRequest(h.ID, body)
	}
	request := s.requests.find(h.ID)
	if request == nil {
		return nil
	}
	endsStream := h.ContentBytes == 0
	switch {
	case h.Type == AbortRequest:
		s.abortRequest(h.ID, request)
	case h.Type == Params && endsStream:
		s.completeParams(h.ID, request)
	case h.Type == Stdin && endsStream:
		s.completeBody(h.ID, request)
	}
	return nil // other records have no meaning for a responder, and are ignored
}

// beginRequest opens a request, or rejects it because of its role, because there are too many requests, or after
// RejectNew.
func (s *Server) beginRequest(id uint16, body []byte) error {
	begin, err := ParseBeginRequest(body)
	if err != nil {
		return err
	}
	if begin.Role != Responder {
		s.reject(id, UnknownRole)
		return nil
	}
	if s.requests.len() >= MaxRequestsPerConn || s.rejectsNew.Load() {
		s.reject(id, Overloaded)
		return nil
	}
	s.requests.add(id, &serverRequest{keepConn: begin.Flags&KeepConn != 0})
	return nil
}

// abortRequest handles an ABORT_REQUEST. A request with incomplete parameters is ended here, because it has not been
// passed to the handler yet.
func (s *Server) abortRequest(id uint16, request *serverRequest) {
	if request.aborted {
		return
	}
	request.aborted = true
	if !request.paramsComplete {
		s.reject(id, RequestComplete)
		return
	}
	s.handler.Abort(id)
}

func (s *Server) completeParams(id uint16, request *serverRequest) {
	s.requests.mu.Lock()
	request.paramsComplete = true
	s.requests.mu.Unlock()
	var err error
	if request.paramsTooLong {
		err = ErrParams
	}
	s.handler.Request(id, request.params, request.keepConn, err)
	request.params = nil
}

func (s *Server) completeBody(id uint16, request *serverRequest) {
	s.requests.mu.Lock()
	request.bodyComplete = true
	s.requests.mu.Unlock()
	if !request.aborted {
		s.handler.Body(id, nil, true)
	}
}

// reject ends a request that has not been passed to the handler.
func (s *Server) reject(id uint16, status Status) {
	s.requests.remove(id)
	s.reply = AppendEndRequest(s.reply[:0], id, EndRequestBody{ProtocolStatus: status})
	s.handler.Reply(s.reply)
}

// replyToManagement replies to a management record (4).
func (s *Server) replyToManagement(h Header, body []byte) error {
	if h.Type != GetValues {
		s.reply = AppendUnknownType(s.reply[:0], h.Type)
		s.handler.Reply(s.reply)
		return nil
	}
	pairs, err := appendValues(nil, body, s.maxConns)
	if err != nil {
		return err
	}
	s.reply = AppendRecord(s.reply[:0], GetValuesResult, 0, pairs)
	s.handler.Reply(s.reply)
	return nil
}
