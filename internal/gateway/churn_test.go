package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"lynxspool"
	"lynxspool/internal/discovery"
)

// Hosts are replaced all day, each by a new id at the same address, in zones and of
// kinds that are ever new: a new host gets no connection of the old one, and once a
// host has gone nothing is kept of it. Ids of requests are ever new too. It guards
// against memory that grows with the length of the day.
func TestChurnLeavesNothingBehind(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "good")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	g := startGateway(t, testConfig())
	c := g.dial()
	member := func(i int, state string) discovery.Member {
		return discovery.Member{
			ID: fmt.Sprint("s-", i), Addr: strings.TrimPrefix(server.URL, "http://"), State: state,
			Zone: fmt.Sprint("zone-", i), Kind: fmt.Sprint("kind-", i),
		}
	}
	replaced := 0
	replace := func(times int) {
		for range times {
			list := []discovery.Member{member(replaced+1, "ready")}
			if replaced > 0 {
				list = append(list, member(replaced, "gone"))
			}
			replaced++
			g.loop.Members(lynxspool.ListChanges, discovery.MemberList{Servers: list})
			if err := asked(c); err != nil {
				t.Fatal(err)
			}
			if n := connections.Load(); n != int64(replaced) {
				t.Fatalf("%d connections to %d hosts", n, replaced)
			}
		}
	}
	heap := func() uint64 {
		runtime.GC()
		runtime.GC() // what the first one has freed for pools
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	replace(1000)
	before := heap()
	replace(3000)
	// A host of the module alone takes more than 200 bytes, and one of ours as much.
	if after := heap(); after > before+3000*100 {
		t.Errorf("the heap went from %d to %d bytes over 3000 hosts", before, after)
	}
	g.loop.pool.mu.Lock()
	defer g.loop.pool.mu.Unlock()
	if p := g.loop.pool; p.open > 1 || len(p.idle) > 1 {
		t.Errorf("%d connections are open, idle ones to %d hosts", p.open, len(p.idle))
	}
	kept := make(chan []int, 1)
	g.loop.post(func(lynxspool.Time) {
		kept <- []int{len(g.loop.hosts), len(g.loop.open), len(g.loop.zones.other), len(g.loop.kinds.other)}
	})
	got := <-kept
	if got[0] != 1 || got[1] > 1 || got[2] > namesSpare+1 || got[3] > namesSpare+1 {
		t.Errorf("kept: hosts, requests, zones, kinds %v", got)
	}
}

// A name that is forgotten gets a new number, never that of another: attempts of hosts
// in the old zone may still be out, and a keyed request must not leave its group.
func TestNumbersAreNotGivenTwice(t *testing.T) {
	n := newNumbers(map[string]int{"a": 0})
	seen := map[int]string{0: "a"}
	for i := range 1000 {
		name := fmt.Sprint("zone-", i)
		k := n.number(name)
		if other, twice := seen[k]; twice {
			t.Fatalf("%s has the number of %s", name, other)
		}
		seen[k] = name
		if n.number(name) != k || n.number("a") != 0 {
			t.Fatal("a number has changed")
		}
		n.forget(nil, nil)
	}
	if len(n.other) > namesSpare {
		t.Errorf("%d numbers are kept", len(n.other))
	}
}
