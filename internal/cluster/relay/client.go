package relay

import (
	"time"

	"lynxspool/internal/cluster/member"
)

// Client is a gateway's part. It is used as a Router is.
type Client struct{}

// NewClient returns the part of a gateway; its first Drain has a Dial.
func NewClient(now time.Duration, cfg Config, relays []Relay) *Client { return &Client{} }

// Joined brings a relay's answer on a stream that Drain had dialled.
func (c *Client) Joined(now time.Duration, epoch uint64, a Answer) {}

// Ended tells that a stream has ended, or could not be opened within DialMost.
func (c *Client) Ended(now time.Duration, epoch uint64) {}

// Heard takes a frame of a stream, behind its Answer.
func (c *Client) Heard(now time.Duration, epoch uint64, kind member.Kind, body []byte) {}

// Send takes what our member sends; where there is no stream it is lost, and asked again.
func (c *Client) Send(now time.Duration, s member.Send) {}

// Asked tells that our member has asked for its session to go on (member.Out.Asked), Answered that a
// leader's word came (member.Out.Answered).
func (c *Client) Asked(now time.Duration) {}

// Answered: see Asked.
func (c *Client) Answered(now time.Duration) {}

// Tick is to be called every TickEvery.
func (c *Client) Tick(now time.Duration) {}

// Drain takes what is to be done.
func (c *Client) Drain() ClientOut { return ClientOut{} }

// Current is the stream that there is.
func (c *Client) Current() (epoch uint64, ok bool) { return 0, false }

// Status tells how the gateway stands.
func (c *Client) Status() ClientStatus { return ClientStatus{} }
