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

	"dunemoor/balancer"
	"dunemoor/internal/discovery"
	"dunemoor/internal/testutil"
)

// Hosts are replaced many times by hosts with a new ID, zone and kind at the same address. A new host does
// not get a connection of the old one, and no memory is retained for removed hosts or request IDs.
func TestReplacedHostsLeaveNoMemory(t *testing.T) {
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
	c := dialURL(t, g.url)
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
			g.pool.UpdateEndpoints(balancer.ListChanges, discovery.MemberList{Servers: list})
			if err := testutil.RoundTrip(c); err != nil {
				t.Fatal(err)
			}
			if n := connections.Load(); n != int64(replaced) {
				t.Fatalf("%d connections, want %d, one to each host", n, replaced)
			}
		}
	}
	heap := func() uint64 {
		runtime.GC()
		runtime.GC() // frees the items of each sync.Pool, which the first collection moved to its victim cache
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	replace(1000)
	before := heap()
	replace(3000)
	// A host takes more than 200 bytes in the balancer, and as many in the transport.
	if after := heap(); after > before+3000*100 {
		t.Errorf("heap of %d bytes before 3000 hosts, %d after, want at most 100 bytes per host", before, after)
	}
	if n := g.pool.OpenRequests(); n > 1 {
		t.Errorf("%d requests open, want at most 1", n)
	}
}
