package hollow

import "time"

// request is what a hollow host is to do: one of Start, Override, OverrideLoad and Report. It is a line of JSON on the
// hollow host's standard input. Each request gets a reply.
type request struct {
	Start        []string      `json:"start,omitempty"` // files of gateways
	Override     *override     `json:"say,omitempty"`
	OverrideLoad *overrideLoad `json:"change,omitempty"`
	// Report asks for a Report, with Status and Metrics also for those of each gateway.
	Report  bool `json:"report,omitempty"`
	Status  bool `json:"status,omitempty"`
	Metrics bool `json:"counts,omitempty"`
}

// override is an operator's override of a host of a pool, set at a gateway.
type override struct {
	Gateway string `json:"by"`
	Host    string `json:"host"`
	Drain   bool   `json:"drain"` // false: the host is no longer drained
}

// overrideLoad is a load of overrides, set at gateways in turn at a steady rate.
type overrideLoad struct {
	Gateways []string      `json:"by"`
	Rate     float64       `json:"rate"` // overrides a second, of all gateways together
	Duration time.Duration `json:"for"`
}

// reply is a line of JSON on a hollow host's standard output: the reply to a request, or, with Event set, an event.
type reply struct {
	Error   string  `json:"error,omitempty"`
	Report  *Report `json:"report,omitempty"`
	Applied int     `json:"done,omitempty"`   // overrides that were applied
	Failed  int     `json:"failed,omitempty"` // overrides that were rejected, or whose outcome is unknown

	Event    string `json:"event,omitempty"` // a log message, or OverrideEvent
	Gateway  string `json:"by,omitempty"`    // set for OverrideEvent
	UnixNano int64  `json:"at,omitempty"`    // time of the event
}

// errorReply returns the reply to a request that has no result but an error, which may be nil.
func errorReply(err error) *reply {
	if err == nil {
		return &reply{}
	}
	return &reply{Error: err.Error()}
}

// Report is a hollow host's report on itself.
type Report struct {
	Goroutines int                `json:"goroutines"`
	Heap       uint64             `json:"heap"` // bytes in use by objects and stacks
	Gateways   map[string]*Status `json:"gateways,omitempty"`
}
