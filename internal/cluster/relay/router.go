package relay

import (
	"time"

	"lynxspool/internal/cluster/member"
)

// Router is a relay's part. It is used by one goroutine; each call brings the time, on a clock that
// does not go back and goes on while the process is stopped.
type Router struct{}

// NewRouter returns the part of the relay that cfg.Name names among the relays of the file.
func NewRouter(now time.Duration, cfg Config, relays []Relay) *Router { return &Router{} }

// Join answers a stream that wants to be taken: if it is, it is there until Left or Out.Cut names it.
func (r *Router) Join(now time.Duration, j Join) Answer { panic("to come") }

// Left tells that a stream has ended.
func (r *Router) Left(now time.Duration, name string, epoch uint64) {}

// FromStream takes a frame of a stream, behind its Join.
func (r *Router) FromStream(now time.Duration, name string, epoch uint64, kind member.Kind, body []byte) {
}

// FromRelay takes a frame of another relay, of KindRecord or KindRoutes; those of member's kinds go to
// the member directly.
func (r *Router) FromRelay(now time.Duration, relay string, kind member.Kind, body []byte) {}

// Up tells that another relay's process has a connection with ours, anew; Down that it has none.
func (r *Router) Up(now time.Duration, relay string) {}

// Down: see Up.
func (r *Router) Down(now time.Duration, relay string) {}

// Send takes what our own member sends of member.KindTalk, to relays too, so that all of it stays in
// order; those to relays come out as frames of that kind. Raft and snapshots go by the carrier.
func (r *Router) Send(now time.Duration, s member.Send) {}

// Tick sends what was gathered, and says to streams that the relay is there; every TickEvery.
func (r *Router) Tick(now time.Duration) {}

// Drain takes what is to be done: behind each call, or behind several.
func (r *Router) Drain() Out { return Out{} }

// Status tells how the relay stands.
func (r *Router) Status() RouterStatus { return RouterStatus{} }
