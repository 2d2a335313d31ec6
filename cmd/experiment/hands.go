package main

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/faulttest"
)

// hands is how long a duty was without an owner, by cause, over several fleets.
type hands struct {
	mu    sync.Mutex
	spans map[faulttest.Cause]*hdrhistogram.Histogram
}

func (h *hands) add(cause faulttest.Cause, gap time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.spans[cause] == nil {
		h.spans[cause] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	h.spans[cause].RecordValue(max(1, gap.Microseconds()))
}

// fleetHands has a duty change hands among processes, and says for how long it had no owner.
func fleetHands() *cobra.Command {
	var bin, dir string
	var rounds, gateways, keepers, fleets int
	var only []string
	cmd := &cobra.Command{
		Use: "hands", Args: cobra.NoArgs,
		Short: "Have a duty change hands among processes on loopback under load, for each cause; how long it had no owner",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, causes := cmd.Context(), faulttest.Causes
			if len(only) > 0 {
				causes = nil
				for _, name := range only {
					if !slices.Contains(faulttest.Causes, faulttest.Cause(name)) {
						return fmt.Errorf("--cause: %q is none of %q", name, faulttest.Causes)
					}
					causes = append(causes, faulttest.Cause(name))
				}
			}
			if fleets < 1 || rounds < 1 || gateways < 3 {
				return errors.New("--fleets and --rounds: 1 or more; --gateways: 3 or more, one of which is spared")
			}
			h := &hands{spans: map[faulttest.Cause]*hdrhistogram.Histogram{}}
			var all sync.WaitGroup
			errs := make([]error, fleets)
			counts := make([]string, fleets)
			for i := range fleets {
				// One after another: ports that were found free are taken before the next looks.
				f, err := fleet(ctx, faulttest.Options{Bin: bin, Dir: filepath.Join(dir, fmt.Sprint(i+1)), Gateways: gateways, Keepers: keepers, Nodes: 3, Seed: uint64(i + 1)})
				if err != nil {
					errs[i] = err
					break
				}
				defer f.Close()
				all.Go(func() { counts[i], errs[i] = h.play(ctx, f, causes, (rounds+fleets-1-i)/fleets) })
			}
			all.Wait()
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(t, "cause\ttimes\tp50 ms\tp99 ms\tmax ms\t")
			for _, cause := range causes {
				if s := h.spans[cause]; s != nil {
					ms := func(v int64) float64 { return float64(v) / 1000 }
					fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t\n", cause, s.TotalCount(), ms(s.ValueAtQuantile(50)), ms(s.ValueAtQuantile(99)), ms(s.Max()))
				}
			}
			t.Flush()
			for _, c := range counts {
				fmt.Fprintln(cmd.OutOrStdout(), c)
			}
			return errors.Join(errs...)
		},
	}
	f := cmd.Flags()
	f.StringVar(&bin, "bin", "bin/dunemoor", "the program")
	f.StringVar(&dir, "dir", "fleet-run", "where files, disks, logs and histories are kept")
	f.IntVar(&rounds, "rounds", 5, "changes of hands for each cause, over all fleets")
	f.IntVar(&fleets, "fleets", 1, "fleets side by side")
	f.StringSliceVar(&only, "cause", nil, "only these causes")
	f.IntVar(&gateways, "gateways", 5, "processes of a fleet; clients ask at the last, which is spared")
	f.IntVar(&keepers, "keepers", 3, "of them hold the record")
	return cmd
}

// play has a duty of one fleet change hands so many times for each cause, under load, and says
// what clients and hosts have seen.
func (h *hands) play(ctx context.Context, f *faulttest.Fleet, causes []faulttest.Cause, rounds int) (string, error) {
	spare := f.Gateways[len(f.Gateways)-1]
	stop := f.Load(spare)
	var err error
	for _, cause := range causes {
		for i := 0; i < rounds && err == nil; i++ {
			var gap time.Duration
			if gap, err = f.Hands(ctx, cause, "list/calendar", spare); err != nil {
				err = fmt.Errorf("%s, round %d: %w; the logs are in %s", cause, i+1, err, f.Dir)
				break
			}
			h.add(cause, gap)
		}
	}
	count, broken := stop()
	tried, taken := f.Acts()
	if taken > 0 {
		err = errors.Join(err, fmt.Errorf("%d acts of old owners were taken", taken))
	}
	if bad := faulttest.Check(f.History.Events()); len(bad) > 0 {
		err = errors.Join(err, fmt.Errorf("%d things that must never be, the first: %s", len(bad), bad[0]))
	}
	return fmt.Sprintf("%d requests %v; acts of old owners: %d tried, %d taken", count.Requests, count.Outcomes, tried, taken), errors.Join(err, broken)
}
