package balancer_test

import (
	"fmt"
	"time"

	"dunemoor/balancer"
)

// The event loop of a gateway: it reports each event with the current time and then carries out the
// actions. In this example the network and the clock are scripted; a real gateway sends the request on Send
// and reports the response with AttemptEnded when it arrives.
func Example() {
	settings := balancer.Settings{
		Instances: 1,
		Cancel:    true,
		Classes:   []balancer.Class{{LatencyObjective: 300 * time.Millisecond, Deadline: time.Second}},
	}
	b, err := balancer.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}

	timers := map[uint64]balancer.Time{} // a real gateway keeps a timer queue
	var actions []balancer.Action        // owned by the gateway and reused for every event
	carryOut := func() {
		actions = b.TakeActions(actions[:0])
		for _, action := range actions {
			if action.Kind == balancer.Wake {
				timers[action.Token] = action.At
				continue
			}
			printAction(action)
		}
	}

	now := time.Minute
	b.Start(now)
	// After a restart, start with the list that was saved to disk; it may be stale.
	b.UpdateEndpoints(now, balancer.ListSaved, []balancer.Host{{ID: 7}})
	b.Request(now, balancer.Request{ID: 1, Remaining: time.Second})
	carryOut()

	// The host refuses the connection. The request has not run, so it is sent to another host.
	now += 5 * time.Millisecond
	b.UpdateEndpoints(now, balancer.ListChanges, []balancer.Host{{ID: 8}})
	b.AttemptEnded(now, balancer.Outcome{Request: 1, Attempt: 0,
		Result: balancer.ConnectFailed, Elapsed: 5 * time.Millisecond})
	carryOut()

	// The complete response was sent to the client.
	now += 40 * time.Millisecond
	b.AttemptEnded(now, balancer.Outcome{Request: 1, Attempt: 1,
		Result: balancer.OK, Elapsed: 40 * time.Millisecond, Closed: true})
	carryOut()

	// Timers fire even if they are no longer needed; the balancer ignores them.
	for token, at := range timers {
		b.Timer(max(now, at), token)
		carryOut()
	}

	// Output:
	// send request 1 to host 7
	// log: host 7 ejected: connections fail
	// send request 1 to host 8
}

// printAction carries out an action of the example by printing it.
func printAction(action balancer.Action) {
	switch action.Kind {
	case balancer.Send:
		fmt.Printf("send request %d to host %d\n", action.Request, action.Host)
	case balancer.Cancel:
		fmt.Printf("cancel attempt %d of request %d\n", action.Attempt, action.Request)
	case balancer.Reject:
		fmt.Printf("reject request %d\n", action.Request)
	case balancer.Fail:
		fmt.Printf("fail request %d\n", action.Request)
	case balancer.Log:
		fmt.Println("log:", action.Text)
	}
}
