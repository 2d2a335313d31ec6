package flightrecorder

import "dunemoor/balancer"

// ItemKind is a kind of Item; it says which fields are set.
type ItemKind uint8

// Kinds of item.
const (
	ItemSession    ItemKind = iota // a session starts: Start
	ItemCheckpoint                 // Checkpoint
	ItemEvent                      // Event
	ItemAction                     // Action, decided at the event before it
	ItemView                       // Views
	ItemName                       // Host and Text, its name
	ItemLoss                       // Text describes what is missing here
	ItemUnrelated                  // Text describes bytes here that are no part of the recording; nothing is missing
)

// Item is one thing read from a recording.
type Item struct {
	Kind       ItemKind
	At         balancer.Time
	Session    uint64
	Offset     int64 // of its block in the stream, in bytes
	Start      *SessionStart
	Checkpoint []byte // valid until the next item
	Event      Event
	Action     balancer.Action
	Views      []balancer.HostView // valid until the next item
	Host       balancer.HostID
	Text       string
}

// EventKind is a kind of event, named as the method of Balancer.
type EventKind uint8

// Kinds of event.
const (
	EventStart             EventKind = recordStart
	EventUpdateEndpoints   EventKind = recordEndpoints
	EventRequest           EventKind = recordRequest
	EventAttemptStarted    EventKind = recordAttemptStarted
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
	ShutdownBy  balancer.Time
}

// HealthCheck is a successful health check of an ejected host.
type HealthCheck struct {
	Host   balancer.HostID
	Within balancer.Time
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
	case EventAttemptStarted:
		b.AttemptStarted(e.At, e.Request.ID, e.Attempt)
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
