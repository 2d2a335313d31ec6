// Package model plays a fleet in virtual time: clients that ask and ask again, gateways that run
// the real decision module, a network, hosts that queue, share their cores, start cold, crowd and
// fail. It does no I/O, starts no goroutine and reads no clock; the same Config and seed give the
// same run on any machine. The four rules are looked at with every event.
package model

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lynxspool"
)

// Config is what is played.
type Config struct {
	Seed     uint64
	Length   time.Duration // in which clients begin to ask
	Gateways int
	Settings lynxspool.Settings // of each gateway; Instances and Rank are set here
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
	// Crowding: from CrowdAt requests a core on all goes Slower times as slowly, until there are
	// CrowdEnd a core or fewer. 0: never.
	CrowdAt, CrowdEnd, Slower float64
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
)

// TroubleKinds are all of them.
var TroubleKinds = []TroubleKind{Crash, Vanish, Hang, Slow, Errors, Drain, Unheard, Gateway}

// Trouble is something that goes wrong with a part of the hosts, or of the gateways.
type Trouble struct {
	Kind    TroubleKind
	At, For time.Duration
	Part    float64 // share of them, at least one
	Size    float64
}

// Bounds of a Config, so that a run fits into a machine's memory and an afternoon.
const (
	mostGateways = 1000
	mostHosts    = 10_000
	mostRequests = 50_000_000
)

// check says what is wrong, all at once.
func (c *Config) check() error {
	var wrong []error
	bad := func(format string, args ...any) { wrong = append(wrong, fmt.Errorf(format, args...)) }
	if c.Length <= 0 || c.Length > 24*time.Hour {
		bad("length: %v is not above 0 and up to 24h", c.Length)
	}
	if c.Gateways < 1 || c.Gateways > mostGateways {
		bad("gateways: %d is not between 1 and %d", c.Gateways, mostGateways)
	}
	hosts := 0
	for i, k := range c.Hosts {
		hosts += k.Count
		switch {
		case k.Count < 1:
			bad("hosts %d: count: %d is less than 1", i+1, k.Count)
		case k.Cores < 1:
			bad("hosts %d: cores: %d is less than 1", i+1, k.Cores)
		case k.Speed < 0 || k.Slots < 0 || k.Conns < 0:
			bad("hosts %d: speed, slots and conns are not below 0", i+1)
		case k.CrowdAt > 0 && (k.CrowdEnd >= k.CrowdAt || k.Slower < 1):
			bad("hosts %d: a crowd ends below where it begins, and makes slower by a factor of 1 or more", i+1)
		}
	}
	if hosts < 1 || hosts > mostHosts {
		bad("hosts: %d is not between 1 and %d", hosts, mostHosts)
	}
	if len(c.Classes) != len(c.Settings.Classes) {
		bad("classes: %d have traffic and %d have rules", len(c.Classes), len(c.Settings.Classes))
	}
	asked := 0.0
	for i, t := range c.Classes {
		asked += t.Rate * c.Length.Seconds()
		switch {
		case t.Rate < 0 || t.Work <= 0 || t.CV < 0:
			bad("class %q: rate and cv are not below 0, work is above", t.Name)
		case t.Dist != "" && !slices.Contains(Dists, t.Dist):
			bad("class %q: %q is no distribution", t.Name, t.Dist)
		case slices.ContainsFunc(c.Classes[:i], func(o Traffic) bool { return o.Name == t.Name }):
			bad("class %q: the name is taken", t.Name)
		}
	}
	if asked > mostRequests {
		bad("classes: %.0f requests in all are more than %d", asked, mostRequests)
	}
	if k := c.Clients; k.Retries < 0 || k.Retries > 100 || k.Backoff < 0 || k.Jitter < 0 || k.Jitter > 1 || k.Honour < 0 || k.Honour > 1 || k.Notice < 0 {
		bad("clients: retries are 0 to 100, times not below 0, jitter and honour 0 to 1")
	}
	if n := c.Net; n.Delay < 0 || n.Spread < 0 || n.Handshake < 0 || n.Connect < 0 {
		bad("net: nothing is below 0")
	}
	for i, b := range c.Bursts {
		if b.At < 0 || b.For <= 0 || b.Times <= 0 {
			bad("burst %d: at is not below 0, for and times are above", i+1)
		}
		if b.Class != "" && !slices.ContainsFunc(c.Classes, func(t Traffic) bool { return t.Name == b.Class }) {
			bad("burst %d: there is no class %q", i+1, b.Class)
		}
	}
	for i, t := range c.Troubles {
		switch {
		case !slices.Contains(TroubleKinds, t.Kind):
			bad("trouble %d: %q is none of %v", i+1, t.Kind, TroubleKinds)
		case t.At < 0 || t.For <= 0 || t.Part <= 0 || t.Part > 1:
			bad("trouble %d: at is not below 0, for is above, part is above 0 and up to 1", i+1)
		case t.Kind == Slow && t.Size < 1:
			bad("trouble %d: size: slow is by a factor of 1 or more", i+1)
		case t.Kind == Errors && (t.Size <= 0 || t.Size > 1):
			bad("trouble %d: size: a share is above 0 and up to 1", i+1)
		}
	}
	return errors.Join(wrong...)
}
