package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"dunemoor/internal/fleet"
)

// Status returns the status of each member of the process by name, with its metrics if withMetrics is set.
func (p *Process) Status(withMetrics bool) (map[string]*Status, error) {
	if p.IsReal() {
		s, err := p.programStatus(withMetrics)
		return map[string]*Status{p.Names[0]: s}, err
	}
	r, err := p.request(&request{Report: true, Status: true, Metrics: withMetrics})
	if err != nil {
		return nil, err
	}
	return r.Report.Gateways, nil
}

// programStatus reads the status of a process of the program from its admin address.
func (p *Process) programStatus(withMetrics bool) (*Status, error) {
	s := &Status{}
	text, err := p.get(fleet.PathFleet)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, s); err != nil {
		return s, fmt.Errorf("read status of %s: %w", p.Names[0], err)
	}
	if !withMetrics {
		return s, nil
	}
	text, err = p.get(fleet.PathMetrics)
	s.Metrics = parseFleetMetrics(string(text))
	return s, err
}

// get returns the response to a GET request to the admin address of a process of the program.
func (p *Process) get(path string) ([]byte, error) {
	response, err := p.fleet.client.Get("http://" + p.fleet.layout.adminAddress(p.first) + path)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// Report returns a hollow host's report on itself, without the status of its gateways. It returns nil for a process
// of the program.
func (p *Process) Report() (*Report, error) {
	if p.IsReal() {
		return nil, nil
	}
	r, err := p.request(&request{Report: true})
	if err != nil {
		return nil, err
	}
	return r.Report, nil
}

// SetDrained sets an operator's override at a hollow gateway of the process, which drains a host of the gateway's
// first pool or ends the drain.
func (p *Process) SetDrained(gateway, host string, drain bool) error {
	_, err := p.request(&request{Override: &override{Gateway: gateway, Host: host, Drain: drain}})
	return err
}

// ApplyOverrides sets overrides at the hollow gateways of the process in turn for a duration, at a total rate per
// second. When the last one has ended, it returns how many were applied and how many failed.
func (p *Process) ApplyOverrides(rate float64, duration time.Duration) (applied, failed int, err error) {
	load := &overrideLoad{Gateways: p.Names, Rate: rate, Duration: duration}
	r, err := p.request(&request{OverrideLoad: load})
	if err != nil {
		return 0, 0, err
	}
	return r.Applied, r.Failed, nil
}
