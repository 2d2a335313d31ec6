package simulator

import (
	"time"

	"dunemoor/balancer"
)

// Config describes a run.
type Config struct {
	Seed        uint64
	Length      time.Duration // time span in which clients send first requests
	Gateways    int
	TrafficSkew float64           // coefficient of variation of the gateways' traffic shares (lognormal); 0: equal shares
	Settings    balancer.Settings // settings of each gateway's balancer; Run sets Instances, Rank and Poll
	Hosts       []HostGroup
	Classes     []Traffic // traffic of each class in Settings.Classes, in that order
	Clients     Clients
	Network     Network
	Endpoints   EndpointLists
	Bursts      []Burst
	Faults      []Fault
}

// HostGroup is a group of identical hosts.
type HostGroup struct {
	Count int
	Cores int
	Speed float64 // speed of a core relative to a standard core; 0: 1
	// MaxConcurrent is the maximum number of requests in service; they share the cores evenly. If it equals Cores,
	// each request has a core of its own. 0: no limit.
	MaxConcurrent  int
	MaxQueued      int // maximum number of requests waiting beyond MaxConcurrent; further ones are rejected. Below 0: no limit
	MaxConnections int // maximum number of open connections; further ones are refused. 0: no limit
	Zone           int
	CellSize       int // number of consecutive hosts that form a cell; 0: 1
	// A host becomes congested, and CongestionSlowdown times slower, once it has held at least CongestionStart
	// requests per core for CongestionDelay. It stays congested until it holds at most CongestionEnd requests per
	// core. With a CongestionStart of 0 it never becomes congested.
	CongestionStart    float64
	CongestionEnd      float64
	CongestionSlowdown float64
	CongestionDelay    time.Duration // 0: immediately
}

// Traffic describes the requests that clients send of a class.
type Traffic struct {
	Name         string
	Rate         float64       // first requests per second (a Poisson process)
	MeanWork     time.Duration // mean CPU time of a request on a core of speed 1
	Distribution Distribution  // distribution of the work; "": Exponential
	CV           float64       // coefficient of variation of the work, for LogNormal only; 0: 1
}

// Clients describes the behavior of clients.
type Clients struct {
	MaxRetries       int
	Backoff          time.Duration // delay before the first retry, doubled with each further one
	Jitter           float64       // maximum deviation from the backoff in either direction, as a share of it
	HonorRetryAfter  float64       // share of the clients that wait for Retry-After if it is longer than their backoff
	FailoverDelay    time.Duration // time for which a stopped gateway still receives requests
	DisconnectEarly  float64       // share of the requests whose client disconnects after a quarter of its deadline
	RetryImmediately float64       // share of the clients that retry more often, after a fraction of the backoff, and ignore Retry-After
}

// Network describes the network between gateways and hosts.
type Network struct {
	Delay          time.Duration // one-way delay
	DelaySpread    float64       // mean of an additional exponential delay, as a share of Delay
	HandshakeWork  time.Duration // CPU time of a host for a new connection, which also takes a round trip
	ConnectTimeout time.Duration // timeout for opening a connection; 0: 100 ms
}

// EndpointLists describes how gateways receive the endpoint lists of hosts.
type EndpointLists struct {
	UpdateDelay  time.Duration // delay until gateways receive the change of a host that starts, drains or stops in an orderly way
	FailureDelay time.Duration // delay until they receive the removal of a failed host
	Spread       time.Duration // maximum additional delay, which differs between gateways
	// PollTime is the time in which discovery serves a poll. Polls are served one at a time, and a poll that would
	// wait for more than a second fails. 0: changes are pushed without a poll.
	PollTime time.Duration
}

// Burst multiplies the rate of first requests for a while.
type Burst struct {
	At       time.Duration
	Duration time.Duration
	Factor   float64
	Class    string // name of the class; "": all classes
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of fault. The values are their names in scenario files.
const (
	Crash          FaultKind = "crash"   // the host's process dies; at the end of the fault it restarts and warms up
	Vanish         FaultKind = "vanish"  // the host's machine stops responding; at the end of the fault it restarts and warms up
	Hang           FaultKind = "hang"    // the host accepts requests and serves none until the end of the fault
	Slow           FaultKind = "slow"    // the host is slower by the factor Severity
	Errors         FaultKind = "errors"  // a share Severity of the host's responses are immediate errors
	Drain          FaultKind = "drain"   // the host is listed as draining, and restarts at the end of the fault
	ResponsesLost  FaultKind = "unheard" // the host's responses are lost, but requests to it arrive
	GatewayCrash   FaultKind = "gateway" // gateways crash; at the end of the fault they restart from the saved endpoint list
	GatewayRestart FaultKind = "restart" // gateways drain and restart in Steps
	ReplaceHosts   FaultKind = "replace" // hosts are drained and replaced by new ones in Steps
	Partition      FaultKind = "cut"     // hosts are unreachable: half of the gateways get no reply, the other half get resets
	LossyResponses FaultKind = "lossy"   // a share Severity of the responses fails: half of these are lost, half are resets
	DiscoveryDown  FaultKind = "blind"   // discovery doesn't respond
)

// FaultKinds lists all kinds of fault.
var FaultKinds = []FaultKind{
	Crash, Vanish, Hang, Slow, Errors, Drain, ResponsesLost, GatewayCrash, GatewayRestart, ReplaceHosts, Partition,
	LossyResponses, DiscoveryDown,
}

// Fault is a fault that affects some of the hosts or gateways.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Share    float64 // share of the hosts or gateways that are targets, above 0; at least one is
	Severity float64 // slowdown factor for Slow, share of the responses for Errors and LossyResponses
	Steps    int     // number of steps of GatewayRestart and ReplaceHosts, spread over Duration; 0: 1
}

// targetsGateways reports whether the targets of a kind are gateways rather than hosts.
func (k FaultKind) targetsGateways() bool { return k == GatewayCrash || k == GatewayRestart }

// inSteps reports whether a kind affects its targets step by step rather than all at once.
func (k FaultKind) inSteps() bool { return k == GatewayRestart || k == ReplaceHosts }
