package fakes

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// startNode starts a node with an empty ledger.
func startNode(t *testing.T, b Behaviour) (*Node, *Ledger) {
	t.Helper()
	l := NewLedger()
	n, err := StartNode("s-0", "0", l, 1, b)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n, l
}

// sendRaw sends one request on a new connection, and returns the response and the error of reading it.
func sendRaw(t *testing.T, n *Node, l *Ledger, id string) (string, error) {
	t.Helper()
	l.RecordRequest(id, ClientRequest{Class: "book", Idempotency: NonIdempotent})
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		return "", err
	}
	defer c.Close()
	io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")
	c.SetReadDeadline(time.Now().Add(testutil.WaitTimeout))
	var got []byte
	buf := make([]byte, 512)
	for {
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		if err != nil || strings.HasSuffix(string(got), ResponseBody(id)) || strings.HasSuffix(string(got), "\r\n\r\n") && strings.Contains(string(got), "Length: 0") {
			if err == io.EOF {
				err = nil
			}
			return string(got), err
		}
	}
}

// Each mode produces its response on the socket, and its number of executions in the ledger.
func TestNodeModes(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ndone x"
	for _, c := range []struct {
		name       string
		behaviour  Behaviour
		want       string
		wantError  bool
		executions int
	}{
		{"healthy", Behaviour{}, response, false, 1},
		{"full", Behaviour{Mode: Full}, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, 0},
		{"errors", Behaviour{Mode: Errors}, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", false, 1},
		{"close at 10", Behaviour{Mode: CloseAt, ResponseBytes: 10}, response[:10], false, 1},
		{"close at 0", Behaviour{Mode: CloseAt}, "", false, 1},
		{"reset at 0", Behaviour{Mode: ResetAt}, "", true, 1},
	} {
		n, l := startNode(t, c.behaviour)
		got, err := sendRaw(t, n, l, "x")
		if got != c.want || (err != nil) != c.wantError {
			t.Errorf("%s: got %q, error %v; want %q, error %v", c.name, got, err, c.want, c.wantError)
		}
		if count := l.Count(); count.Executions != c.executions {
			t.Errorf("%s: got %d executions, want %d", c.name, count.Executions, c.executions)
		}
	}
}

// Nobody else gets the port of a crashed node, such as an outgoing connection whose local port the system selects. Guards
// against restarts that fail with "address already in use".
func TestCrashedNodeKeepsItsPort(t *testing.T) {
	n, _ := startNode(t, Behaviour{})
	other, _ := startNode(t, Behaviour{})
	local, err := net.ResolveTCPAddr("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	n.Crash()
	c, err := (&net.Dialer{LocalAddr: local}).Dial("tcp", other.Addr())
	if err == nil {
		defer c.Close()
	}
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("connection from the port of a crashed node: got error %v, want %v", err, syscall.EADDRINUSE)
	}
	if err := n.Start(); err != nil {
		t.Errorf("restart: got error %v, want none", err)
	}
}

// A crashed node refuses connections, and listens on the same address after a restart. A node rejects requests when its
// queue is full.
func TestNodeCrashAndFullQueue(t *testing.T) {
	n, l := startNode(t, Behaviour{})
	addr := n.Addr()
	n.Crash()
	if _, err := sendRaw(t, n, l, "a"); err == nil {
		t.Error("crashed node: got a connection")
	}
	if err := n.Start(); err != nil || n.Addr() != addr {
		t.Fatalf("restart: got error %v, address %s, want %s", err, n.Addr(), addr)
	}
	if _, err := sendRaw(t, n, l, "b"); err != nil || n.startedMS() == 0 {
		t.Errorf("after a restart: got error %v, start time %d, want no error and a start time", err, n.startedMS())
	}
	testutil.WaitUntil(t, "the node has finished request b", func() bool { return n.inFlight.Load() == 0 })
	n.Behave(Behaviour{Mode: Hang, MaxQueued: 1})
	for _, id := range []string{"c", "d"} { // both hang, as a request in mode Hang occupies no core after its execution
		l.RecordRequest(id, ClientRequest{})
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\n\r\n")
	}
	testutil.WaitUntil(t, "two requests in flight", func() bool { return n.inFlight.Load() == 2 })
	if got, _ := sendRaw(t, n, l, "e"); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("request beyond the queue: got %q, want a 503", got)
	}
}
