package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/cluster"
	"dunemoor/internal/cluster/node"
	"dunemoor/internal/fleet"
)

// Exit codes of the fleet's commands, beside 1 for what could not be asked at all.
const (
	exitRefused = 2 // the fleet refused it, nothing was done
	exitUnknown = 3 // what came of it is not known: ask again, it has one effect
	exitApart   = 4 // status: the gateway has no session, or nobody leads
)

// coded is an error with an exit code of its own.
type coded struct {
	code int
	text string
}

func (e *coded) Error() string { return e.text }

// callTime is how long a gateway has to answer.
const callTime = 6 * time.Second

// operateFleet is about the fleet, asked at one gateway.
func operateFleet() *cobra.Command {
	var admin string
	cmd := &cobra.Command{Use: "fleet", Short: "See who owns what in a fleet of gateways, and change it"}
	cmd.PersistentFlags().StringVar(&admin, "admin", "127.0.0.1:8090", "the gateway's address for operators, `host:port`")
	status := func() (*cluster.Status, []byte, error) {
		text, err := call(http.MethodGet, admin, fleet.PathFleet, nil)
		if err != nil {
			return nil, nil, err
		}
		s := &cluster.Status{Status: &node.Status{}}
		if err := json.Unmarshal(text, s); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", admin, err)
		}
		return s, text, nil
	}
	asJSON := false
	show := &cobra.Command{
		Use: "status", Args: cobra.NoArgs,
		Short: "How the gateway stands in its fleet; ends with 4 where it has no session or nobody leads",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, text, err := status()
			if err != nil {
				return err
			}
			if asJSON {
				cmd.OutOrStdout().Write(text)
			} else {
				printStatus(cmd.OutOrStdout(), s)
			}
			if s.Session == 0 || s.Leader == "" {
				return &coded{exitApart, s.Name + " has no session with its fleet, or nobody leads that: requests are served, duties stand still"}
			}
			return nil
		},
	}
	show.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	table := func(use, short string, print func(w io.Writer, s *cluster.Status)) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			s, _, err := status()
			if err == nil {
				print(cmd.OutOrStdout(), s)
			}
			return err
		}}
	}
	act := func(use, short, path string, keys ...string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(len(keys)), RunE: func(cmd *cobra.Command, args []string) error {
			with := url.Values{}
			for i, k := range keys {
				with.Set(k, args[i])
			}
			text, err := call(http.MethodPost, admin, path, with)
			if err == nil {
				cmd.OutOrStdout().Write(text)
			}
			return err
		}}
	}
	var until, reason string
	drain := &cobra.Command{
		Use: "drain POOL/HOST", Args: cobra.ExactArgs(1),
		Short: "Have all gateways send a host nothing new, whatever its list says, until it is taken back",
		RunE: func(cmd *cobra.Command, args []string) error {
			pool, host, _ := strings.Cut(args[0], "/")
			with := url.Values{"pool": {pool}, "host": {host}, "reason": {reason}}
			if until != "" {
				left, err := leftUntil(until, time.Now())
				if err != nil {
					return err
				}
				with.Set("until", left.String())
			}
			text, err := call(http.MethodPost, admin, fleet.PathDrain, with)
			if err == nil {
				cmd.OutOrStdout().Write(text)
			}
			return err
		},
	}
	drain.Flags().StringVar(&until, "until", "", "when it ends by itself: a time like 2026-12-24T18:00:00Z, or how long, like 2h")
	drain.Flags().StringVar(&reason, "reason", "", "shown to others")
	undrain := &cobra.Command{
		Use: "undrain POOL/HOST", Args: cobra.ExactArgs(1), Short: "Have a host be what its list says again",
		RunE: func(cmd *cobra.Command, args []string) error {
			pool, host, _ := strings.Cut(args[0], "/")
			text, err := call(http.MethodPost, admin, fleet.PathUndrain, url.Values{"pool": {pool}, "host": {host}})
			if err == nil {
				cmd.OutOrStdout().Write(text)
			}
			return err
		},
	}
	cmd.AddCommand(show, drain, undrain,
		table("words", "Operators' words on hosts, as this gateway goes by them", printWords),
		table("members", "The gateways of the fleet", printMembers),
		table("duties", "The duties, and who owns each", printDuties),
		act("resign DUTY", "Have the owner of a duty give it to another gateway", fleet.PathRelease, "duty"),
		act("move DUTY GATEWAY", "Have the owner of a duty give it to a gateway", fleet.PathTransfer, "duty", "to"),
		act("add GATEWAY", "Have a gateway hold a copy of the record from now on", fleet.PathAddReplica, "gateway"),
		act("remove GATEWAY", "Have a gateway hold none any more", fleet.PathRemoveReplica, "gateway"),
	)
	return cmd
}

// leftUntil is how long from now on a word is to last: only that is told, as the fleet compares no
// clocks on the wall.
func leftUntil(text string, now time.Time) (time.Duration, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("--until: %q is neither a time like 2026-12-24T18:00:00Z nor one like 2h", text)
	}
	if !at.After(now) {
		return 0, fmt.Errorf("--until: %s is over", text)
	}
	return at.Sub(now).Round(time.Second), nil
}

// call makes one call at a gateway's address for operators.
func call(method, admin, path string, with url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: admin, Path: path, RawQuery: with.Encode()}
	r, err := http.NewRequest(method, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Timeout: callTime}).Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	said := strings.TrimSpace(string(text))
	switch resp.StatusCode {
	case http.StatusOK:
		return text, nil
	case http.StatusNotFound:
		return nil, fmt.Errorf("%s is of no fleet: its file has no [fleet]", admin)
	case http.StatusConflict, http.StatusServiceUnavailable:
		return nil, &coded{exitRefused, said}
	case http.StatusGatewayTimeout:
		return nil, &coded{exitUnknown, said}
	}
	return nil, fmt.Errorf("%s answers %s: %s", admin, resp.Status, said)
}

// exitCode is what an error ends the program with.
func exitCode(err error) int {
	var c *coded
	if errors.As(err, &c) {
		return c.code
	}
	return 1
}

func printStatus(w io.Writer, s *cluster.Status) {
	fmt.Fprintf(w, "%s of fleet %s: %s", s.Name, s.Fleet, s.Role)
	if s.Reason != "" {
		fmt.Fprintf(w, " (%s)", s.Reason)
	}
	fmt.Fprintf(w, "\nleader %s, term %d, committed to %d, applied to %d here\n", cmp.Or(s.Leader, "not known"), s.Term, s.Commit, s.Applied)
	if s.Session == 0 {
		fmt.Fprintln(w, "no session")
	} else {
		fmt.Fprintf(w, "session %d, for another %d ms\n", s.Session, s.ExpiresInMS)
	}
	if s.FreshMS < 0 {
		fmt.Fprintln(w, "never confirmed by a leader")
	} else {
		fmt.Fprintf(w, "confirmed by the leader %d ms ago\n", s.FreshMS)
	}
	printRelay(w, s)
	var keepers []string
	for _, k := range s.Replicas {
		name := cmp.Or(k.Name, fmt.Sprint(k.ID))
		if k.Learner {
			name += " (being brought up)"
		}
		keepers = append(keepers, name)
	}
	fmt.Fprintf(w, "the record is held by %s\n%d members, %d with a session\n\n", cmp.Or(strings.Join(keepers, ", "), "nobody that is known"), max(len(s.Members), s.Sessions), s.Sessions)
	printDuties(w, s)
}

// printRelay tells of a fleet with relays: where the gateway has its stream, or what the relay holds.
func printRelay(w io.Writer, s *cluster.Status) {
	if r := s.Relay; r != nil {
		if r.Name == "" {
			fmt.Fprint(w, "no relay")
		} else {
			fmt.Fprintf(w, "at relay %s for %v", r.Name, (time.Duration(r.SinceMS) * time.Millisecond).Round(time.Second))
		}
		if r.Preferred != "" && r.Preferred != r.Name {
			fmt.Fprintf(w, ", would be at %s", r.Preferred)
		}
		fmt.Fprintf(w, "; epoch %x, %d streams so far", r.Epoch, r.Moves)
		for _, why := range slices.Sorted(maps.Keys(r.Ends)) {
			fmt.Fprintf(w, ", %s: %d", why, r.Ends[why])
		}
		fmt.Fprintln(w)
	}
	if r := s.Streams; r != nil {
		fmt.Fprintf(w, "a relay: %d gateways here, %d at most, %d at all relays that are up:", r.Streams, r.Limit, r.Routes)
		for _, name := range slices.Sorted(maps.Keys(r.Relays)) {
			fmt.Fprintf(w, " %s %d", name, r.Relays[name])
		}
		fmt.Fprintf(w, "\nstreams taken %d, refused %d, cut %d; words dropped %d, garbled %d\n", r.Joins, r.Rejected, r.Closed, r.Dropped, r.Malformed)
	}
}

func printMembers(w io.Writer, s *cluster.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "GATEWAY\tSESSION\tEXPIRES\tZONE\tMACHINE\tDISK")
	for _, m := range s.Members {
		session, expires := "none", "-"
		if m.Session != 0 {
			session = fmt.Sprint(m.Session)
		}
		if m.ExpiresInMS != nil {
			expires = fmt.Sprintf("%d ms", *m.ExpiresInMS)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%016x\n", m.Name, session, expires, cmp.Or(m.Zone, "-"), cmp.Or(m.Machine, "-"), m.ReplicaID)
	}
}

func printWords(w io.Writer, s *cluster.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "HOST\tENDS IN\tASKED AT\tREASON")
	for _, x := range s.Overrides {
		ends := "-"
		if x.RemainingMS > 0 {
			ends = (time.Duration(x.RemainingMS) * time.Millisecond).Round(time.Minute).String()
		}
		fmt.Fprintf(t, "%s/%s\t%s\t%s\t%s\n", x.Pool, x.Host, ends, x.CreatedBy, cmp.Or(x.Reason, "-"))
	}
}

func printDuties(w io.Writer, s *cluster.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "DUTY\tOWNER\tTOKEN\tTO")
	for _, d := range s.Leases {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", d.Name, cmp.Or(d.Holder, "nobody"), d.Token, cmp.Or(d.TransferTo, "-"))
	}
}
