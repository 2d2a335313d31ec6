// Package admin provides the admin API of a gateway, with which operators query its state and drain it. The API is served
// over HTTP/1.1 on a separate address, with one call per connection. It has its own server, so that clients can neither
// fill its queues nor use up its connections.
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
	// MaxConns is the maximum number of open connections. When it is exceeded, the oldest connection without a call is
	// closed. A few calls at a time are expected, and some connections stay open without a call.
	MaxConns = 16
	// readTimeout limits the time to receive a call. Some callers send half a call and stay connected for 4 s, which costs
	// only a descriptor.
	readTimeout = 5 * time.Second
	// callTimeout limits the time that a Call may take. It is shorter than readTimeout, so that the caller still gets a
	// response.
	callTimeout = 4 * time.Second
	// writeTimeout limits the time from the end of the header section of a call to the end of its response.
	writeTimeout = readTimeout + time.Second
	// maxHeaderBytes is the maximum size of the header section of a call.
	maxHeaderBytes = 4 << 10

	typeText = "text/plain; charset=utf-8"
	typeJSON = "application/json"
)

// Target is the gateway that the calls act on. Its methods must not block.
type Target interface {
	// Ready reports whether the gateway is ready to serve, with a line of text for the response.
	Ready() (ok bool, text string)
	// Quiesce starts a drain. If a drain is already in progress, it has no effect.
	Quiesce()
	// Resume cancels a drain in any phase.
	Resume()
	// Status returns the state and counters of the gateway, which are encoded as JSON.
	Status() any
}

// Call is a call of the admin API.
type Call struct {
	Method string // required HTTP method; requests with another method get status 405
	// Do executes the call with the parameters of the request's query. It may block until ctx is done, which is after
	// callTimeout. An empty contentType stands for plain text.
	Do func(ctx context.Context, params url.Values) (status int, text, contentType string)
}

// Server serves the admin API.
type Server struct {
	http  http.Server
	calls map[string]Call // keyed by path

	mu       sync.Mutex                 // guards the fields below
	idle     list.List                  // connections that have not sent a call yet, oldest first
	elements map[net.Conn]*list.Element // elements of idle, keyed by connection
	open     int                        // number of open connections
}

// New returns a Server for the calls on a Target. others has further calls, keyed by path.
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
		ErrorLog:                     log.New(io.Discard, "", 0), // net/http would log a line for each invalid request
		DisableGeneralOptionsHandler: true,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Serve serves calls on ln until ctx is done.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.http.Close() })()
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// connKey is the context key of the connection of a call.
type connKey struct{}

// withConn returns a context that carries the connection.
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
	s.removeIdle(r.Context().Value(connKey{}).(net.Conn))
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
	io.WriteString(w, text) // an error means that the caller has disconnected
}

// track limits the number of connections to MaxConns. Otherwise callers that stay connected without a call could use up
// all descriptors.
func (s *Server) track(c net.Conn, state http.ConnState) {
	var evicted net.Conn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		s.open++
		s.elements[c] = s.idle.PushBack(c)
		if s.open > MaxConns {
			evicted = s.idle.Front().Value.(net.Conn)
		}
	case http.StateClosed, http.StateHijacked:
		s.removeIdle(c)
		s.open--
	}
	s.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
}

// removeIdle removes a connection from the idle list after its call has arrived or it was closed. mu must be held.
func (s *Server) removeIdle(c net.Conn) {
	if e := s.elements[c]; e != nil {
		s.idle.Remove(e)
		delete(s.elements, c)
	}
}
