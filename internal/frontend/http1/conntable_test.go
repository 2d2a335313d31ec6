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

// Each of many clients that send one request and keep their connection open is served, although there are more of them
// than the connection limit and no connection has been idle for long enough to be evicted.
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

// Connections are evicted in this order: lingering ones, those without a request for minSilentTime, those idle for
// minIdleTime, and then those that have just been accepted.
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
	add("idle for a moment", &table.idle, -time.Minute) // queued in the future, so that a pause of the machine can't age it
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

// Near the connection limit, connections that have not been used for long, or at all, are closed until the table is no
// longer near its limit. Otherwise all other clients would need a new connection for each request.
func TestUnusedConnectionsAreClosedNearLimit(t *testing.T) {
	cfg := withHealthyHost(t)
	cfg.sockets = 128
	g := startGateway(t, cfg)
	table := &g.server.conns
	freezeClock(table, maxSilentTimeNearLimit/2)
	for i := 0; !table.nearLimit(); i++ {
		if i > table.limit {
			t.Fatalf("not near the limit after %d connections", i)
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
			t.Fatalf("still near the limit after %d more connections", i)
		}
		g.send("look", "/api/1", "") // each call opens a new connection
	}
}

// setAge sets the age of all connections in a queue, independent of how long the test has taken. The caller holds
// table.mu.
func setAge(table *connTable, queue *list.List, age time.Duration) {
	for e := queue.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).queuedAt = table.now().Add(-age)
	}
}

// disableTimeouts clears the read deadlines of all connections in a queue. The caller holds the mu of the queue's
// table.
func disableTimeouts(queue *list.List) {
	for e := queue.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).SetReadDeadline(time.Time{})
	}
}

// makeAllExpired makes all connections without a request old enough to be closed. The caller holds table.mu.
func makeAllExpired(table *connTable) {
	for _, queue := range []*list.List{&table.silent, &table.idle} {
		for e := queue.Front(); e != nil; e = e.Next() {
			e.Value.(*clientConn).queuedAt = time.Time{}
		}
	}
}

// freezeClock stops the clock of a table after the given time, so that connections don't age further if the machine
// pauses the test.
func freezeClock(table *connTable, after time.Duration) {
	start := time.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	table.clock = func() time.Time { return start.Add(min(time.Since(start), after)) }
}

// Hundreds of connections without a request don't prevent new clients from being served, with 256 file descriptors. No
// recently used connection is closed in favor of them. Connections that have been idle for minIdleTime are evicted.
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
	testutil.WaitUntil(t, "all used connections are idle", func() bool { return g.server.ConnCounts().Idle == used })
	for i := range 600 {
		table.mu.Lock()
		setAge(table, &table.idle, minIdleTime/4)
		table.mu.Unlock()
		g.dial()
		if i%20 == 0 {
			if err := testutil.RoundTrip(g.dial()); err != nil {
				t.Fatalf("a new client with %d silent connections open: %v", i, err)
			}
		}
		if n := g.server.ConnCounts().Open; n > table.hardLimit {
			t.Fatalf("got %d open connections, want at most %d", n, table.hardLimit)
		}
	}
	if kept := g.server.ConnCounts().Idle; kept < used {
		t.Errorf("got %d of %d recently used connections open, want all", kept, used)
	}
	table.mu.Lock()
	setAge(table, &table.idle, minIdleTime)
	before := table.idle.Len()
	table.mu.Unlock()
	// Without silent connections, each new connection evicts an idle one. Some of the connections dialed above may be
	// accepted only now, so the queue is emptied in each round.
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
	t.Error("connections that have been idle for minIdleTime are not evicted")
}

// A connection that waits for a request has no buffer, so that thousands of idle connections use little memory.
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
			if c := e.Value.(*clientConn); c.in.buf == nil { // buf is not written now: the connection's goroutine waits
				n++
			}
		}
		return n
	}
	testutil.WaitUntil(t, "all connections are idle without a buffer", func() bool { return idleWithoutBuffer() == conns })
}

// closeMethods are the ways in which the table closes connections without a request. The caller holds table.mu.
var closeMethods = map[string]func(table *connTable){
	"evicted": func(table *connTable) {
		limit := table.limit
		table.limit = 0
		if c := table.evict(); c != nil {
			c.SetReadDeadline(deadlinePassed) // connTable.add sets the same deadline
		}
		table.limit = limit
	},
	"drained": func(table *connTable) { table.closeWaitingLocked() },
}

// A request that has arrived but has not been read when the table closes its connection is answered, and the connection
// is closed after the response. The same holds for a request that arrives when the read deadline of its connection
// passes.
func TestUnreadRequestIsServedWhenConnectionCloses(t *testing.T) {
	closeMethods := maps.Clone(closeMethods)
	closeMethods["timed out"] = func(table *connTable) { table.silent.Front().Value.(*clientConn).SetReadDeadline(deadlinePassed) }
	for name, closeConns := range closeMethods {
		g := startGateway(t, withHealthyHost(t))
		s := g.server
		testutil.RoundTrip(g.dial()) // ensures that Serve is running and has created the watcher
		testutil.WaitUntil(t, "the connection is idle", func() bool { return s.ConnCounts().Idle == 1 })
		// The goroutine of this connection is started only after the table has closed it.
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
		testutil.WaitUntil(t, name+": only idle connections are counted", func() bool {
			s.conns.mu.Lock()
			defer s.conns.mu.Unlock()
			return s.conns.open == s.conns.idle.Len() && s.conns.evicting == 0
		})
	}
}

// A request that has already been read when the table closes its connection is answered.
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
		table.mu.Lock() // prevents the connection from becoming active
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
		testutil.WaitUntil(t, name+": no connection is counted", func() bool {
			table.mu.Lock()
			defer table.mu.Unlock()
			return table.open == 0 && table.evicting == 0
		})
	}
}

// A request that is sent after the gateway has closed the connection is not forwarded to a host, and does not cause a
// reset while lingeringClose reads and discards input: the client sees a regular close.
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
			testutil.WaitUntil(t, "the connection waits for a request", func() bool {
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
				t.Errorf("%s, first request %t: host received %d requests, want %d", name, first, n, before)
			}
		}
	}
}

// A client that has sent further bytes before it reads its last response can read that response. If the gateway closed
// the connection with these bytes unread, the kernel would reset it.
func TestLastResponseIsReadDespiteUnreadBytes(t *testing.T) {
	host, release := newBlockingHost(t)
	g := startGateway(t, withHosts(host))
	client := g.dialWithTimeout()
	io.WriteString(client, closingRequest())
	testutil.WaitUntil(t, "the host has received the request", func() bool { n, _, _ := host.Counts(); return n == 1 })
	io.WriteString(client, testutil.LookRequest(testutil.NewID()))
	c := g.server.watcher.open()[0]
	testutil.WaitUntil(t, "further bytes have arrived", func() bool { return queuedBytes(t, c.TCPConn, unix.TIOCINQ) > 0 })
	socket := 0 // duplicate that stays open after the server has closed its own descriptor
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
		t.Errorf("got %d unread bytes at the close, error %v, want 0", n, err)
	}
	if n, _, _ := host.Counts(); n != 1 {
		t.Errorf("host received %d requests, want 1", n)
	}
}
