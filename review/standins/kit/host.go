package kit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// ServeHost runs a host: it reads a request to its last byte, works for a while, and responds with 200 and a body that
// names the request and the host. Each request that it begins and ends is a line of standard output with the Unix time.
func ServeHost(addr, name string, work time.Duration) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	say := func(what, id string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(os.Stdout, "%.3f %s %s %s\n", float64(time.Now().UnixMicro())/1e6, name, what, id)
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-ID")
		if id == "" {
			http.Error(w, "no id", http.StatusNotFound)
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			say("incomplete", id)
			return
		}
		say(fmt.Sprintf("began(%d)", n), id)
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			say("called-off", id)
			return
		}
		io.WriteString(w, HostAnswer(id, name))
		say("done", id)
	}
	server := http.Server{Handler: http.HandlerFunc(handler), IdleTimeout: time.Minute}
	return server.Serve(ln)
}

// HostAnswer is the body of a host's answer.
func HostAnswer(id, name string) string { return "done " + id + " by " + name }

// IsAnswerTo reports whether a body is an answer that a host made for a request.
func IsAnswerTo(body, id string) bool { return strings.HasPrefix(body, "done "+id+" by ") }
