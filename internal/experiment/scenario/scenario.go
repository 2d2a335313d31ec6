// Package scenario reads and writes scenario files: a fleet, its traffic and its faults, and what is expected
// of the run. Files are read strictly: each error has file, line and field.
package scenario

import (
	"os"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// Scenario is the content of a file.
type Scenario struct {
	Name     string // of the file, without its suffix
	About    string
	Seed     uint64 // default of the runs; 0: 1
	Config   simulator.Config
	Expected Expectations
}

// Expectations is what must hold in a run beside the rules of package simulator. Zero values expect nothing.
type Expectations struct {
	InTimeShare float64 // least share of first requests with a response within the latency objective
	// From EndFrom on, counted from the start of the run, EndInTimeShare is the least share: the fleet must
	// have recovered.
	EndFrom             time.Duration
	EndInTimeShare      float64
	WeightedInTimeShare float64 // least InTimeShare with each request counted by its priority weight
	ClassInTimeShare    float64 // least InTimeShare of any class
	PerSecond           Budget
}

// Budget is the most that a fleet may do in a second, all gateways together; 0: no limit.
type Budget struct {
	Handshakes          int `toml:"handshakes,omitzero"`
	WarmingAttempts     int `toml:"cold_sends,omitzero"`
	UnavailableAttempts int `toml:"dead_sends,omitzero"`
	Polls               int `toml:"list_calls,omitzero"`
}

// Load reads a file. It returns all errors that it finds.
func Load(path string) (*Scenario, []error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{err}
	}
	return Parse(path, string(text))
}
