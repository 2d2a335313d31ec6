package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/faulttest"
)

// transferredLease is the lease whose transfers are measured.
const transferredLease = "list/calendar"

// transferOptions are the flags of the command "fleet hands".
type transferOptions struct {
	program  string
	dir      string
	rounds   int // transfers for each cause, summed over all fleets
	fleets   int
	gateways int
	replicas int
	causes   []string
}

// fleetTransfersCommand returns the command hands. It transfers a lease between processes, and prints how long the
// lease had no holder.
func fleetTransfersCommand() *cobra.Command {
	var o transferOptions
	cmd := &cobra.Command{
		Use:     "hands",
		Aliases: []string{"transfers"},
		Args:    cobra.NoArgs,
		Short:   "Transfer a lease between processes on loopback under load, for each cause, and measure how long it has no holder",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.program, "bin", "bin/dunemoor", "path of the program")
	f.StringVar(&o.dir, "dir", "fleet-run", "directory of files, disks, logs and histories")
	f.IntVar(&o.rounds, "rounds", 5, "number of transfers for each cause, summed over all fleets")
	f.IntVar(&o.fleets, "fleets", 1, "number of fleets that run concurrently")
	f.StringSliceVar(&o.causes, "cause", nil, "causes to measure; by default all")
	f.IntVar(&o.gateways, "gateways", 5, "number of processes of a fleet; clients send requests to the last one, which is not a target")
	f.IntVar(&o.replicas, "keepers", 3, "number of processes that are replicas")
	return cmd
}

func (o *transferOptions) run(ctx context.Context, out io.Writer) error {
	causes, err := o.selectedCauses()
	if err != nil {
		return err
	}
	if o.fleets < 1 || o.rounds < 1 || o.gateways < 3 {
		return errors.New("--fleets and --rounds: at least 1; --gateways: at least 3, one of which is not a target")
	}
	m := &transferMeasurement{gaps: map[faulttest.TransferCause]*hdrhistogram.Histogram{}}
	var running sync.WaitGroup
	errs := make([]error, o.fleets)
	summaries := make([]string, o.fleets)
	for i := range o.fleets {
		// Fleets are started sequentially, so that a fleet binds the ports that it found free before the next one
		// looks for free ports.
		fleet, err := startFleet(ctx, faulttest.Options{
			Program: o.program, Dir: filepath.Join(o.dir, fmt.Sprint(i+1)), Gateways: o.gateways, Replicas: o.replicas, Hosts: 3, Seed: uint64(i + 1),
		})
		if err != nil {
			errs[i] = err
			break
		}
		defer fleet.Close()
		rounds := (o.rounds + o.fleets - 1 - i) / o.fleets
		running.Go(func() { summaries[i], errs[i] = m.run(ctx, fleet, causes, rounds) })
	}
	running.Wait()
	m.print(out, causes)
	for _, summary := range summaries {
		fmt.Fprintln(out, summary)
	}
	return errors.Join(errs...)
}

// selectedCauses returns the causes given by the flag, or all causes.
func (o *transferOptions) selectedCauses() ([]faulttest.TransferCause, error) {
	if len(o.causes) == 0 {
		return faulttest.TransferCauses, nil
	}
	var causes []faulttest.TransferCause
	for _, name := range o.causes {
		cause := faulttest.TransferCause(name)
		if !slices.Contains(faulttest.TransferCauses, cause) {
			return nil, fmt.Errorf("--cause: %q is not one of %q", name, faulttest.TransferCauses)
		}
		causes = append(causes, cause)
	}
	return causes, nil
}

// transferMeasurement collects how long a lease had no holder at each transfer, over several fleets.
type transferMeasurement struct {
	mu   sync.Mutex                                          // guards gaps
	gaps map[faulttest.TransferCause]*hdrhistogram.Histogram // times without a holder, in microseconds
}

func (m *transferMeasurement) add(cause faulttest.TransferCause, gap time.Duration) {
	const significantDigits = 3
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gaps[cause] == nil {
		m.gaps[cause] = hdrhistogram.New(1, time.Minute.Microseconds(), significantDigits)
	}
	m.gaps[cause].RecordValue(max(1, gap.Microseconds()))
}

// run transfers the lease of a fleet a number of times for each cause, under load. It returns a summary of the
// outcomes at clients and hosts.
func (m *transferMeasurement) run(ctx context.Context, f *faulttest.Fleet, causes []faulttest.TransferCause, rounds int) (string, error) {
	spared := f.Gateways[len(f.Gateways)-1]
	stopLoad := f.StartLoad(spared)
	err := m.runCauses(ctx, f, causes, rounds, spared)
	count, loadErr := stopLoad()
	sent, accepted := f.StaleLeaseRequests()
	if accepted > 0 {
		err = errors.Join(err, fmt.Errorf("%d requests with a stale lease were accepted", accepted))
	}
	if violations := faulttest.FindViolations(f.History.Events()); len(violations) > 0 {
		err = errors.Join(err, fmt.Errorf("%d violations, the first: %s", len(violations), violations[0]))
	}
	summary := fmt.Sprintf("%d requests %v; requests with a stale lease: %d sent, %d accepted", count.Requests, count.Outcomes, sent, accepted)
	return summary, errors.Join(err, loadErr)
}

func (m *transferMeasurement) runCauses(ctx context.Context, f *faulttest.Fleet, causes []faulttest.TransferCause, rounds int, spared *faulttest.Gateway) error {
	for _, cause := range causes {
		for i := range rounds {
			gap, err := f.TransferLease(ctx, cause, transferredLease, spared)
			if err != nil {
				return fmt.Errorf("%s, round %d: %w; the logs are in %s", cause, i+1, err, f.Dir)
			}
			m.add(cause, gap)
		}
	}
	return nil
}

// print prints a row for each cause.
func (m *transferMeasurement) print(out io.Writer, causes []faulttest.TransferCause) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	fmt.Fprintln(t, "cause\ttimes\tp50 ms\tp99 ms\tmax ms\t")
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	for _, cause := range causes {
		gaps := m.gaps[cause]
		if gaps == nil {
			continue
		}
		p50 := milliseconds(gaps.ValueAtQuantile(50))
		p99 := milliseconds(gaps.ValueAtQuantile(99))
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t\n", cause, gaps.TotalCount(), p50, p99, milliseconds(gaps.Max()))
	}
}
