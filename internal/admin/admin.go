// Package admin is the gateway's second address, where operators ask for its state and have it drain. It speaks HTTP/1.1
// with one call for each connection and has a server of its own: clients neither fill its queues nor use up its
// connections.
package admin

import (
	"cmp"
	"container/list"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Paths of the calls.
const (
	PathHealth  = "/admin/health"
	PathQuiesce = "/admin/quiesce"
	PathResume  = "/admin/resume"
	PathStatus  = "/admin/status"
)

const (
	// MaxConns is how many connections may be open. Beyond it the one that has been without a call for longest is closed.
	// Callers come a few at a time, and some stay without a call.
	MaxConns = 16
	// readTimeout is how long a call may take to arrive. Some callers stay for 4 s with half a call, which costs only a
	// descriptor.
	readTimeout = 5 * time.Second
	// callTimeout is how long a Call may take. It is shorter than readTimeout, so that its caller still gets a response.
	callTimeout = 4 * time.Second
	// writeTimeout is when after the call's header section its response has to be written.
	writeTimeout = readTimeout + time.Second
	// maxHeaderBytes is the longest header section of a call.
	maxHeaderBytes = 4 << 10

	typeText = "text/plain; charset=utf-8"
	typeJSON = "application/json"
)

// Target is what the calls act on. None of its methods may wait.
type Target interface {
	// Ready reports whether the process is ready to serve, with a line of text.
	Ready() (ok bool, text string)
	// Quiesce starts a drain. If one is in progress it does nothing.
	Quiesce()
	// Resume ends a drain in any state.
	Resume()
	// Status returns what is counted, to be written as JSON.
	Status() any
}

// Call is an operators' call.
type Call struct {
	Method string // HTTP method; calls by another get status 405
	// Do carries out the call with the parameters of its query. It may wait until ctx ends, after callTimeout. An empty
	// contentType stands for plain text.
	Do func(ctx context.Context, with url.Values) (status int, text, contentType string)
}

// Server serves calls.
type Server struct {
	http  http.Server
	calls map[string]Call // by path

	mu       sync.Mutex                 // guards all below
	silent   list.List                  // connections without a call so far, oldest first
	elements map[net.Conn]*list.Element // of silent
	open     int                        // connections
}

// New returns a Server for the calls on a Target, and others by their paths.
func New(to Target, others map[string]Call) *Server {
	s := &Server{elements: map[net.Conn]*list.Element{}, calls: targetCalls(to)}
	for path, c := range others {
		s.calls[path] = c
	}
	s.http = http.Server{
		Handler:                      http.HandlerFunc(s.serveCall),
		ConnState:                    s.track,
		ConnContext:                  withConn,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     log.New(io.Discard, "", 0), // it would have a line for each bad caller
		DisableGeneralOptionsHandler: true,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Serve serves calls on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.http.Close() })()
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// connKey is the key of the connection among the values of a call's context.
type connKey struct{}

// withConn returns the context of the calls of a connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// targetCalls returns the calls on a Target.
func targetCalls(to Target) map[string]Call {
	text := func(method string, do func() (int, string)) Call {
		return Call{method, func(context.Context, url.Values) (int, string, string) {
			status, body := do()
			return status, body, typeText
		}}
	}
	return map[string]Call{
		PathHealth: text(http.MethodGet, func() (int, string) {
			ok, body := to.Ready()
			if !ok {
				return http.StatusServiceUnavailable, body
			}
			return http.StatusOK, body
		}),
		PathQuiesce: text(http.MethodPost, func() (int, string) {
			to.Quiesce()
			return http.StatusOK, "draining\n"
		}),
		PathResume: text(http.MethodPost, func() (int, string) {
			to.Resume()
			return http.StatusOK, "serving\n"
		}),
		PathStatus: {http.MethodGet, func(context.Context, url.Values) (int, string, string) {
			body, err := json.MarshalIndent(to.Status(), "", "  ")
			if err != nil {
				return http.StatusInternalServerError, err.Error() + "\n", typeJSON
			}
			return http.StatusOK, string(body) + "\n", typeJSON
		}},
	}
}

// serveCall serves one call.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.removeSilent(r.Context().Value(connKey{}).(net.Conn))
	s.mu.Unlock()
	var status int
	var text, contentType string
	switch call, found := s.calls[r.URL.Path]; {
	case !found:
		status = http.StatusNotFound
		text = "no such call\n"
	case r.Method != call.Method:
		w.Header().Set("Allow", call.Method)
		status = http.StatusMethodNotAllowed
		text = "this call is by " + call.Method + "\n"
	default:
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		status, text, contentType = call.Do(ctx, r.URL.Query())
		cancel()
	}
	w.Header().Set("Content-Type", cmp.Or(contentType, typeText))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text) // if it fails the caller has gone
}

// track bounds the number of connections by MaxConns. It guards against callers that stay without a call, and would in
// time use up all descriptors.
func (s *Server) track(c net.Conn, state http.ConnState) {
	var victim net.Conn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		s.open++
		s.elements[c] = s.silent.PushBack(c)
		if s.open > MaxConns {
			victim = s.silent.Front().Value.(net.Conn)
		}
	case http.StateClosed, http.StateHijacked:
		s.removeSilent(c)
		s.open--
	}
	s.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
}

// removeSilent removes a connection that has had a call, or is closed, from the silent ones; mu is held.
func (s *Server) removeSilent(c net.Conn) {
	if e := s.elements[c]; e != nil {
		s.silent.Remove(e)
		delete(s.elements, c)
	}
}
