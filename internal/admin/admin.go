// Package admin is the gateway's second address, where operators ask it how it is and have it
// drain. It speaks HTTP/1.1 with one call to a connection and has a server of its own: what
// clients do on theirs neither fills its lines nor uses up its connections.
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
	// ConnsMost is how many connections may be open; beyond, the one that has been silent
	// longest is closed. Callers come a few at a time, and some stay and say nothing.
	ConnsMost = 16
	// callTime is for a call to arrive. Some callers stay for 4 s with half a call: they are
	// let stay, as they cost a descriptor only.
	callTime   = 5 * time.Second
	answerTime = time.Second
	maxHead    = 4 << 10
)

// Target is what the calls are about. None of its methods may wait.
type Target interface {
	// Ready says whether the process is ready to serve, with a line for people.
	Ready() (ok bool, text string)
	Quiesce()
	Resume()
	// Status is what is counted, to be written as JSON.
	Status() any
}

// Server answers calls.
type Server struct {
	http http.Server

	others map[string]Call

	mu     sync.Mutex
	silent list.List // connections that have brought no whole call yet, oldest first
	places map[net.Conn]*list.Element
	open   int
}

// Call is one of a part that has calls of its own. Do may wait, until ctx ends at the latest.
type Call struct {
	Method string
	Do     func(ctx context.Context, with url.Values) (status int, text, kind string)
}

// callMost is how long a Call may take: its caller still gets an answer then.
const callMost = 4 * time.Second

// New returns a Server that has calls carried out at a Target, and others by their paths.
func New(to Target, others map[string]Call) *Server {
	s := &Server{places: map[net.Conn]*list.Element{}, others: others}
	s.http = http.Server{
		Handler: s.calls(to), ConnState: s.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ReadTimeout: callTime, WriteTimeout: callTime + answerTime, MaxHeaderBytes: maxHead,
		ErrorLog:                     log.New(io.Discard, "", 0), // it would have a line for each bad caller
		DisableGeneralOptionsHandler: true,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Serve answers calls on ln until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	defer context.AfterFunc(ctx, func() { s.http.Close() })()
	if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type connKey struct{} // of the connection among a call's context values

// calls is what each call does.
func (s *Server) calls(to Target) http.Handler {
	type call struct {
		method string
		do     func() (int, string)
		kind   string // of the answer; "": lines for people
	}
	list := map[string]call{
		PathHealth: {http.MethodGet, func() (int, string) {
			ok, text := to.Ready()
			if !ok {
				return http.StatusServiceUnavailable, text
			}
			return http.StatusOK, text
		}, ""},
		PathQuiesce: {http.MethodPost, func() (int, string) {
			to.Quiesce()
			return http.StatusOK, "draining\n"
		}, ""},
		PathResume: {http.MethodPost, func() (int, string) {
			to.Resume()
			return http.StatusOK, "serving\n"
		}, ""},
		PathStatus: {http.MethodGet, func() (int, string) {
			text, err := json.MarshalIndent(to.Status(), "", "  ")
			if err != nil {
				return http.StatusInternalServerError, err.Error() + "\n"
			}
			return http.StatusOK, string(text) + "\n"
		}, "application/json"},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.heard(r.Context().Value(connKey{}).(net.Conn))
		s.mu.Unlock()
		status, text, kind := http.StatusNotFound, "no such call\n", ""
		if c, ok := s.others[r.URL.Path]; ok {
			if r.Method == c.Method {
				ctx, cancel := context.WithTimeout(r.Context(), callMost)
				status, text, kind = c.Do(ctx, r.URL.Query())
				cancel()
			} else {
				w.Header().Set("Allow", c.Method)
				status, text = http.StatusMethodNotAllowed, "this call is by "+c.Method+"\n"
			}
		} else if c, ok := list[r.URL.Path]; ok {
			if r.Method == c.method {
				status, text = c.do()
				kind = c.kind
			} else {
				w.Header().Set("Allow", c.method)
				status, text = http.StatusMethodNotAllowed, "this call is by "+c.method+"\n"
			}
		}
		w.Header().Set("Content-Type", cmp.Or(kind, "text/plain; charset=utf-8"))
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(status)
		io.WriteString(w, text) // if it fails the caller has gone
	})
}

// track keeps the connections within their number: it guards against callers who stay and say
// nothing, and would in time hold all descriptors.
func (s *Server) track(c net.Conn, state http.ConnState) {
	var victim net.Conn
	s.mu.Lock()
	switch state {
	case http.StateNew:
		s.open++
		s.places[c] = s.silent.PushBack(c)
		if s.open > ConnsMost {
			victim = s.silent.Front().Value.(net.Conn)
		}
	case http.StateClosed, http.StateHijacked:
		s.heard(c)
		s.open--
	}
	s.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
}

// heard takes a connection from the line of the silent; mu is held.
func (s *Server) heard(c net.Conn) {
	if e := s.places[c]; e != nil {
		s.silent.Remove(e)
		delete(s.places, c)
	}
}
