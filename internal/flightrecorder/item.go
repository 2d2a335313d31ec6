package flightrecorder

import "dunemoor/balancer"

// ItemKind is the kind of an Item; it determines which fields are set.
type ItemKind uint8

// Kinds of item.
const (
	ItemSession    ItemKind = iota // start of a session; sets Start
	ItemCheckpoint                 // sets Checkpoint
	ItemEvent                      // sets Event
	ItemAction                     // sets Action, which the balancer decided on at the preceding event
	ItemView                       // sets Views
	ItemName                       // sets Host, and Text to the host's name
	ItemLoss                       // sets Text to a description of what is missing at this point
	ItemUnrelated                  // sets Text to a description of bytes outside the recording; nothing is missing
)

// Item is a piece of a recording, such as an event or a checkpoint.
type Item struct {
	Kind       ItemKind
	At         balancer.Time
	Session    uint64
	Offset     int64 // offset of its block in the stream, in bytes
	Start      *SessionStart
	Checkpoint []byte // valid until the next item
	Event      Event
	Action     balancer.Action
	Views      []balancer.HostView // valid until the next item
	Host       balancer.HostID
	Text       string
}

// EventKind is the kind of an Event. Its constants are named after the methods of Balancer.
type EventKind uint8

// Kinds of event.
const (
	EventStart             EventKind = recordStart
	EventUpdateEndpoints   EventKind = recordEndpoints
	EventRequest           EventKind = recordRequest
	EventResponseStarted   EventKind = recordResponseStarted
	EventAttemptEnded      EventKind = recordAttemptEnded
	EventClientGone        EventKind = recordClientGone
	EventTimer             EventKind = recordTimer
	EventHealthCheckPassed EventKind = recordHealthCheck
	EventShutdown          EventKind = recordShutdown
)

// Event is an event of a balancer. Only the fields of its kind are set.
type Event struct {
	Kind        EventKind
	At          balancer.Time
	List        balancer.ListKind
	Hosts       []balancer.Host // valid until the next item
	Request     balancer.Request
	Attempt     int
	Outcome     balancer.Outcome
	Token       uint64
	HealthCheck HealthCheck
	ShutdownBy  balancer.Time // time by which the open requests are due
}

// HealthCheck is a successful health check of an ejected host.
type HealthCheck struct {
	Host   balancer.HostID
	Within balancer.Time // the backoff of the ejection ends at a random time within this duration
}

// Deliver passes the event to a balancer.
func (e *Event) Deliver(b Balancer) {
	switch e.Kind {
	case EventStart:
		b.Start(e.At)
	case EventUpdateEndpoints:
		b.UpdateEndpoints(e.At, e.List, e.Hosts)
	case EventRequest:
		b.Request(e.At, e.Request)
	case EventResponseStarted:
		b.ResponseStarted(e.At, e.Request.ID, e.Attempt)
	case EventAttemptEnded:
		b.AttemptEnded(e.At, e.Outcome)
	case EventClientGone:
		b.ClientGone(e.At, e.Request.ID)
	case EventTimer:
		b.Timer(e.At, e.Token)
	case EventHealthCheckPassed:
		b.HealthCheckPassed(e.At, e.HealthCheck.Host, e.HealthCheck.Within)
	case EventShutdown:
		b.Shutdown(e.At, e.ShutdownBy)
	}
}
