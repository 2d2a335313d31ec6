package http1

import (
	"container/list"
	"io"
	"maps"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dunemoor/internal/testutil"
)

// In a crowd of clients that send one request and keep their connections each one is served: room is made also while all
// connections have just been used.
func TestMoreKeepAliveClientsThanLimitAreServed(t *testing.T) {
	cfg := withHealthyHost(t)
	cfg.sockets = 64
	g := startGateway(t, cfg)
	for i := range 8 * g.server.conns.limit {
		if err := testutil.RoundTrip(g.dial()); err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
	}
}

// Connections are evicted in the order of their use: lingering ones, those without a request for a while, those idle for
// long, and then those that have just been accepted.
func TestEvictionOrder(t *testing.T) {
	table := &connTable{}
	names := map[*clientConn]string{}
	add := func(name string, queue *list.List, age time.Duration) {
		c := &clientConn{}
		names[c] = name
		table.open++
		table.enqueue(c, queue)
		c.queuedAt = c.queuedAt.Add(-age)
	}
	add("idle for a moment", &table.idle, -time.Minute) // queued in the future: no pause of the machine makes it old
	add("idle for long", &table.idle, 2*minIdleTime)
	table.idle.MoveToFront(table.idle.Back()) // queues are ordered by age
	add("silent for a while", &table.silent, 2*minSilentTime)
	add("just accepted", &table.silent, -time.Minute)
	add("lingering", &table.lingering, 0)
	for _, want := range []string{"lingering", "silent for a while", "idle for long", "just accepted", ""} {
		if want == "just accepted" {
			table.silent.Front().Value.(*clientConn).queuedAt = time.Now()
		}
		got := ""
		if c := table.evict(); c != nil {
			got = names[c]
		}
		if got != want {
			t.Fatalf("evicted %q, want %q", got, want)
		}
	}
}

// Connections that have not been used for long, or ever, are closed in a crowd, and the crowd ends with that. Otherwise all
// other clients would need a connection for each request.
func TestUnusedConnectionsAreClosedNearLimit(t *testing.T) {
	cfg := withHealthyHost(t)
	cfg.sockets = 128
	g := startGateway(t, cfg)
	table := &g.server.conns
	freezeClock(table, maxSilentTimeNearLimit/2)
	for i := 0; !table.nearLimit(); i++ {
		if i > table.limit {
			t.Fatalf("no crowd after %d connections", i)
		}
		table.mu.Lock()
		for _, queue := range []*list.List{&table.idle, &table.silent} {
			setAge(table, queue, maxSilentTimeNearLimit/4)
		}
		disableTimeouts(&table.silent)
		table.mu.Unlock()
		if c := g.dial(); i%2 == 0 {
			if err := testutil.RoundTrip(c); err != nil {
				t.Fatal(err)
			}
		} else {
			testutil.WaitUntil(t, "the connection is accepted", func() bool { return g.server.ConnCounts().Silent > i/2 })
		}
	}
	table.mu.Lock()
	for _, queue := range []*list.List{&table.idle, &table.silent} {
		setAge(table, queue, minIdleTime)
	}
	table.mu.Unlock()
	for i := 0; table.nearLimit(); i++ {
		if i > 2*table.limit {
			t.Fatalf("still a crowd after %d more connections", i)
		}
		g.send("look", "/api/1", "") // on a connection of its own
	}
}

// setAge sets the age of all connections in a queue, however long the test has taken so far; the table's mu is held.
func setAge(table *connTable, queue *list.List, age time.Duration) {
	for e := queue.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).queuedAt = table.now().Add(-age)
	}
}

// disableTimeouts takes the read deadlines off the connections in a queue; the table's mu is held.
func disableTimeouts(queue *list.List) {
	for e := queue.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).SetReadDeadline(time.Time{})
	}
}

// makeAllExpired makes all connections without a request old enough to be closed; the table's mu is held.
func makeAllExpired(table *connTable) {
	for _, queue := range []*list.List{&table.silent, &table.idle} {
		for e := queue.Front(); e != nil; e = e.Next() {
			e.Value.(*clientConn).queuedAt = time.Time{}
		}
	}
}

// freezeClock stops the clock of a table after some time, so that no pause of the machine makes a connection older.
func freezeClock(table *connTable, after time.Duration) {
	start := time.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	table.clock = func() time.Time { return start.Add(min(time.Since(start), after)) }
}

// Hundreds of connections without a request leave descriptors for those with one, at the smallest limit in service. So do
// connections that are idle for long, but none that has just been used is closed.
func TestSilentConnectionsLeaveRoomForRequests(t *testing.T) {
	cfg := withHealthyHost(t)
	cfg.sockets = 256
	g := startGateway(t, cfg)
	table := &g.server.conns
	freezeClock(table, minIdleTime/2)
	used := 0
	for range table.limit * nearLimitPercent / 100 {
		if err := testutil.RoundTrip(g.dial()); err != nil {
			t.Fatal(err)
		}
		used++
	}
	testutil.WaitUntil(t, "all connections that have been used are idle", func() bool { return g.server.ConnCounts().Idle == used })
	for i := range 600 {
		table.mu.Lock()
		setAge(table, &table.idle, minIdleTime/4)
		table.mu.Unlock()
		g.dial()
		if i%20 == 0 {
			if err := testutil.RoundTrip(g.dial()); err != nil {
				t.Fatalf("a new client among %d silent ones: %v", i, err)
			}
		}
		if n := g.server.ConnCounts().Open; n > table.hardLimit {
			t.Fatalf("%d connections are open, want at most %d", n, table.hardLimit)
		}
	}
	if kept := g.server.ConnCounts().Idle; kept < used {
		t.Errorf("%d of %d connections that have just been used are open, want all", kept, used)
	}
	table.mu.Lock()
	setAge(table, &table.idle, minIdleTime)
	before := table.idle.Len()
	table.mu.Unlock()
	// Without silent connections, each new connection evicts an idle one. Some of those dialed above may still be accepted
	// meanwhile.
	for range 2 * cfg.sockets {
		table.mu.Lock()
		for table.silent.Len() > 0 {
			table.enqueue(table.silent.Front().Value.(*clientConn), nil)
		}
		left := table.idle.Len()
		table.mu.Unlock()
		if left < before {
			return
		}
		g.dial()
		time.Sleep(testutil.PollInterval)
	}
	t.Error("connections that are idle for long are not evicted")
}

// A connection that waits for a request has no buffer, so that thousands cost little memory.
func TestIdleConnectionHasNoBuffer(t *testing.T) {
	g := startGateway(t, withHealthyHost(t))
	const conns = 4
	for range conns {
		if err := testutil.RoundTrip(g.dial()); err != nil {
			t.Fatal(err)
		}
	}
	table := &g.server.conns
	idleWithoutBuffer := func() (n int) {
		table.mu.Lock()
		defer table.mu.Unlock()
		for e := table.idle.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*clientConn); c.in.buf == nil { // its goroutine waits
				n++
			}
		}
		return n
	}
	testutil.WaitUntil(t, "all are idle without a buffer", func() bool { return idleWithoutBuffer() == conns })
}

// closeMethods are the ways in which connections without a request are closed; the table's mu is held.
var closeMethods = map[string]func(table *connTable){
	"evicted": func(table *connTable) {
		limit := table.limit
		table.limit = 0
		if c := table.evict(); c != nil {
			c.SetReadDeadline(deadlinePassed) // as add does
		}
		table.limit = limit
	},
	"drained": func(table *connTable) { table.closeWaitingLocked() },
}

// A request that has arrived but is not read when its connection is to be closed is answered, and ends its connection. So
// is one that arrives as its connection times out.
func TestUnreadRequestIsServedWhenConnectionCloses(t *testing.T) {
	closeMethods := maps.Clone(closeMethods)
	closeMethods["timed out"] = func(table *connTable) { table.silent.Front().Value.(*clientConn).SetReadDeadline(deadlinePassed) }
	for name, closeConns := range closeMethods {
		g := startGateway(t, withHealthyHost(t))
		s := g.server
		testutil.RoundTrip(g.dial()) // Serve runs after that, and has made its watcher
		testutil.WaitUntil(t, "the connection is idle", func() bool { return s.ConnCounts().Idle == 1 })
		// The goroutine of this connection is started when all has happened.
		client, c := acceptPair(t)
		client.SetDeadline(time.Now().Add(testutil.WaitTimeout))
		if err := s.watcher.add(c); err != nil || !s.conns.add(c) {
			t.Fatalf("%s: add the connection: %v", name, err)
		}
		io.WriteString(client, closingRequest())
		testutil.WaitUntil(t, "the request has arrived", func() bool { return queuedBytes(t, c.TCPConn, unix.TIOCINQ) > 0 })
		s.conns.mu.Lock()
		makeAllExpired(&s.conns)
		closeConns(&s.conns)
		s.conns.mu.Unlock()
		go s.serveConn(c)
		if err := readLastResponse(client); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		client.Close()
		testutil.WaitUntil(t, name+": only idle connections count", func() bool {
			s.conns.mu.Lock()
			defer s.conns.mu.Unlock()
			return s.conns.open == s.conns.idle.Len() && s.conns.evicting == 0
		})
	}
}

// A request that has been read when its connection is to be closed is answered.
func TestReadRequestIsServedWhenConnectionCloses(t *testing.T) {
	for name, closeConns := range closeMethods {
		g := startGateway(t, withHealthyHost(t))
		table := &g.server.conns
		client := g.dialWithTimeout()
		if err := testutil.RoundTrip(client); err != nil {
			t.Fatal(err)
		}
		testutil.WaitUntil(t, "the connection is idle", func() bool { return g.server.ConnCounts().Idle == 1 })
		c := g.server.watcher.open()[0]
		table.mu.Lock() // the connection can't become active
		io.WriteString(client, testutil.LookRequest(testutil.NewID()))
		testutil.WaitUntil(t, "the request is read", func() bool {
			return queuedBytes(t, client.(*net.TCPConn), unix.TIOCOUTQ) == 0 && queuedBytes(t, c.TCPConn, unix.TIOCINQ) == 0
		})
		makeAllExpired(table)
		closeConns(table)
		table.mu.Unlock()
		if err := readLastResponse(client); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		client.Close()
		testutil.WaitUntil(t, name+": no connection counts", func() bool {
			table.mu.Lock()
			defer table.mu.Unlock()
			return table.open == 0 && table.evicting == 0
		})
	}
}

// A request after the end of a connection reaches no host, and does not reset the connection while what the client sends is
// still read: the client sees a regular end.
func TestRequestAfterCloseIsDiscarded(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startGateway(t, withHosts(host))
	table := &g.server.conns
	for name, closeConns := range closeMethods {
		for _, first := range []bool{true, false} {
			client := g.dialWithTimeout()
			if !first {
				if err := testutil.RoundTrip(client); err != nil {
					t.Fatal(err)
				}
			}
			testutil.WaitUntil(t, "the connection waits", func() bool {
				counts := g.server.ConnCounts()
				return counts.Silent+counts.Idle == 1
			})
			before, _, _ := host.Counts()
			table.mu.Lock()
			makeAllExpired(table)
			closeConns(table)
			table.mu.Unlock()
			if _, err := client.Read(make([]byte, 1)); err != io.EOF {
				t.Fatalf("%s, first request %t: got %v, want EOF", name, first, err)
			}
			io.WriteString(client, testutil.LookRequest(testutil.NewID()))
			client.(*net.TCPConn).CloseWrite()
			testutil.WaitUntil(t, "the connection is closed", func() bool { return g.server.ConnCounts().Open == 0 })
			if n, _, _ := host.Counts(); n != before {
				t.Errorf("%s, first request %t: the host got %d requests, want %d", name, first, n, before)
			}
		}
	}
}

// A client that has sent more before it reads its last response sees that response: the connection ends regularly, and not
// by a reset because of unread bytes.
func TestLastResponseIsReadDespiteUnreadBytes(t *testing.T) {
	host, release := newBlockingHost(t)
	g := startGateway(t, withHosts(host))
	client := g.dialWithTimeout()
	io.WriteString(client, closingRequest())
	testutil.WaitUntil(t, "the host has the request", func() bool { n, _, _ := host.Counts(); return n == 1 })
	io.WriteString(client, testutil.LookRequest(testutil.NewID()))
	c := g.server.watcher.open()[0]
	testutil.WaitUntil(t, "more has arrived", func() bool { return queuedBytes(t, c.TCPConn, unix.TIOCINQ) > 0 })
	socket := 0 // stays open when the server has closed its own descriptor
	if err := c.raw.Control(func(fd uintptr) { socket, _ = unix.Dup(int(fd)) }); err != nil || socket <= 0 {
		t.Fatalf("duplicate the socket: got %d, %v", socket, err)
	}
	defer unix.Close(socket)
	close(release)
	got, err := io.ReadAll(client)
	if err != nil || !strings.HasSuffix(string(got), "\r\n\r\ngood") {
		t.Errorf("got %q, %v, want a response and EOF", got, err)
	}
	client.Close()
	testutil.WaitUntil(t, "the connection is closed", func() bool { return g.server.ConnCounts().Open == 0 })
	if n, err := unix.IoctlGetInt(socket, unix.TIOCINQ); n != 0 || err != nil {
		t.Errorf("closed with %d unread bytes, %v, want 0", n, err)
	}
	if n, _, _ := host.Counts(); n != 1 {
		t.Errorf("the host got %d requests, want 1", n)
	}
}
