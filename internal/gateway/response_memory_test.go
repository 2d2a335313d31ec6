package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"dunemoor/internal/fastcgi"
	"dunemoor/internal/testutil"
)

// liveHeap returns the bytes of the heap that are still referenced.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // the first one keeps what is in a sync.Pool
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Many clients wait for the rest of long responses of which they have received the start. The gateway keeps no more memory
// for them than the shares of its limit that are for responses and stream buffers: the start of each response, up to half a
// MiB, is not kept until its end. Guards against a gateway that is killed for its memory while clients are slow.
func TestMemoryOfLongResponsesStaysWithinLimit(t *testing.T) {
	const (
		memoryMB      = 64
		clients       = 64
		startBytes    = 512 << 10 // what a client reads, as much as the gateway buffers
		sentBytes     = 600 << 10 // what the host sends of each response
		responseBytes = 1 << 20
	)
	text := strings.Repeat("x", sentBytes)
	testDone := make(chan struct{})
	addr := startRawHost(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", responseBytes, text)
		<-testDone
	})
	file := strings.Replace(baseConfig, "sockets = 1024\n", fmt.Sprintf("sockets = 1024\nmemory_mb = %d\n", memoryMB), 1) +
		poolConfig("p", "", addr) + routeConfig("r", `pool = "p"`) + fastCGIListener
	for name, request := range map[string]func(a *testAppliance) (addr string, text []byte){
		"HTTP": func(a *testAppliance) (string, []byte) {
			return strings.TrimPrefix(a.urls[0], "http://"), fmt.Appendf(nil,
				"GET /api/1 HTTP/1.1\r\nHost: a\r\nX-Priority-Class: lookup\r\nX-Timeout: 15\r\nX-Request-ID: %s\r\n\r\n", testutil.NewID())
		},
		"FastCGI": func(a *testAppliance) (string, []byte) {
			return a.fastCGIAddr(), fastCGIRequest(1, fastcgi.KeepConn, fastCGIParams("GET", "/api/1",
				"HTTP_X_PRIORITY_CLASS", "lookup", "HTTP_X_TIMEOUT", "15", "HTTP_X_REQUEST_ID", testutil.NewID()), "", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := startAppliance(t, file)
			before := liveHeap()
			for range clients {
				addr, text := request(a)
				c := dialURL(t, "http://"+addr)
				c.Write(text)
				if n, err := io.CopyN(io.Discard, c, startBytes); err != nil {
					t.Fatalf("read %d bytes of a response: %v", n, err)
				}
			}
			testutil.WaitUntil(t, "the starts of all responses released", func() bool {
				return a.Status().(Status).Bodies["answers"].Used == 0
			})
			status := a.Status().(Status)
			limit := status.Bodies["answers"].Max + status.Bodies["flows"].Max
			if used := liveHeap() - before; used > limit {
				t.Errorf("%d long responses hold %d bytes, want at most %d", clients, used, limit)
			}
		})
	}
	close(testDone)
}
