// Package scenario reads and writes scenario files. A scenario file describes a fleet, its traffic and its faults,
// and the expected results of the simulation. Unknown keys are errors, and each error names file, line and field.
package scenario

import (
	"os"
	"time"

	"dunemoor/internal/experiment/simulator"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name     string // base name of the file, without its suffix
	About    string
	Seed     uint64 // default seed of runs; 0: 1
	Config   simulator.Config
	Expected Expectations
}

// Expectations are conditions that a run must meet in addition to the rules of package simulator. A zero value means
// no expectation.
type Expectations struct {
	InTimeShare float64 // minimum share of first requests with a response within the latency objective
	// EndInTimeShare is the minimum share of the first requests sent at EndFrom, counted from the start of the run,
	// or later. By then the fleet must have recovered.
	EndFrom             time.Duration
	EndInTimeShare      float64
	WeightedInTimeShare float64 // minimum share with each request weighted by its priority weight
	ClassInTimeShare    float64 // minimum share in each class
	PerSecond           Budget
}

// Budget limits the events of a second, summed over all gateways of the fleet; 0: no limit.
type Budget struct {
	Handshakes          int `toml:"handshakes,omitzero"`
	WarmingAttempts     int `toml:"cold_sends,omitzero"`
	UnavailableAttempts int `toml:"dead_sends,omitzero"`
	Polls               int `toml:"list_calls,omitzero"`
}

// Load reads a scenario file. It returns all errors that it finds.
func Load(path string) (*Scenario, []error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []error{err}
	}
	return Parse(path, string(text))
}
