package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/faulttest"
)

// maxConvergeTime is the maximum time in which a fleet of processes must converge.
const maxConvergeTime = 2 * time.Minute

// fleetCommand returns the command fleet. Its subcommands run fleets of gateways under faults, in virtual time or as
// processes.
func fleetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "fleet", Short: "Run fleets of gateways under faults, in virtual time or as processes of the program"}
	cmd.AddCommand(
		fleetSimCommand(),
		fleetCostCommand(),
		fleetRunCommand(),
		fleetTransfersCommand(),
		fleetIdleCommand(),
		fleetFailpointsCommand(),
		fleetCheckCommand(),
	)
	return cmd
}

// startFleet starts a fleet of processes and waits until it has converged. The caller must close the fleet.
func startFleet(ctx context.Context, o faulttest.Options) (*faulttest.Fleet, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if o.Dir, err = filepath.Abs(o.Dir); err != nil {
		return nil, err
	}
	f, err := faulttest.New(o)
	if err != nil {
		return nil, err
	}
	if err := startGateways(ctx, f); err != nil {
		f.Close()
		return nil, fmt.Errorf("%w; the logs are in %s", err, o.Dir)
	}
	return f, nil
}

func startGateways(ctx context.Context, f *faulttest.Fleet) error {
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	return f.WaitUntil(ctx, "the fleet converges", maxConvergeTime, f.Converged)
}
