package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"dunemoor/internal/testutil"
)

// What is turned away and what is held is told, by cause, over the second address.
func TestStatus(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, strings.Replace(head, "[[listener]]", "[limits.client]\nrate = 0.001\nburst = 3.0\n[[listener]]", 1)+
		poolText("p", "", host.Addr())+routeText("r", "pool = \"p\"\nclass = \"lookup\"\nmax_body = \"1MiB\""))
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	g.Admin(ln, nil)
	status := func() (s Status) {
		t.Helper()
		resp, text := fetch(t, "GET", "http://"+ln.Addr().String()+"/admin/status", "")
		if err := json.Unmarshal([]byte(text), &s); err != nil || resp.Header.Get("Content-Type") != "application/json" {
			t.Fatalf("%s: %v", text, err)
		}
		return s
	}
	if s := status(); !s.Ready || s.State != "serving" || s.Bodies["requests"].Used != 0 || s.Refused["client rate"] != 0 || s.Clients.Open != 0 || s.Loop != (Delay{}) {
		t.Errorf("at rest: %+v", s)
	}
	const most = 60 << 10
	c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nhalf", most)
	testutil.WaitUntil(t, "a body is held", func() bool { s := status(); return s.Bodies["requests"].Used == most && s.Clients.Open == 1 })
	io.WriteString(c, strings.Repeat("x", most-len("half")))
	testutil.WaitUntil(t, "it is given back", func() bool { s := status(); return s.Bodies["requests"].Used == 0 && s.Clients.Idle == 1 })
	for range 4 {
		fetch(t, "GET", g.urls[0]+"/", "")
	}
	if s := status(); s.Loop.Max == 0 || s.Loop.P99 > s.Loop.Max || s.Loop.P50 > s.Loop.P99 {
		t.Errorf("requests waited %+v for the loop", s.Loop)
	}
	if s := status(); s.Refused["client rate"] != 2 || s.Refused["overload"] != 0 || len(s.Bodies) != 3 || s.Bodies["flows"].Max == 0 {
		t.Errorf("after two refusals: %+v", s)
	}
	// Who waits to be asked for a body and is turned away ends with the answer: what comes then
	// may be the body or the next request.
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	in := bufio.NewReader(c)
	for _, want := range []int{200, 429} { // the first is of the body above
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != want || resp.Close != (want == 429) {
			t.Fatalf("%+v, %v, want %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
	}
	g.Quiesce()
	if s := status(); s.Ready || s.State == "serving" {
		t.Errorf("draining: %+v", s)
	}
	resp, err := http.Post("http://"+ln.Addr().String()+"/admin/status", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("POST: %d", resp.StatusCode)
	}
}
