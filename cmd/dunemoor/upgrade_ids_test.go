package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// The id of a request that the old process has had, and whose client has left, is rejected by the new process of an upgrade.
func TestIDOfOldProcessIsRejectedByNewProcess(t *testing.T) {
	var runs atomic.Int64
	arrived := make(chan struct{}, 2)
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			runs.Add(1)
			arrived <- struct{}{}
		}
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer host.Close()
	defer host.CloseClientConnections()
	config := configWithDiscovery(t, strings.TrimPrefix(host.URL, "http://"))
	u := newUpgrades(t)
	old, _ := u.startReady(t, config)
	const request = "POST /api/1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: once-1\r\nX-Priority-Class: book\r\nX-Timeout: 2\r\nContent-Length: 1\r\n\r\nx"
	send := func() net.Conn {
		c, err := net.Dial("tcp", u.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, request)
		return c
	}
	first := send()
	<-arrived
	first.Close()
	u.startReady(t, config)
	old.Process.Kill()
	<-old.exited
	second := send()
	defer second.Close()
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil || response.StatusCode != http.StatusConflict || runs.Load() != 1 {
		t.Errorf("got response %s, error %v, %d runs, want 409 and one run", fmt.Sprint(response), err, runs.Load())
	}
}
