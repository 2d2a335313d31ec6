package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/cluster"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/fleet"
)

// fleetClient calls one gateway of a fleet.
type fleetClient struct {
	admin string // host:port, the gateway's admin address
}

// fleetCommand returns the commands that show and change a fleet, by calls to the admin API of one of its gateways.
// Commands, parameters and headings of tables keep the names that scripts use: "words" are overrides, a "duty" is a lease,
// "resign" releases it and "move" transfers it. The terms used in the code are aliases of the commands.
func fleetCommand() *cobra.Command {
	var c fleetClient
	cmd := &cobra.Command{Use: "fleet", Short: "Show the leases, members and overrides of a fleet of gateways, and change them"}
	cmd.PersistentFlags().StringVar(&c.admin, "admin", "127.0.0.1:8090", "admin address of the gateway, `host:port`")
	cmd.AddCommand(
		c.statusCommand(),
		c.drainCommand(),
		c.undrainCommand(),
		c.tableCommand(&cobra.Command{
			Use:     "words",
			Aliases: []string{"overrides"},
			Short:   "List the operators' overrides of hosts, as this gateway applies them (alias: overrides)",
		}, printOverrides),
		c.tableCommand(&cobra.Command{
			Use:   "members",
			Short: "List the gateways of the fleet",
		}, printMembers),
		c.tableCommand(&cobra.Command{
			Use:     "duties",
			Aliases: []string{"leases"},
			Short:   "List the leases and their holders (alias: leases)",
		}, printLeases),
		c.actionCommand(&cobra.Command{
			Use:     "resign DUTY",
			Aliases: []string{"release"},
			Short:   "Make the holder of the lease DUTY release it to another gateway (alias: release)",
		}, fleet.PathRelease, "duty"),
		c.actionCommand(&cobra.Command{
			Use:     "move DUTY GATEWAY",
			Aliases: []string{"transfer"},
			Short:   "Make the holder of the lease DUTY transfer it to a gateway (alias: transfer)",
		}, fleet.PathTransfer, "duty", "to"),
		c.actionCommand(&cobra.Command{
			Use:   "add GATEWAY",
			Short: "Add a replica of the coordination state at a gateway",
		}, fleet.PathAddReplica, "gateway"),
		c.actionCommand(&cobra.Command{
			Use:   "remove GATEWAY",
			Short: "Remove the replica at a gateway",
		}, fleet.PathRemoveReplica, "gateway"),
	)
	return cmd
}

// status returns the status of the gateway, decoded and as JSON.
func (c *fleetClient) status() (*cluster.Status, []byte, error) {
	text, err := c.call(http.MethodGet, fleet.PathFleet, nil)
	if err != nil {
		return nil, nil, err
	}
	s := &cluster.Status{Status: &node.Status{}}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.admin, err)
	}
	return s, text, nil
}

func (c *fleetClient) statusCommand() *cobra.Command {
	asJSON := false
	cmd := &cobra.Command{
		Use:   "status",
		Args:  cobra.NoArgs,
		Short: "Show the status of the gateway in its fleet; exit code 4 if it has no session or there is no leader",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, text, err := c.status()
			if err != nil {
				return err
			}
			if asJSON {
				cmd.OutOrStdout().Write(text)
			} else {
				printStatus(cmd.OutOrStdout(), s)
			}
			if s.Session == 0 || s.Leader == "" {
				return &exitCodeError{exitUnavailable, s.Name + " has no session with its fleet, or the fleet has no leader: requests are served, leases don't change"}
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the status as JSON")
	return cmd
}

// tableCommand makes cmd print a part of the gateway's status with the function print.
func (c *fleetClient) tableCommand(cmd *cobra.Command, print func(w io.Writer, s *cluster.Status)) *cobra.Command {
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s, _, err := c.status()
		if err != nil {
			return err
		}
		print(cmd.OutOrStdout(), s)
		return nil
	}
	return cmd
}

// actionCommand makes cmd send an admin call to path. The arguments of the command are the values of the parameters keys.
func (c *fleetClient) actionCommand(cmd *cobra.Command, path string, keys ...string) *cobra.Command {
	cmd.Args = cobra.ExactArgs(len(keys))
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		parameters := url.Values{}
		for i, key := range keys {
			parameters.Set(key, args[i])
		}
		return c.post(cmd.OutOrStdout(), path, parameters)
	}
	return cmd
}

func (c *fleetClient) drainCommand() *cobra.Command {
	var until, reason string
	cmd := &cobra.Command{
		Use:   "drain POOL/HOST",
		Args:  cobra.ExactArgs(1),
		Short: "Drain a host at all gateways, regardless of its endpoint list, until the override is removed or expires",
		RunE: func(cmd *cobra.Command, args []string) error {
			parameters := hostParameters(args[0])
			parameters.Set("reason", reason)
			if until != "" {
				remaining, err := timeUntil(until, time.Now())
				if err != nil {
					return err
				}
				parameters.Set("until", remaining.String())
			}
			return c.post(cmd.OutOrStdout(), fleet.PathDrain, parameters)
		},
	}
	cmd.Flags().StringVar(&until, "until", "", "when the override expires: a time like 2026-12-24T18:00:00Z, or a duration like 2h")
	cmd.Flags().StringVar(&reason, "reason", "", "reason that the list of overrides shows")
	return cmd
}

func (c *fleetClient) undrainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "undrain POOL/HOST",
		Args:  cobra.ExactArgs(1),
		Short: "Remove the override of a host, so that its endpoint list applies again",
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.post(cmd.OutOrStdout(), fleet.PathUndrain, hostParameters(args[0]))
		},
	}
}

// hostParameters returns the parameters of a call for the argument POOL/HOST.
func hostParameters(poolAndHost string) url.Values {
	pool, host, _ := strings.Cut(poolAndHost, "/")
	return url.Values{"pool": {pool}, "host": {host}}
}

// timeUntil returns how long an override lasts from now on. The fleet does not compare wall clocks, so calls carry a
// duration.
func timeUntil(text string, now time.Time) (time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("--until: %q is neither a time like 2026-12-24T18:00:00Z nor a duration like 2h", text)
	}
	if !at.After(now) {
		return 0, fmt.Errorf("--until: %s is in the past", text)
	}
	return at.Sub(now).Round(time.Second), nil
}

// callTimeout is how long a call waits for the response of the gateway.
const callTimeout = 6 * time.Second

// post makes a POST call and writes the response.
func (c *fleetClient) post(w io.Writer, path string, parameters url.Values) error {
	text, err := c.call(http.MethodPost, path, parameters)
	if err != nil {
		return err
	}
	w.Write(text)
	return nil
}

// call makes one admin call and returns the body of the response. If the gateway or its fleet has rejected the call, or
// its result is unknown, the error is an *exitCodeError. It is another error if the gateway can't be reached, is not a
// member of a fleet, or sends an unexpected response.
func (c *fleetClient) call(method, path string, parameters url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: c.admin, Path: path, RawQuery: parameters.Encode()}
	request, err := http.NewRequest(method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	message := strings.TrimSpace(string(text))
	switch response.StatusCode {
	case http.StatusOK:
		return text, nil
	case http.StatusNotFound:
		return nil, fmt.Errorf("%s is not a member of a fleet: its file has no [fleet] section", c.admin)
	case http.StatusConflict, http.StatusServiceUnavailable:
		return nil, &exitCodeError{exitRejected, message}
	case http.StatusGatewayTimeout:
		return nil, &exitCodeError{exitUnknown, message}
	}
	return nil, fmt.Errorf("%s responded with status %s: %s", c.admin, response.Status, message)
}
