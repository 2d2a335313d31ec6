package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dunemoor/internal/testutil"
)

// Streams that are open during a reload continue until their regular end.
func TestStreamsContinueAcrossReload(t *testing.T) {
	next := make(chan struct{})
	addr, requests := startHTTPHost(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			fmt.Fprintf(w, "data: %d\n\n", i)
			w.(http.Flusher).Flush()
			if i < 2 {
				<-next
			}
		}
	})
	other := testutil.NewHost(t, testutil.RespondWith(testutil.OKResponse))
	g := startAppliance(t, strings.Replace(singleRouteConfig("stream = true", addr), "timeout = \"15s\"", "timeout = \"1s\"", 1))
	var streams []*bufio.Reader
	for range 10 {
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		streams = append(streams, bufio.NewReader(resp.Body))
	}
	expectEvent := func(want string) {
		t.Helper()
		for i, s := range streams {
			if line, err := s.ReadString('\n'); err != nil || line != "data: "+want+"\n" {
				t.Fatalf("stream %d: line %q, error %v, want event %s", i, line, err, want)
			}
			s.ReadString('\n')
		}
	}
	expectEvent("0")
	if requests.Load() != 10 {
		t.Errorf("%d requests at the host, want 10", requests.Load())
	}
	if err := g.Reload(t.Context(), mustParse(t, baseConfig+poolConfig("q", "", other.Addr())+routeConfig("r", "pool = \"q\"\nclass = \"lookup\""))); err != nil {
		t.Fatal(err)
	}
	if resp, text := fetch(t, "GET", g.urls[0]+"/", ""); resp.StatusCode != 200 || text != "good" {
		t.Errorf("after the reload: status %d, body %q, want 200 and body good", resp.StatusCode, text)
	}
	time.Sleep(1200 * time.Millisecond) // longer than the timeout of the route, which covers only the header section
	for range 10 {
		next <- struct{}{}
	}
	expectEvent("1")
	for range 10 {
		next <- struct{}{}
	}
	expectEvent("2")
	for i, s := range streams {
		if _, err := s.ReadByte(); err != io.EOF {
			t.Errorf("end of stream %d: error %v, want EOF", i, err)
		}
	}
}

// sendFirstEvent sends one event and then nothing until the client disconnects.
func sendFirstEvent(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, "data: 1\n\n")
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// Streams that are still open at the end of a shutdown are terminated in a way that their clients detect.
func TestStreamsAreCutAtExit(t *testing.T) {
	addr, _ := startHTTPHost(t, sendFirstEvent)
	g := startAppliance(t, singleRouteConfig("stream = true", addr))
	var streams []io.ReadCloser
	for range 10 {
		resp, err := http.Get(g.urls[0] + "/")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, 9)); err != nil {
			t.Fatal(err)
		}
		streams = append(streams, resp.Body)
	}
	done := make(chan struct{})
	go func() {
		g.Stop(time.Second)
		g.Gateway.Close() // closes the connections like the exit of the process
		close(done)
	}()
	for i, s := range streams {
		if _, err := io.Copy(io.Discard, s); err == nil {
			t.Errorf("stream %d ends without an error, want one", i)
		}
		s.Close()
	}
	<-done
}

// A stream to an HTTP/1.0 client, whose response is delimited by the end of the connection, is reset at the
// end of a shutdown.
func TestHTTP10StreamIsResetAtExit(t *testing.T) {
	addr, _ := startHTTPHost(t, sendFirstEvent)
	g := startAppliance(t, singleRouteConfig("stream = true", addr))
	c := dialURL(t, g.urls[0])
	c.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	io.WriteString(c, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	in := bufio.NewReader(c)
	for line := ""; line != "data: 1\n"; {
		var err error
		if line, err = in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan struct{})
	go func() {
		g.Stop(time.Second)
		g.Gateway.Close() // closes the connections like the exit of the process
		close(done)
	}()
	if _, err := io.Copy(io.Discard, in); err == nil {
		t.Error("the stream ends without an error, want one")
	}
	<-done
}
