package hollow

import "time"

// request is a request to a hollow host: one of Start, Override, OverrideLoad and Report is set. It is a line of JSON
// on the hollow host's standard input. Each request gets a reply.
type request struct {
	Start        []string      `json:"start,omitempty"` // configuration files of the gateways to start
	Override     *override     `json:"say,omitempty"`
	OverrideLoad *overrideLoad `json:"change,omitempty"`
	// Report requests a Report. Status and Metrics add those of each gateway to it.
	Report  bool `json:"report,omitempty"`
	Status  bool `json:"status,omitempty"`
	Metrics bool `json:"counts,omitempty"`
}

// override is an operator's override of a host of a pool, set at a gateway.
type override struct {
	Gateway string `json:"by"`
	Host    string `json:"host"`
	Drain   bool   `json:"drain"` // true: the host is drained; false: the drain ends
}

// overrideLoad is a load of overrides that are set at gateways in turn, at a constant rate.
type overrideLoad struct {
	Gateways []string      `json:"by"`
	Rate     float64       `json:"rate"` // total of all gateways, in overrides per second
	Duration time.Duration `json:"for"`
}

// reply is a line of JSON on a hollow host's standard output: the reply to a request, or an event if Event is set.
type reply struct {
	Error   string  `json:"error,omitempty"`
	Report  *Report `json:"report,omitempty"`
	Applied int     `json:"done,omitempty"`   // number of overrides that were applied
	Failed  int     `json:"failed,omitempty"` // number of overrides that were rejected, or whose outcome is unknown

	Event    string `json:"event,omitempty"` // a log message, or OverrideEvent
	Gateway  string `json:"by,omitempty"`    // name of the gateway of an OverrideEvent
	UnixNano int64  `json:"at,omitempty"`    // time of the event
}

// errorReply returns the reply to a request whose only result is an error, which may be nil.
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
