package faulttest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Status is the part of a gateway's /admin/fleet status that this package uses.
type Status struct {
	FleetID     string           `json:"id"`
	Name        string           `json:"name"`
	ReplicaID   uint64           `json:"disk"`
	Role        string           `json:"role"`
	Reason      string           `json:"why"`
	Leader      string           `json:"leader"`
	Term        uint64           `json:"term"`
	Commit      uint64           `json:"commit"`
	Applied     uint64           `json:"applied"`
	Session     uint64           `json:"session"`
	ExpiresInMS int64            `json:"expires_in_ms"`
	Members     []MemberStatus   `json:"members"`
	Leases      []LeaseStatus    `json:"duties"`
	Replicas    []ReplicaStatus  `json:"keepers"`
	Sessions    int              `json:"sessions"`
	Overrides   []OverrideStatus `json:"words"`
	Relay       RelayStream      `json:"relay"`
	Streams     RelayLoad        `json:"streams"`
}

// Roles of a gateway.
const (
	roleLeader  = "leader"
	roleStopped = "stopped"
)

// MemberStatus is the status of a gateway of the fleet.
type MemberStatus struct {
	Name    string `json:"name"`
	Session uint64 `json:"session"`
}

// LeaseStatus is the status of a lease.
type LeaseStatus struct {
	Name   string `json:"name"`
	Holder string `json:"owner"`
	Token  uint64 `json:"token"`
}

// ReplicaStatus is the status of a replica of the coordination state.
type ReplicaStatus struct {
	ID      uint64 `json:"replica"`
	Name    string `json:"name"`
	Learner bool   `json:"learner"`
}

// OverrideStatus is an operator's override of a host.
type OverrideStatus struct {
	Pool string `json:"pool"`
	Host string `json:"host"`
}

// RelayStream is the status of a gateway's stream to its relay.
type RelayStream struct {
	Name  string `json:"name"`  // name of the relay; "": none
	Moves uint64 `json:"moves"` // number of streams that relays have accepted since the start
}

// RelayLoad contains the numbers of streams and routes of a relay.
type RelayLoad struct {
	Streams int            `json:"streams"`
	Routes  int            `json:"routes"`
	Relays  map[string]int `json:"relays"` // numbers of streams, by name of a relay that is up
}

// Token returns the fencing token of a lease in the gateway's status, or 0 if the status does not list the lease.
func (s *Status) Token(lease string) uint64 {
	for _, l := range s.Leases {
		if l.Name == lease {
			return l.Token
		}
	}
	return 0
}

// URL returns the base URL for client requests.
func (g *Gateway) URL() string { return "http://" + g.clients }

func (g *Gateway) adminURL(path string) string { return "http://" + g.admin + "/admin/" + path }

// Status returns the gateway's status in its fleet.
func (g *Gateway) Status() (*Status, error) {
	response, err := g.fleet.client.Get(g.adminURL("fleet"))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	s := &Status{}
	if err := json.NewDecoder(response.Body).Decode(s); err != nil {
		return nil, err
	}
	return s, nil
}

// HasSession reports whether the gateway responds and has a session.
func (g *Gateway) HasSession() bool {
	s, err := g.Status()
	return err == nil && s.Session != 0
}

// Post sends an operator's request to /admin/fleet/CALL, such as "move", and returns the status and body of the
// response.
func (g *Gateway) Post(call string, parameters url.Values) (int, string, error) {
	response, err := g.fleet.client.Post(g.adminURL("fleet/"+call)+"?"+parameters.Encode(), "", nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// postTransfer requests the transfer of a lease to another gateway, as an operator.
func (g *Gateway) postTransfer(lease string, to *Gateway) (int, string, error) {
	return g.Post("move", url.Values{"duty": {lease}, "to": {to.Name}})
}

// transfer is postTransfer, but returns an error for a status other than 200.
func (g *Gateway) transfer(lease string, to *Gateway) error {
	status, text, err := g.postTransfer(lease, to)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("transfer of %s: got status %d: %s", lease, status, text)
	}
	return err
}

// Metrics returns the values of the gateway's metrics. Keys are names with labels.
func (g *Gateway) Metrics() (map[string]float64, error) {
	response, err := g.fleet.client.Get(g.adminURL("metrics"))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	metrics := map[string]float64{}
	in := bufio.NewScanner(response.Body)
	for in.Scan() {
		name, text, ok := strings.Cut(in.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); ok && err == nil {
			metrics[name] = value
		}
	}
	return metrics, in.Err()
}
