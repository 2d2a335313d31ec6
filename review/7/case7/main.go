// Command case7 restarts a gateway that has just been given a new configuration while discovery is down.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	kit "dunemoor/review/kit2"
)

const (
	// killAfter is the time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
	killAfter = 3700 * time.Millisecond
	// lastDials is how long after SIGTERM new connections go on coming.
	lastDials = 400 * time.Millisecond
	// work is how long a host takes for a request.
	work = 200 * time.Millisecond
)

// pools are the services behind the gateway, each with a discovery service of its own.
var pools = []string{"calendar", "address", "streets"}

func main() { kit.Main(play) }

func play(c *kit.Case) (kit.Verdict, error) {
	running := c.NewHosts(work)
	services := map[string]*kit.Discovery{}
	addresses := map[string]string{}
	for _, pool := range pools {
		d := c.NewDiscovery()
		for i := range 4 {
			name := fmt.Sprintf("%s-%d", pool, i+1)
			addr, err := running.Start(name)
			if err != nil {
				return kit.NotRun, err
			}
			d.Set(name, addr, "ready")
		}
		var err error
		if addresses[pool], err = d.Serve(); err != nil {
			return kit.NotRun, err
		}
		services[pool] = d
	}
	web := c.Address()
	path, err := c.Write("depot-1.toml", file(web, addresses, "1500ms"))
	if err != nil {
		return kit.NotRun, err
	}
	g, err := c.Start("depot-1", path)
	if err != nil {
		return kit.NotRun, err
	}
	if err := c.Await("the gateway serves", func() bool { return kit.Health(web) == http.StatusOK }); err != nil {
		return kit.NotRun, err
	}
	var loads []*kit.Load
	for _, pool := range pools {
		loads = append(loads, c.NewLoad(pool, web, "/"+pool, "", 4, 20*time.Millisecond))
	}
	time.Sleep(2 * time.Second)
	if c.Trouble {
		for _, d := range services {
			d.Down()
		}
		time.Sleep(time.Second)
		if _, err := c.Write("depot-1.toml", file(web, addresses, "1400ms")); err != nil {
			return kit.NotRun, err
		}
		g.Signal(syscall.SIGHUP)
		time.Sleep(500 * time.Millisecond)
	}
	killed := restart(g, loads)
	var requests []*kit.Request
	for _, l := range loads {
		requests = append(requests, l.Stop()...)
	}
	return judge(c, running, requests, killed)
}

// file is the gateway's configuration.
func file(web string, addresses map[string]string, aim string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"depot-1\"\n[[listener]]\nname = \"web\"\naddress = %q\n", web)
	fmt.Fprintf(&b, "[[class]]\nname = \"lookup\"\neffect = \"safe\"\naim = %q\ndeadline = \"4s\"\n", aim)
	for _, pool := range pools {
		fmt.Fprintf(&b, "[[pool]]\nname = %q\ndiscovery = %q\n", pool, addresses[pool])
		fmt.Fprintf(&b, "[[route]]\nname = %[1]q\npath = \"/%[1]s\"\npool = %[1]q\nclass = \"lookup\"\nmethods = [\"GET\"]\ntimeout = \"4s\"\n", pool)
	}
	return b.String()
}

// restart ends the gateway as the platform does, and returns when it was killed.
func restart(g *kit.Process, loads []*kit.Load) (killed time.Time) {
	g.Signal(syscall.SIGTERM)
	terminated := time.Now()
	time.Sleep(lastDials)
	for _, l := range loads {
		l.KeepConns()
	}
	time.Sleep(time.Until(terminated.Add(killAfter)))
	killed = time.Now()
	if !g.Ended() {
		g.Signal(syscall.SIGKILL)
	}
	return killed
}

// judge counts the requests that SIGKILL found unanswered: begun by a host before it, and never answered.
func judge(c *kit.Case, running *kit.Hosts, requests []*kit.Request, killed time.Time) (kit.Verdict, error) {
	begun := map[string]bool{}
	for _, a := range running.Arrivals() {
		begun[a.ID] = a.At.Before(killed)
	}
	lost := 0
	for _, r := range requests {
		if r.Status == 0 && !r.Written.IsZero() && r.Written.Before(killed) && begun[r.ID] {
			lost++
			c.Logf("lost: %s, written %v before SIGKILL, ended %v after it: %v", r.ID, killed.Sub(r.Written), r.Ended.Sub(killed), r.Err)
		}
	}
	c.Logf("RESULT: requests: %d; unanswered at SIGKILL: %d", len(requests), lost)
	if lost > 0 {
		return kit.Broken, nil
	}
	return kit.Held, nil
}
