package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"dunemoor/internal/cluster"
	"dunemoor/internal/cluster/lease"
)

// printStatus prints the status of a gateway and the leases.
func printStatus(w io.Writer, s *cluster.Status) {
	fmt.Fprintf(w, "%s of fleet %s: %s", s.Name, s.Fleet, s.Role)
	if s.Reason != "" {
		fmt.Fprintf(w, " (%s)", s.Reason)
	}
	leader := cmp.Or(s.Leader, "not known")
	fmt.Fprintf(w, "\nleader %s, term %d, committed to %d, applied to %d here\n", leader, s.Term, s.Commit, s.Applied)
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
	printRelayStream(w, s)
	printRelayLoad(w, s)
	replicas := cmp.Or(replicaNames(s.Replicas), "nobody that is known")
	fmt.Fprintf(w, "the record is held by %s\n%d members, %d with a session\n\n", replicas, max(len(s.Members), s.Sessions), s.Sessions)
	printLeases(w, s)
}

// replicaNames lists the gateways with a replica of the coordination state.
func replicaNames(replicas []lease.Replica) string {
	var names []string
	for _, r := range replicas {
		name := cmp.Or(r.Name, fmt.Sprint(r.ID))
		if r.Learner {
			name += " (being brought up)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// printRelayStream prints the state of the stream from a gateway to its relay. It prints nothing in a fleet without relays.
func printRelayStream(w io.Writer, s *cluster.Status) {
	r := s.Relay
	if r == nil {
		return
	}
	if r.Name == "" {
		fmt.Fprint(w, "no relay")
	} else {
		fmt.Fprintf(w, "at relay %s for %v", r.Name, milliseconds(r.SinceMS).Round(time.Second))
	}
	if r.Preferred != "" && r.Preferred != r.Name {
		fmt.Fprintf(w, ", would be at %s", r.Preferred)
	}
	fmt.Fprintf(w, "; epoch %x, %d streams so far", r.Epoch, r.Moves)
	for _, reason := range slices.Sorted(maps.Keys(r.Ends)) {
		fmt.Fprintf(w, ", %s: %d", reason, r.Ends[reason])
	}
	fmt.Fprintln(w)
}

// printRelayLoad prints the streams of a gateway that is a relay. The "words" in the text are records on the streams:
// those dropped came late, twice or for an unknown gateway, and those garbled were malformed.
func printRelayLoad(w io.Writer, s *cluster.Status) {
	r := s.Streams
	if r == nil {
		return
	}
	fmt.Fprintf(w, "a relay: %d gateways here, %d at most, %d at all relays that are up:", r.Streams, r.Limit, r.Routes)
	for _, name := range slices.Sorted(maps.Keys(r.Relays)) {
		fmt.Fprintf(w, " %s %d", name, r.Relays[name])
	}
	fmt.Fprintf(w, "\nstreams taken %d, refused %d, cut %d; words dropped %d, garbled %d\n", r.Joins, r.Rejected, r.Closed, r.Dropped, r.Malformed)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// newTable returns a writer that aligns the columns of a table; the caller must flush it.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// printMembers prints the gateways of the fleet with their sessions; DISK is the replica ID, in hexadecimal.
func printMembers(w io.Writer, s *cluster.Status) {
	t := newTable(w)
	defer t.Flush()
	fmt.Fprintln(t, "GATEWAY\tSESSION\tEXPIRES\tZONE\tMACHINE\tDISK")
	for _, m := range s.Members {
		session := "none"
		if m.Session != 0 {
			session = fmt.Sprint(m.Session)
		}
		expires := "-"
		if m.ExpiresInMS != nil {
			expires = fmt.Sprintf("%d ms", *m.ExpiresInMS)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%016x\n", m.Name, session, expires, cmp.Or(m.Zone, "-"), cmp.Or(m.Machine, "-"), m.ReplicaID)
	}
}

// printOverrides prints the operators' overrides of hosts; ASKED AT is the gateway at which an override was created.
func printOverrides(w io.Writer, s *cluster.Status) {
	t := newTable(w)
	defer t.Flush()
	fmt.Fprintln(t, "HOST\tENDS IN\tASKED AT\tREASON")
	for _, o := range s.Overrides {
		ends := "-"
		if o.RemainingMS > 0 {
			ends = milliseconds(o.RemainingMS).Round(time.Minute).String()
		}
		fmt.Fprintf(t, "%s/%s\t%s\t%s\t%s\n", o.Pool, o.Host, ends, o.CreatedBy, cmp.Or(o.Reason, "-"))
	}
}

// printLeases prints the leases with their holders; TO is the gateway that a lease is being transferred to.
func printLeases(w io.Writer, s *cluster.Status) {
	t := newTable(w)
	defer t.Flush()
	fmt.Fprintln(t, "DUTY\tOWNER\tTOKEN\tTO")
	for _, l := range s.Leases {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", l.Name, cmp.Or(l.Holder, "nobody"), l.Token, cmp.Or(l.TransferTo, "-"))
	}
}
