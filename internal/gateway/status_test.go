package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"dunemoor/internal/testutil"
)

// The status page reports rejections by reason and body bytes by purpose.
func TestStatusReportsBodiesAndRejections(t *testing.T) {
	host := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, strings.Replace(baseConfig, "[[listener]]", "[limits.client]\nrate = 0.001\nburst = 3.0\n[[listener]]", 1)+
		poolConfig("p", "", host.Addr())+routeConfig("r", "pool = \"p\"\nclass = \"lookup\"\nmax_body = \"1MiB\""))
	ln := testutil.Listen(t, "127.0.0.1:0", nil)
	g.ServeAdmin(ln, nil)
	status := func() (s Status) {
		t.Helper()
		resp, text := fetch(t, "GET", "http://"+ln.Addr().String()+"/admin/status", "")
		if err := json.Unmarshal([]byte(text), &s); err != nil || resp.Header.Get("Content-Type") != "application/json" {
			t.Fatalf("status page %s: error %v, want JSON", text, err)
		}
		return s
	}
	if s := status(); !s.Ready || s.State != "serving" || s.Bodies["requests"].Used != 0 || s.Refused["client rate"] != 0 || s.Clients.Open != 0 || s.Loop != (Delay{}) {
		t.Errorf("status %+v without requests, want serving with zeros", s)
	}
	const bodyBytes = 60 << 10
	c := dialURL(t, g.urls[0])
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nhalf", bodyBytes)
	testutil.WaitUntil(t, "a buffered body", func() bool { s := status(); return s.Bodies["requests"].Used == bodyBytes && s.Clients.Open == 1 })
	io.WriteString(c, strings.Repeat("x", bodyBytes-len("half")))
	testutil.WaitUntil(t, "the body released", func() bool { s := status(); return s.Bodies["requests"].Used == 0 && s.Clients.Idle == 1 })
	for range 4 {
		fetch(t, "GET", g.urls[0]+"/", "")
	}
	if s := status(); s.Loop.Max == 0 || s.Loop.P99 > s.Loop.Max || s.Loop.P50 > s.Loop.P99 {
		t.Errorf("loop delays %+v, want ordered quantiles above 0", s.Loop)
	}
	if s := status(); s.Refused["client rate"] != 2 || s.Refused["overload"] != 0 || len(s.Bodies) != 3 || s.Bodies["flows"].Max == 0 {
		t.Errorf("status %+v after two rejections, want them by client rate", s)
	}
	// The connection of a rejected client that waits for a 100 is closed after the response, as the bytes
	// that follow could be the body or another request.
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	in := bufio.NewReader(c)
	for _, want := range []int{200, 429} { // the first response is to the body above
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != want || resp.Close != (want == 429) {
			t.Fatalf("response %+v, error %v, want %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
	}
	g.Quiesce()
	if s := status(); s.Ready || s.State == "serving" {
		t.Errorf("status %+v during a drain, want it not ready", s)
	}
	resp, err := http.Post("http://"+ln.Addr().String()+"/admin/status", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("POST: status %d, want 405", resp.StatusCode)
	}
}
