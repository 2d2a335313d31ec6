package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunemoor-review/kit"
)

const (
	polledHosts   = 6
	polledClients = 4
	polledQuiet   = 6 * time.Second // before the trouble
	// polledSilence is how long discovery says nothing: the open watch falls silent, and a call that is made meanwhile has
	// no answer. Calls made later are answered at once.
	polledSilence = 4200 * time.Millisecond
	polledWatch   = 12 * time.Second
)

func init() { cases["polled"] = polledCase }

// polledCase: where discovery is asked, the watch falls silent, the next call has no answer, and a host begins to drain.
// It is no case of the review, see REPORT.md.
func polledCase(e *kit.Env) (int, error) {
	var addrs []string
	var last atomic.Int64 // when the draining host last got a request, in nanoseconds of Unix time
	for i := range polledHosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		addrs = append(addrs, ln.Addr().String())
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 0 {
				last.Store(time.Now().UnixNano())
			}
			io.WriteString(w, kit.HostAnswer(r.Header.Get("X-Request-ID"), "host"))
		}))
	}
	d, err := kit.StartDiscovery(e.Record, "discovery", kit.Members(addrs, 3))
	if err != nil {
		return 0, err
	}
	g, err := e.StartGateway("n1", kit.Config("n1", kit.FreeAddress(), d.Addr, d.Known(), kit.Settings("subscribe")))
	if err != nil {
		return 0, err
	}
	defer g.Stop()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range polledClients {
		clients.Go(func() { polledClient(g.Addr, stop) })
	}
	time.Sleep(polledQuiet)
	if e.Trouble {
		e.Record.Logf("discovery falls silent")
		d.Silent.Store(true)
	}
	began := time.Now()
	d.SetState("s-00", "draining")
	time.Sleep(polledSilence)
	d.Silent.Store(false)
	time.Sleep(polledWatch - polledSilence)
	close(stop)
	clients.Wait()
	after := max(0, time.Unix(0, last.Load()).Sub(began))
	return e.Record.Verdict(after > told+grace, "the last request to the draining host came %.3f s after the watch fell silent", after.Seconds()), nil
}

// polledClient sends a request every 40 ms until stop is closed.
func polledClient(addr string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		kit.Send(addr, &kit.Request{ID: kit.NewID(), Class: "lookup", Timeout: 3 * time.Second}, 4*time.Second)
	}
}
