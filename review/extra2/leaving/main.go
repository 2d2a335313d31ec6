// Command leaving drains a host while a gateway of a fleet ends. It is no case of the review, see review/REPORT-2.md. Its
// argument is the folder for record.txt.
package main

import (
	"fmt"
	"syscall"
	"time"

	kit "dunemoor/review/kit2"
)

const settings = `
[[class]]
name = "lookup"
effect = "safe"
aim = "1500ms"
deadline = "4s"
[[pool]]
name = "calendar"
discovery = "DISCOVERY"
[[route]]
name = "calendar"
pool = "calendar"
class = "lookup"
methods = ["GET"]
timeout = "4s"
`

// bound is the grace of 500 ms with 50 ms of slack, from when the agents have been sent that a host drains.
const bound = 550 * time.Millisecond

func main() { kit.Main(play) }

func play(c *kit.Case) (kit.Verdict, error) {
	running := c.NewHosts(20 * time.Millisecond)
	discovery := c.NewDiscovery()
	for i := range 4 {
		name := fmt.Sprintf("s-%d", i+1)
		addr, err := running.Start(name)
		if err != nil {
			return kit.NotRun, err
		}
		discovery.Set(name, addr, "ready")
	}
	fleet, err := c.NewFleet(discovery, settings)
	if err != nil {
		return kit.NotRun, err
	}
	if err := c.LaunchAll(fleet, "list/calendar"); err != nil {
		return kit.NotRun, err
	}
	time.Sleep(5 * time.Second)
	g := fleet[0]
	if fleet[0].Holder("list/calendar") == g.ID {
		g = fleet[1]
	}
	var loads []*kit.Load
	for _, x := range fleet {
		loads = append(loads, c.NewLoad(x.ID, x.Web, "/days", "", 4, 20*time.Millisecond))
	}
	time.Sleep(time.Second)
	if c.Trouble {
		g.Signal(syscall.SIGTERM)
	}
	time.Sleep(500 * time.Millisecond)
	drained := time.Now()
	discovery.Set("s-1", "", "draining")
	time.Sleep(4 * time.Second)
	for _, l := range loads {
		l.KeepConns()
		l.Stop()
	}
	return judge(c, running, drained, g.ID)
}

// judge counts the requests that began at the drained host too late, by gateway.
func judge(c *kit.Case, running *kit.Hosts, drained time.Time, ended string) (kit.Verdict, error) {
	late := map[string]int{}
	worst := time.Duration(0)
	for _, a := range running.Arrivals() {
		if a.Host == "s-1" && a.At.Sub(drained) > bound {
			late[a.ID[:7]]++
			worst = max(worst, a.At.Sub(drained))
		}
	}
	c.Logf("RESULT: late %v worst %v (%s ended)", late, worst, ended)
	if len(late) > 0 {
		return kit.Broken, nil
	}
	return kit.Held, nil
}
