package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const patience = 20 * time.Second // for a condition: long, as machines are noisy

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("gave up waiting: %s", what)
		}
	}
}

func node(t *testing.T, b Behaviour) (*Node, *Ledger) {
	t.Helper()
	l := NewLedger()
	n, err := StartNode("s-0", "0", l, 1, b)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Crash)
	return n, l
}

// raw sends one request by hand and returns what comes back until the end, and how that was.
func raw(t *testing.T, n *Node, l *Ledger, id string) (string, error) {
	t.Helper()
	l.Asked(id, ClientRequest{Class: "book", Effect: NonIdempotent})
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		return "", err
	}
	defer c.Close()
	io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi")
	c.SetReadDeadline(time.Now().Add(patience))
	var got []byte
	buf := make([]byte, 512)
	for {
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		if err != nil || strings.HasSuffix(string(got), Answer(id)) || strings.HasSuffix(string(got), "\r\n\r\n") && strings.Contains(string(got), "Length: 0") {
			if err == io.EOF {
				err = nil
			}
			return string(got), err
		}
	}
}

// Each mode does on the socket what it says, and the ledger has what ran.
func TestModes(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ndone x"
	for _, c := range []struct {
		name   string
		b      Behaviour
		want   string
		broken bool
		runs   int
	}{
		{"healthy", Behaviour{}, whole, false, 1},
		{"full", Behaviour{Mode: Full}, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, 0},
		{"errors", Behaviour{Mode: Errors}, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", false, 1},
		{"close at 10", Behaviour{Mode: CloseAt, Byte: 10}, whole[:10], false, 1},
		{"close at 0", Behaviour{Mode: CloseAt}, "", false, 1},
		{"reset at 0", Behaviour{Mode: ResetAt}, "", true, 1},
	} {
		n, l := node(t, c.b)
		got, err := raw(t, n, l, "x")
		if got != c.want || (err != nil) != c.broken {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.want)
		}
		if count := l.Count(); count.Executions != c.runs {
			t.Errorf("%s: ran %d times, want %d", c.name, count.Executions, c.runs)
		}
	}
}

// A node that crashed refuses, and is back under its address; one request more than it
// has room for is turned away unseen.
func TestCrashAndQueue(t *testing.T) {
	n, l := node(t, Behaviour{})
	addr := n.Addr()
	n.Crash()
	if _, err := raw(t, n, l, "a"); err == nil {
		t.Error("a crashed node takes a connection")
	}
	if err := n.Start(); err != nil || n.Addr() != addr {
		t.Fatalf("%v, at %s, was at %s", err, n.Addr(), addr)
	}
	if _, err := raw(t, n, l, "b"); err != nil || n.startedMS() == 0 {
		t.Errorf("%v, started %d", err, n.startedMS())
	}
	n.Behave(Behaviour{Mode: Hang, Queue: 1})
	for _, id := range []string{"c", "d"} { // one hangs; the next hangs too, as hanging takes no core
		l.Asked(id, ClientRequest{})
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\n\r\n")
	}
	until(t, "two are held", func() bool { return n.held.Load() == 2 })
	if got, _ := raw(t, n, l, "e"); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("the third of two: %q", got)
	}
}

// The ledger tells what must not have happened.
func TestLedger(t *testing.T) {
	l := NewLedger()
	now := time.Now()
	ask := func(id string, e Idempotency) { l.Asked(id, ClientRequest{Class: "c", Effect: e, Window: time.Second}) }
	ask("safe", Idempotent)
	ask("once", NonIdempotent)
	ask("twice", NonIdempotent)
	ask("keyed", IdempotentWithKey)
	ask("outside", IdempotentWithKey)
	ask("late", IdempotentWithKey)
	ask("harm", NonIdempotent)
	ask("open", Idempotent)
	for _, r := range []struct {
		id, group string
		after     time.Duration
		dropped   bool
	}{
		{"safe", "0", 0, false}, {"safe", "1", 0, false}, {"once", "0", 0, false}, {"twice", "0", 0, false}, {"twice", "0", 0, false},
		{"keyed", "0", 0, false}, {"keyed", "0", time.Second, true}, {"outside", "0", 0, false}, {"outside", "1", 0, false},
		{"late", "0", 0, false}, {"late", "0", 1100 * time.Millisecond, false}, {"harm", "0", 0, false}, {"never", "0", 0, false},
	} {
		if got := l.Ran(Execution{ID: r.id, Group: r.group, At: now.Add(r.after)}); got != r.dropped {
			t.Errorf("%s: dropped %v", r.id, got)
		}
	}
	for _, id := range []string{"safe", "once", "twice", "keyed", "outside", "late"} {
		l.Ended(id, Served, 200, time.Millisecond)
	}
	l.Ended("harm", Rejected, 503, 0)
	l.Ended("harm", Served, 200, 0) // only the first end counts
	c := l.Count()
	if strings.Join(c.RanTwice, " ") != "late outside twice" || strings.Join(c.RejectedAfterExecution, " ") != "harm" || strings.Join(c.Unrequested, " ") != "never" {
		t.Errorf("twice %v, harm %v, stray %v", c.RanTwice, c.RejectedAfterExecution, c.Unrequested)
	}
	if c.Outcomes[Open] != 1 || l.Open() != 1 || c.Outcomes[Rejected] != 1 {
		t.Errorf("ends %v, %d open", c.Outcomes, l.Open())
	}
	for _, want := range []string{"3 ran twice", "1 refused though", "1 ran and were never", "1 never answered"} {
		if !strings.Contains(c.Violations(), want) {
			t.Errorf("%q lacks %q", c.Violations(), want)
		}
	}
	clean := NewLedger().Count()
	if s := clean.Violations(); s != "" {
		t.Errorf("an empty ledger: %q", s)
	}
}

// Straight to a node, clients see what it does, and judge what was made for another.
func TestLoad(t *testing.T) {
	n, l := node(t, Behaviour{Mode: Errors, Share: 0.25})
	load := Load{URL: "http://" + n.Addr(), Rate: 2000, Count: 200, Classes: DefaultClasses(), Seed: 3}
	if err := load.Run(context.Background(), l); err != nil {
		t.Fatal(err)
	}
	c := l.Count()
	if c.Requests != 200 || c.Outcomes[Served]+c.Outcomes[Failed] != 200 || c.Outcomes[Failed] < 20 || c.Outcomes[Failed] > 80 || c.Violations() != "" {
		t.Errorf("%+v, %s", c.Outcomes, c.Violations())
	}
	if judge(200, "done y", "x") != ConnectionLost || judge(429, "", "x") != Rejected || judge(502, "", "x") != Failed {
		t.Error("answers are judged wrongly")
	}
	for _, url := range []string{"http://10.0.0.1:80", "http://example.org:80", "http://[2001:db8::1]:80"} {
		bad := load
		bad.URL = url
		if err := bad.Run(context.Background(), NewLedger()); err == nil || !strings.Contains(err.Error(), "loopback") {
			t.Errorf("%s: %v", url, err)
		}
	}
	load.Count = loadMost + 1
	if load.Run(context.Background(), l) == nil {
		t.Error("a load without bounds is taken")
	}
}

// A watch brings the list and its changes; a silent discovery says nothing.
func TestDiscovery(t *testing.T) {
	f, err := StartFleet(4, 1, Behaviour{})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	resp, err := http.Get("http://" + f.Discovery.Addr() + "/catalog/members?stream=1&index=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	next := func() (list MemberList) {
		t.Helper()
		for lines.Scan() {
			if len(lines.Bytes()) == 0 {
				continue
			}
			if err := json.Unmarshal(lines.Bytes(), &list); err != nil {
				t.Fatal(err)
			}
			return list
		}
		t.Fatal("the watch has ended")
		return
	}
	if list := next(); len(list.Servers) != 4 || !list.Full || list.Servers[3].Cell != 1 || list.Servers[0].StartedMS != 0 {
		t.Errorf("%+v", list)
	}
	f.List(1, "draining")
	if list := next(); list.Servers[1].State != "draining" || list.Version != 2 {
		t.Errorf("%+v", list)
	}
	f.Discovery.Silence(true)
	f.List(1, "gone")
	f.Discovery.Silence(false)
	if list := next(); len(list.Servers) != 3 || list.Version != 3 {
		t.Errorf("%+v", list)
	}
	if f.Discovery.Watches() != 1 {
		t.Errorf("%d watches", f.Discovery.Watches())
	}
}
