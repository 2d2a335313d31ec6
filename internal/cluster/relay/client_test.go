package relay

import (
	"testing"
	"time"
)

// connectingClient is a client whose dials are all accepted.
type connectingClient struct {
	*Client
	t   *testing.T
	now time.Duration
}

// connect advances the time until the client has joined another relay, for at most 30 s, and returns the relay.
// While a renewal is unanswered, the relay sends a heartbeat with each tick; otherwise it sends none.
func (c *connectingClient) connect() (relay string) {
	c.t.Helper()
	for end := c.now + 30*time.Second; c.now < end; c.now += TickInterval {
		c.Tick(c.now)
		if output := c.TakeOutput(); len(output.Dial) > 0 {
			c.ReceiveJoinReply(c.now, output.Dial[0].Join.Epoch, JoinReply{Accepted: true})
			if joined := c.TakeOutput(); !joined.Reconnected {
				c.t.Fatalf("output after a join: got %+v, want Reconnected", joined)
			}
			return output.Dial[0].Relay
		}
		if epoch, ok := c.Current(); ok && c.unansweredSince != 0 {
			c.Receive(c.now, epoch, KindHeartbeat, nil)
		}
	}
	c.t.Fatal("dials within 30s: got none, want one")
	return ""
}

// A gateway leaves a relay that is silent for relayTimeout, and a relay through which no renewal gets a reply
// within minReplyTimeout. That timeout doubles until there is a reply, and the gateway does not return to the
// same relay at once.
func TestClientLeavesSilentRelayAndRelayWithoutReplies(t *testing.T) {
	relays := []Relay{{"r1", "z", "r"}, {"r2", "z", "r"}, {"r3", "z", "r"}, {"r4", "z", "r"}}
	c := &connectingClient{
		Client: NewClient(testStart, Config{Name: "g", ReplicaID: 1, Boots: 1, Seed: 1}, relays),
		t:      t,
		now:    testStart,
	}
	used := []string{c.connect()}
	began := c.now
	used = append(used, c.connect())
	if got := c.now - began; got < relayTimeout || got > relayTimeout+TickInterval {
		t.Errorf("time until a silent relay is left: got %v, want %v to %v", got, relayTimeout, relayTimeout+TickInterval)
	}
	previous := time.Duration(0)
	for range 4 {
		began = c.now
		c.RenewalSent(c.now)
		used = append(used, c.connect())
		got := c.now - began
		if got < minReplyTimeout {
			t.Errorf("time until a relay without replies is left: got %v, want %v at least", got, minReplyTimeout)
		}
		if got < previous*3/2 && previous < maxReplyTimeout/2 {
			t.Errorf("time until a relay without replies is left: got %v, want %v at least after %v", got, previous*3/2, previous)
		}
		previous = got
	}
	distinct := map[string]bool{}
	for _, name := range used[1:4] {
		distinct[name] = true
	}
	if len(distinct) < 3 {
		t.Errorf("relays used: got %v, want three in a row that differ", used)
	}
	c.LeaderResponded(c.now)
	began = c.now
	c.RenewalSent(c.now)
	c.connect()
	if got, most := c.now-began, minReplyTimeout+2*TickInterval; got > most {
		t.Errorf("time until a relay without replies is left, after a reply: got %v, want %v at most", got, most)
	}
}
