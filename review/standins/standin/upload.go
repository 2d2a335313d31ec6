package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunemoor-review/kit"
)

const (
	uploadHosts   = 6 // one of them hangs: 17 %
	uploadHang    = 15 * time.Second
	uploadWait    = 14 * time.Second // how long a client watches for an answer
	uploadClients = 36
)

// uploadSizes are the sizes of the bodies, in MB, of the 32 that a body may have. How much of a body the sockets between
// client and host hold differs from machine to machine.
var uploadSizes = []int{3, 4, 5, 6}

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
	// A short quiet time: every host has served.
	for range 60 {
		kit.Send(g.Addr, &kit.Request{ID: kit.NewID(), Class: "lookup", Timeout: 3 * time.Second}, 4*time.Second)
	}
	if e.Trouble {
		e.Record.Logf("host s-00 hangs")
		hosts[0].Process.Signal(syscall.SIGSTOP)
		hang := time.AfterFunc(uploadHang, func() {
			hosts[0].Process.Signal(syscall.SIGCONT)
			e.Record.Logf("host s-00 goes on")
		})
		defer hang.Stop()
	}
	var lost, taken atomic.Int64
	var clients sync.WaitGroup
	for i := range uploadClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			q := &kit.Request{ID: kit.NewID(), Class: "missed-bin", Timeout: 3 * time.Second, Body: bytes.Repeat([]byte("photo..."), uploadSizes[i%len(uploadSizes)]<<20/8)}
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
