package fakes

import (
	"encoding/json"
	"time"
)

// DefaultClasses returns the default classes of requests, one for each Idempotency: a lookup, a booking and a report.
func DefaultClasses() []Class {
	return []Class{
		{Name: "lookup", Idempotency: Idempotent, Share: 5, Timeout: 4 * time.Second},
		{Name: "book", Idempotency: NonIdempotent, Share: 3, Timeout: 2 * time.Second, Body: "one booking"},
		{Name: "report", Idempotency: IdempotentWithKey, Share: 2, Timeout: 4 * time.Second, DedupWindow: 2500 * time.Millisecond, Body: "one report"},
	}
}

// platformIdempotency is the name of each Idempotency in the platform's configuration.
var platformIdempotency = [...]string{
	Idempotent:        "idempotent",
	IdempotentWithKey: "deduplicated",
	NonIdempotent:     "at_most_once",
}

// object is a JSON object.
type object map[string]any

// PlatformConfig returns the platform's JSON configuration of a gateway in front of this fleet.
func (f *Fleet) PlatformConfig(name, listen string, classes []Class) []byte {
	config := object{
		"name":      name,
		"listen":    listen,
		"discovery": f.Discovery.Addr(),
		"seed":      "5eed",
		"limits":    object{"cores": 1, "memory_mb": 64, "sockets": 1024},
		"known":     MemberList{Version: 1, Full: true, Servers: f.Members()},
		"settings": object{
			"balancers": 1,
			"step":      1000,
			"classes":   platformClasses(classes),
			"azs":       []string{"hall-a"},
			"kinds":     []string{"std"},
			"caps": object{
				"cancel": true, "max_attempts": 4, "retry_after": true, "max_retry_after": 2_000_000,
			},
			"obligations": object{
				"cold_from": 0.4, "warm_after": 3_000_000, "overload_factor": 2.5, "fall": 1_500_000,
			},
		},
	}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		panic(err) // can't happen: all values can be encoded
	}
	return text
}

// platformClasses returns the classes in the format of the platform's settings. The latency objective ("promise") is half
// of a client's timeout. Durations are in microseconds.
func platformClasses(classes []Class) []object {
	list := []object{}
	for _, c := range classes {
		list = append(list, object{
			"name":       c.Name,
			"effect":     platformIdempotency[c.Idempotency],
			"group":      "cell",
			"promise":    c.Timeout.Microseconds() / 2,
			"hard_limit": c.Timeout.Microseconds(),
			"importance": 1 + int(c.Idempotency),
			"window":     c.DedupWindow.Microseconds(),
		})
	}
	return list
}
