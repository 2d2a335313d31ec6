package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor-review/kit"
)

const (
	uploadHosts   = 6 // one of them hangs: 17 %
	uploadHang    = 15 * time.Second
	uploadTimeout = 3 * time.Second
	uploadWait    = uploadTimeout + kit.Late + 100*time.Millisecond // then a client without an answer leaves
	uploadClients = 60
	uploadEvery   = 120 * time.Millisecond
	uploadBefore  = 24 // long requests before the hang, one after another
)

// uploadSizes are the sizes of the bodies, in MB, of the 32 that a body may have. How much of a body the sockets between
// client and host hold differs from machine to machine.
var uploadSizes = []int{4, 5, 6}

// uploadQuiet plays a quiet time, and returns the number of the host that the gateway has given most of the long requests.
func uploadQuiet(e *kit.Env, addr string) (busiest int) {
	for range 60 {
		kit.Send(addr, &kit.Request{ID: kit.NewID(), Class: "lookup", Timeout: uploadTimeout}, uploadWait)
	}
	began := func(i int) int {
		text, _ := os.ReadFile(filepath.Join(e.Temp, fmt.Sprintf("s-%02d.log", i)))
		return bytes.Count(text, []byte(" began("))
	}
	var before, count [uploadHosts]int
	for i := range uploadHosts {
		before[i] = began(i)
	}
	for range uploadBefore {
		q := &kit.Request{ID: kit.NewID(), Class: "missed-bin", Timeout: uploadTimeout, Body: make([]byte, uploadSizes[0]<<20)}
		kit.Send(addr, q, uploadWait)
	}
	for i := range uploadHosts {
		count[i] = began(i) - before[i]
		if count[i] > count[busiest] {
			busiest = i
		}
	}
	e.Record.Logf("long requests by host before the hang: %v", count)
	return busiest
}

func init() { cases["upload"] = uploadCase }

// uploadCase: a host hangs while requests with long bodies are sent.
func uploadCase(e *kit.Env) (int, error) {
	var hosts []*kit.Process
	var addrs []string
	defer func() {
		for _, h := range hosts {
			h.Stop()
		}
	}()
	for i := range uploadHosts {
		addr := kit.FreeAddress()
		h, err := e.StartStandIn(fmt.Sprintf("s-%02d", i), "host", addr, fmt.Sprintf("s-%02d", i), "20ms")
		if err != nil {
			return 0, err
		}
		hosts, addrs = append(hosts, h), append(addrs, addr)
	}
	d, err := kit.StartDiscovery(e.Record, "discovery", kit.Members(addrs, 3))
	if err != nil {
		return 0, err
	}
	time.Sleep(300 * time.Millisecond)
	g, err := e.StartGateway("n1", kit.Config("n1", kit.FreeAddress(), d.Addr, d.Known(), kit.Settings("automatic")))
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	busiest := uploadQuiet(e, g.Addr)
	if e.Trouble {
		e.Record.Logf("host s-%02d hangs", busiest)
		hosts[busiest].Process.Signal(syscall.SIGSTOP)
		hang := time.AfterFunc(uploadHang, func() {
			hosts[busiest].Process.Signal(syscall.SIGCONT)
			e.Record.Logf("host s-%02d goes on", busiest)
		})
		defer hang.Stop()
	}
	var lost, taken atomic.Int64
	var clients sync.WaitGroup
	for i := range uploadClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * uploadEvery)
			q := &kit.Request{ID: kit.NewID(), Class: "missed-bin", Timeout: uploadTimeout, Body: bytes.Repeat([]byte("photo..."), uploadSizes[i%len(uploadSizes)]<<20/8)}
			o := kit.Send(g.Addr, q, uploadWait)
			if !o.Sent.IsZero() {
				taken.Add(1)
			}
			word := "in time"
			if o.Lost(q) {
				lost.Add(1)
				word = "LOST"
			}
			e.Record.LogAt(o.Sent, "client: last byte of %s (%d bytes, X-Timeout 3.000) written: %s: %s", q.ID, len(q.Body), o.String(), word)
		})
	}
	clients.Wait()
	return e.Record.Verdict(lost.Load() > 0, "%d of %d requests taken have no final answer in time", lost.Load(), taken.Load()), nil
}
