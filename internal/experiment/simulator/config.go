// Package simulator plays a fleet in virtual time: clients that ask and ask again, gateways that run
// the real decision module, a network, hosts that queue, share their cores, start cold, crowd and
// fail. It does no I/O, starts no goroutine and reads no clock; the same Config and seed give the
// same run on any machine. The four rules are looked at with every event.
package simulator

import (
	"fmt"
	"slices"
	"time"

	"dunemoor/balancer"
)

// Config is what is played.
type Config struct {
	Seed     uint64
	Length   time.Duration // in which clients begin to ask
	Gateways int
	Skew     float64           // coefficient of variation of the gateways' parts of the traffic (lognormal)
	Settings balancer.Settings // of each gateway; Instances and Rank are set here
	Hosts    []Kind
	Classes  []Traffic // one for each of Settings.Classes
	Clients  Clients
	Net      Net
	Lists    Lists
	Bursts   []Burst
	Troubles []Trouble
}

// Kind is a number of like hosts.
type Kind struct {
	Count int
	Cores int
	Speed float64 // work done by a core in a second; 0: 1
	// Slots is how many requests are worked on at once, sharing the cores evenly; 0: any number.
	// With as many slots as cores they are worked on one after the other.
	Slots int
	Queue int // requests that may wait for a slot; more are turned away. Less than 0: any number
	Conns int // connections that are held; more are refused. 0: any number
	Zone  int
	Cell  int // hosts of a cell, in their order; 0: 1
	// Crowding: from CrowdAt requests a core on all goes Slower times as slowly, until there are
	// CrowdEnd a core or fewer. 0: never.
	CrowdAt, CrowdEnd, Slower float64
	CrowdAfter                time.Duration // for which it must be that many; 0: at once
}

// Traffic is what clients ask of a class.
type Traffic struct {
	Name string
	Rate float64       // first tries a second, by chance (Poisson)
	Work time.Duration // of a core of speed 1, on average
	Dist Dist          // "": Exponential
	CV   float64       // of LogNormal; 0: 1
}

// Clients are how clients behave.
type Clients struct {
	Retries int           // tries beyond the first
	Backoff time.Duration // before a further try; doubled with each
	Jitter  float64       // share by which that is spread to either side
	Honour  float64       // share of the clients that wait as long as they are told to
	Notice  time.Duration // for which a dead gateway still gets clients
	Early   float64       // share of the tries whose client leaves after a quarter of its time
	Hasty   float64       // share of the clients that ask again at once, whatever they are told
}

// Net is what lies between gateways and hosts.
type Net struct {
	Delay     time.Duration // one way
	Spread    float64       // share of Delay that is by chance on top (exponential)
	Handshake time.Duration // work of a host for a new connection; besides that takes a round trip
	Connect   time.Duration // after which a connection that does not come up has failed; 0: 100 ms
}

// Lists are how gateways hear of hosts.
type Lists struct {
	Delay  time.Duration // of news of those that drain, start or end in good order
	Silent time.Duration // of news of those that die
	Spread time.Duration // between gateways
	// Call is what a call for the list takes where gateways must ask for it; calls are worked on in turn,
	// and fail that have waited for a second. 0: lists are pushed.
	Call time.Duration
}

// Burst multiplies the rate of arrivals for a while.
type Burst struct {
	At, For time.Duration
	Times   float64
	Class   string // "": all
}

// TroubleKind says what goes wrong.
type TroubleKind string

// Kinds of trouble.
const (
	Crash   TroubleKind = "crash"   // the process dies; it comes back cold
	Vanish  TroubleKind = "vanish"  // the machine says nothing more; it comes back cold
	Hang    TroubleKind = "hang"    // it takes requests and answers none
	Slow    TroubleKind = "slow"    // it works Size times as slowly
	Errors  TroubleKind = "errors"  // a share of Size of its answers are errors, at once
	Drain   TroubleKind = "drain"   // it is listed as draining, and starts anew at the end
	Unheard TroubleKind = "unheard" // what it answers gets lost, what it is sent does not
	Gateway TroubleKind = "gateway" // gateways die, and start again from the saved list
	Restart TroubleKind = "restart" // gateways are restarted in good order, in so many Steps
	Replace TroubleKind = "replace" // hosts are drained, and new ones start in their place, in so many Steps
	Cut     TroubleKind = "cut"     // the way to hosts is cut: half of the gateways see silence, half resets
	Lossy   TroubleKind = "lossy"   // of a share of Size of the requests half have their answers lost, half are reset
	Blind   TroubleKind = "blind"   // discovery is down
)

// TroubleKinds are all of them.
var TroubleKinds = []TroubleKind{Crash, Vanish, Hang, Slow, Errors, Drain, Unheard, Gateway, Restart, Replace, Cut, Lossy, Blind}

// Trouble is something that goes wrong with a part of the hosts, or of the gateways.
type Trouble struct {
	Kind    TroubleKind
	At, For time.Duration
	Part    float64 // share of them, at least one
	Size    float64
	Steps   int // of Restart and Replace, spread over For; 0: 1
}

// Bounds of a Config, so that a run fits into a machine's memory and an afternoon.
const (
	mostGateways = 1000
	mostHosts    = 10_000
	mostRequests = 50_000_000
	mostSkew     = 10
	mostSteps    = 1000
)

// Mistake is something that can't be played, and where it stands.
type Mistake struct {
	Table string // "": of the run itself
	N     int    // which of several, from 0
	Field string
	Text  string
}

func (m *Mistake) Error() string {
	if m.Table == "" {
		return m.Field + ": " + m.Text
	}
	return fmt.Sprintf("%s %d: %s: %s", m.Table, m.N+1, m.Field, m.Text)
}

// Check says what is wrong, all at once.
func (c *Config) Check() (wrong []*Mistake) {
	bad := func(table string, n int, field, format string, args ...any) {
		wrong = append(wrong, &Mistake{table, n, field, fmt.Sprintf(format, args...)})
	}
	if c.Length <= 0 || c.Length > 24*time.Hour {
		bad("", 0, "length", "%v is not above 0 and up to 24h", c.Length)
	}
	if c.Gateways < 1 || c.Gateways > mostGateways {
		bad("", 0, "gateways", "%d is not between 1 and %d", c.Gateways, mostGateways)
	}
	hosts := 0
	for i, k := range c.Hosts {
		hosts += k.Count
		switch {
		case k.Count < 1:
			bad("hosts", i, "count", "%d is less than 1", k.Count)
		case k.Cores < 1:
			bad("hosts", i, "cores", "%d is less than 1", k.Cores)
		case k.Speed < 0:
			bad("hosts", i, "speed", "%v is below 0", k.Speed)
		case k.Slots < 0:
			bad("hosts", i, "slots", "%d is below 0", k.Slots)
		case k.Conns < 0:
			bad("hosts", i, "conns", "%d is below 0", k.Conns)
		case k.CrowdAfter < 0:
			bad("hosts", i, "crowd_after", "%v is below 0", k.CrowdAfter)
		case k.Cell < 0:
			bad("hosts", i, "cell", "%d is below 0", k.Cell)
		case k.CrowdAt > 0 && (k.CrowdEnd >= k.CrowdAt || k.Slower < 1):
			bad("hosts", i, "crowd_at", "a crowd ends below where it begins, and makes slower by a factor of 1 or more")
		}
	}
	if hosts < 1 || hosts > mostHosts {
		bad("", 0, "hosts", "%d are not between 1 and %d", hosts, mostHosts)
	}
	if len(c.Classes) != len(c.Settings.Classes) || len(c.Classes) == 0 {
		bad("", 0, "class", "%d have traffic and %d have rules", len(c.Classes), len(c.Settings.Classes))
	}
	asked := 0.0
	for i, t := range c.Classes {
		asked += t.Rate * c.Length.Seconds()
		switch {
		case t.Rate < 0:
			bad("class", i, "rate", "%v is below 0", t.Rate)
		case t.Work <= 0:
			bad("class", i, "work", "%v is not above 0", t.Work)
		case t.CV < 0:
			bad("class", i, "cv", "%v is below 0", t.CV)
		case t.Dist != "" && !slices.Contains(Dists, t.Dist):
			bad("class", i, "dist", "%q is none of %v", t.Dist, Dists)
		case slices.ContainsFunc(c.Classes[:i], func(o Traffic) bool { return o.Name == t.Name }):
			bad("class", i, "name", "%q is taken", t.Name)
		}
	}
	if asked > mostRequests {
		bad("", 0, "class", "%.0f requests in all are more than %d", asked, mostRequests)
	}
	k := c.Clients
	if k.Retries < 0 || k.Retries > 100 {
		bad("clients", 0, "retries", "%d is not between 0 and 100", k.Retries)
	}
	for field, x := range map[string]float64{"jitter": k.Jitter, "honour": k.Honour, "early": k.Early, "hasty": k.Hasty} {
		if !(x >= 0 && x <= 1) {
			bad("clients", 0, field, "%v is not between 0 and 1", x)
		}
	}
	for _, f := range []struct {
		table, field string
		d            time.Duration
	}{
		{"clients", "backoff", k.Backoff}, {"clients", "notice", k.Notice}, {"net", "delay", c.Net.Delay}, {"net", "handshake", c.Net.Handshake},
		{"net", "connect", c.Net.Connect}, {"lists", "delay", c.Lists.Delay}, {"lists", "silent", c.Lists.Silent}, {"lists", "spread", c.Lists.Spread}, {"lists", "call", c.Lists.Call},
	} {
		if f.d < 0 {
			bad(f.table, 0, f.field, "%v is below 0", f.d)
		}
	}
	if !(c.Skew >= 0 && c.Skew <= mostSkew) {
		bad("", 0, "skew", "%v is not between 0 and %v", c.Skew, mostSkew)
	}
	if !(c.Net.Spread >= 0) {
		bad("net", 0, "spread", "%v is below 0", c.Net.Spread)
	}
	for i, b := range c.Bursts {
		switch {
		case b.At < 0:
			bad("burst", i, "at", "%v is below 0", b.At)
		case b.For <= 0:
			bad("burst", i, "for", "%v is not above 0", b.For)
		case !(b.Times > 0):
			bad("burst", i, "times", "%v is not above 0", b.Times)
		case b.Class != "" && !slices.ContainsFunc(c.Classes, func(t Traffic) bool { return t.Name == b.Class }):
			bad("burst", i, "class", "there is no class %q", b.Class)
		}
	}
	for i, t := range c.Troubles {
		switch {
		case !slices.Contains(TroubleKinds, t.Kind):
			bad("trouble", i, "kind", "%q is none of %v", t.Kind, TroubleKinds)
		case t.At < 0:
			bad("trouble", i, "at", "%v is below 0", t.At)
		case t.For <= 0:
			bad("trouble", i, "for", "%v is not above 0", t.For)
		case !(t.Part > 0 && t.Part <= 1):
			bad("trouble", i, "part", "%v is not above 0 and up to 1", t.Part)
		case t.Kind == Slow && !(t.Size >= 1):
			bad("trouble", i, "size", "slow is by a factor of 1 or more")
		case t.Steps < 0 || t.Steps > mostSteps:
			bad("trouble", i, "steps", "%d is not between 0 and %d", t.Steps, mostSteps)
		case (t.Kind == Errors || t.Kind == Lossy) && !(t.Size > 0 && t.Size <= 1):
			bad("trouble", i, "size", "a share is above 0 and up to 1")
		}
	}
	return wrong
}
