package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/faulttest"
)

// runOptions are the flags of the command "fleet run".
type runOptions struct {
	program   string
	dir       string
	gateways  int
	replicas  int
	seed      uint64
	faultTime time.Duration
}

// fleetRunCommand returns the command run. It injects faults into a fleet of processes, from a plan file or drawn by
// a seed.
func fleetRunCommand() *cobra.Command {
	var o runOptions
	cmd := &cobra.Command{
		Use:   "run [FILE]",
		Args:  cobra.MaximumNArgs(1),
		Short: "Inject faults into a fleet of processes on loopback, from a TOML file or drawn by a seed, and check its history",
		RunE: func(cmd *cobra.Command, args []string) error {
			planFile := ""
			if len(args) > 0 {
				planFile = args[0]
			}
			return o.run(cmd.Context(), cmd.OutOrStdout(), planFile)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.program, "bin", "bin/dunemoor", "path of the program")
	f.StringVar(&o.dir, "dir", "fleet-run", "directory of files, disks, logs and the history")
	f.IntVar(&o.gateways, "gateways", 5, "processes")
	f.IntVar(&o.replicas, "keepers", 3, "number of processes that are replicas")
	f.Uint64Var(&o.seed, "seed", 1, "seed from which faults are drawn if there is no FILE")
	f.DurationVar(&o.faultTime, "for", 30*time.Second, "how long faults are injected if there is no FILE")
	return cmd
}

func (o *runOptions) run(ctx context.Context, out io.Writer, planFile string) error {
	f, err := startFleet(ctx, faulttest.Options{
		Program: o.program, Dir: o.dir, Gateways: o.gateways, Replicas: o.replicas, Hosts: 3, Seed: max(o.seed, 1),
	})
	if err != nil {
		return err
	}
	defer f.Close()
	plan, err := o.plan(f, planFile)
	if err != nil {
		return err
	}
	if err := f.RunPlan(ctx, plan, nil); err != nil {
		return fmt.Errorf("seed %d: %w; the logs are in %s", plan.Seed, err, f.Dir)
	}
	violations := faulttest.FindViolations(f.History.Events())
	for _, violation := range violations {
		fmt.Fprintln(out, violation)
	}
	if len(violations) > 0 {
		return fmt.Errorf("seed %d: %d violations; the history is %s", plan.Seed, len(violations), filepath.Join(f.Dir, "history.jsonl"))
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d events, no violations; the fleet converged at the end\n", plan.Seed, len(plan.Faults), len(f.History.Events()))
	return nil
}

// plan reads the plan from a file, or draws one from the seed if there is no file.
func (o *runOptions) plan(f *faulttest.Fleet, file string) (*faulttest.Plan, error) {
	if file != "" {
		return faulttest.ReadPlan(file)
	}
	var names []string
	for _, g := range f.Gateways {
		names = append(names, g.Name)
	}
	return faulttest.DrawPlan(o.seed, o.faultTime, names), nil
}

// fleetIdleCommand returns the command idle. It prints the resource usage of processes of a fleet at rest.
func fleetIdleCommand() *cobra.Command {
	var program, dir string
	var sizes []int
	var replicas int
	var span time.Duration
	cmd := &cobra.Command{
		Use:   "idle",
		Args:  cobra.NoArgs,
		Short: "Measure the resource usage of processes of the program at rest, by the size of their fleet",
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "gateways\tkeepers\trole\twatches open\tbegun\tframes/s\tbytes/s\tCPU ms/s\tmemory MB\tfsyncs/s\t")
			for _, size := range sizes {
				m := &idleMeasurement{size: size, replicas: min(replicas, size), span: span}
				if err := m.run(cmd.Context(), t, program, filepath.Join(dir, fmt.Sprint(size))); err != nil {
					return err
				}
				t.Flush()
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&program, "bin", "bin/dunemoor", "path of the program")
	f.StringVar(&dir, "dir", "fleet-idle", "directory of files, disks and logs")
	f.IntSliceVar(&sizes, "gateways", []int{3, 9, 48}, "numbers of gateways")
	f.IntVar(&replicas, "keepers", 5, "number of replicas")
	f.DurationVar(&span, "for", 20*time.Second, "how long the usage is measured")
	return cmd
}

// idleMeasurement is a measurement of a fleet of one size at rest.
type idleMeasurement struct {
	size     int
	replicas int
	span     time.Duration
	fleet    *faulttest.Fleet
}

// Roles of gateways, by their names in reports and tables.
const (
	roleLeader  = "leader"
	roleReplica = "keeper"  // replica other than the leader
	roleMember  = "member"  // gateway without a replica, in a fleet without relays
	roleRelay   = "relay"   // relay without a replica
	roleGateway = "gateway" // gateway with a stream to a relay
)

func (m *idleMeasurement) run(ctx context.Context, out io.Writer, program, dir string) error {
	fleet, err := startFleet(ctx, faulttest.Options{
		Program: program, Dir: dir, Gateways: m.size, Replicas: m.replicas, Hosts: 3, Seed: 1,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	m.fleet = fleet
	time.Sleep(m.span / 4) // wait until the start no longer affects the usage
	first, err := m.metrics()
	if err != nil {
		return err
	}
	time.Sleep(m.span)
	last, err := m.metrics()
	if err != nil {
		return err
	}
	m.print(out, first, last)
	return nil
}

// metrics returns the metrics of all gateways.
func (m *idleMeasurement) metrics() ([]map[string]float64, error) {
	var list []map[string]float64
	for _, g := range m.fleet.Gateways {
		metrics, err := g.Metrics()
		if err != nil {
			return nil, err
		}
		list = append(list, metrics)
	}
	return list, nil
}

// byRole returns the indexes of the gateways of each role.
func (m *idleMeasurement) byRole() map[string][]int {
	leader := m.fleet.Leader()
	roles := map[string][]int{}
	for i, g := range m.fleet.Gateways {
		role := roleMember
		if g == leader {
			role = roleLeader
		} else if i < m.replicas {
			role = roleReplica
		}
		roles[role] = append(roles[role], i)
	}
	return roles
}

// print prints a row for one gateway of each role.
func (m *idleMeasurement) print(out io.Writer, first, last []map[string]float64) {
	discovery := m.fleet.Hosts.Discovery
	roles := m.byRole()
	for _, role := range []string{roleLeader, roleReplica, roleMember} {
		indexes := roles[role]
		if len(indexes) == 0 {
			continue
		}
		i := indexes[len(indexes)/2]
		perSecond := func(name string) float64 { return (last[i][name] - first[i][name]) / m.span.Seconds() }
		fmt.Fprintf(out, "%d\t%d\t%s\t%d\t%d\t%.1f\t%.0f\t%.2f\t%.1f\t%.2f\t\n", m.size, m.replicas, role,
			discovery.OpenWatches(), discovery.Watches(),
			perSecond("dunemoor_fleet_frames_sent_total"), perSecond("dunemoor_fleet_frame_bytes_sent_total"),
			1000*perSecond("process_cpu_seconds_total"), last[i]["process_resident_memory_bytes"]/(1<<20),
			perSecond("dunemoor_fleet_disk_syncs_total"))
	}
}

// fleetCheckCommand returns the command check, which checks a history file for violations.
func fleetCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check HISTORY",
		Args:  cobra.ExactArgs(1),
		Short: "Check the history of an earlier run",
		RunE: func(cmd *cobra.Command, args []string) error {
			events, err := faulttest.ReadHistory(args[0])
			if err != nil {
				return err
			}
			violations := faulttest.FindViolations(events)
			for _, violation := range violations {
				fmt.Fprintln(cmd.OutOrStdout(), violation)
			}
			if len(violations) > 0 {
				return fmt.Errorf("%s: %d violations", args[0], len(violations))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d events, no violations\n", len(events))
			return nil
		},
	}
}
