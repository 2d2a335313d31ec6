// Package simwire translates between the simulator's binary frames and the events and actions of package
// balancer. It makes no decisions of its own.
//
// The simulator sends batches of events and expects one reply, a batch of actions, to each. A frame consists of
// its length (4 bytes, which the length doesn't include) and that many bytes; all numbers are little-endian:
//
//	batch   clock (8, microseconds)  number of records (4)  records
//	reply   number of records (4)  records
//	record  code (1)  length of the fields (4)  instance (4)  other fields
//
// The table pairs the platform's name of each record with the name in this package:
//
//	hello              Start             call out           balancer.Send
//	peers known        EndpointList      busy               balancer.Reject
//	request            Request           fail               balancer.Fail
//	flowing            ResponseStarted    withdraw           balancer.Cancel
//	attempt end        AttemptEnd        wake at            balancer.Wake
//	withdrawn          ClientGone        let go             balancer.Close
//	ring               Timer             write log          balancer.Log
//	status back        HealthCheckEnd    tail               balancer.Poll
//	from peer          PeerMessage       crash              Writer.Crash
//	halt               Stop
package simwire

import (
	"time"

	"dunemoor/balancer"
)

// Code is the code of an event.
type Code byte

// Codes of events.
const (
	Start           Code = 0 // an instance starts
	EndpointList    Code = 1
	Request         Code = 2
	ResponseStarted Code = 3 // the host has begun to respond
	AttemptEnd      Code = 4
	ClientGone      Code = 5
	Timer           Code = 6
	HealthCheckEnd  Code = 7 // ignored by balancers
	PeerMessage     Code = 8 // ignored by balancers
	Stop            Code = 9 // an instance stops
)

// Codes of actions.
const (
	actionSend   = 64
	actionReject = 65
	actionFail   = 66
	actionCancel = 67
	actionWake   = 68
	actionClose  = 70
	actionLog    = 72
	actionCrash  = 73
	actionPoll   = 74
)

// pollOn is the value in a Poll action that subscribes an instance to changes of the endpoint list.
const pollOn = 1

// Kinds of endpoint list.
const (
	listFailed  = 0
	listFull    = 1
	listSaved   = 3
	listChanges = 4
)

// States of a host in an endpoint list.
const (
	hostDraining = 0
	hostRemoved  = 2
	hostReady    = 3
)

// Sizes in bytes.
const (
	lengthSize       = 4 // length of a frame
	clockSize        = 8
	batchHeaderSize  = clockSize + 4 // clock and number of records
	recordHeaderSize = 5             // code and length
	listEntrySize    = 24
	requestIDSize    = 4
	attemptSize      = 2
	hostSize         = 6 // address and port
	durationSize     = 4
	timeSize         = 8 // point in time
	tokenSize        = 8
	textLengthSize   = 2
	maxFrameSize     = 1 << 30
	maxTextSize      = 1 << 10 // text of a log line or a crash report
	ioBufferSize     = 1 << 16
)

// timeUnit is the unit of all times and durations in frames.
const timeUnit = time.Microsecond

// flagDuplicate is the bit in a request's flags that marks a request that the client sends again.
const flagDuplicate = 2

// resultsByCode maps the codes of attempt outcomes to results.
var resultsByCode = map[uint16]balancer.Result{
	100: balancer.OK,
	301: balancer.Failed,
	302: balancer.Full,
	303: balancer.TimedOut,
	304: balancer.ConnectFailed,
	305: balancer.Reset,
	306: balancer.Canceled,
	307: balancer.NotSent,
}

// Event is one decoded record. Only the fields of its code are set; the comment of a field names the codes that set it.
type Event struct {
	Code     Code
	Instance uint32

	Seed     uint64 // Start
	Settings []byte // Start: in JSON; valid until the next batch

	List  balancer.ListKind // EndpointList
	Hosts []balancer.Host   // EndpointList; valid until the next event

	Request balancer.Request // Request; its ID also in ClientGone and ResponseStarted
	Attempt int              // ResponseStarted
	Outcome balancer.Outcome // AttemptEnd
	Token   uint64           // Timer
}
