package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"dunemoor/internal/fleet"
)

// Status returns the status of each member of the process, by name, where asked with its metrics.
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

// programStatus returns the status of a process of the program, by its admin address.
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

// Report returns a hollow host's report on itself, without those of its gateways; nil for a process of the program.
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

// SetDrained sets an operator's override for a host of the first pool, at a gateway of a process of hollow ones: the
// host is drained, or no longer drained.
func (p *Process) SetDrained(gateway, host string, drain bool) error {
	_, err := p.request(&request{Override: &override{Gateway: gateway, Host: host, Drain: drain}})
	return err
}

// ApplyOverrides sets overrides at the gateways of a process of hollow ones, in turn, for a duration, at a rate a second
// of all together. It returns how many were applied and how many failed, when the last has ended.
func (p *Process) ApplyOverrides(rate float64, duration time.Duration) (applied, failed int, err error) {
	load := &overrideLoad{Gateways: p.Names, Rate: rate, Duration: duration}
	r, err := p.request(&request{OverrideLoad: load})
	if err != nil {
		return 0, 0, err
	}
	return r.Applied, r.Failed, nil
}
