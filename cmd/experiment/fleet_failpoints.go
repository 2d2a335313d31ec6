package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/faulttest"
)

// fleetFailpointsCommand returns the command guards. It enables failpoints one at a time in a fleet of processes, and
// prints the violation that each causes.
func fleetFailpointsCommand() *cobra.Command {
	var program, dir string
	cmd := &cobra.Command{
		Use:     "guards",
		Aliases: []string{"failpoints"},
		Args:    cobra.NoArgs,
		Short:   "Enable failpoints one at a time among processes of a build with the tag failpoints, and show the violation of each",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var errs []error
			for _, c := range faulttest.FaultCases {
				for _, failpoint := range []string{"", c.Failpoint} {
					violation, err := runFaultCase(cmd, &c, failpoint, program, filepath.Join(dir, c.Failpoint+"-"+failpoint))
					if err == nil && (violation != "") != (failpoint != "") {
						err = fmt.Errorf("failpoint %q: got violation %q", failpoint, violation)
					}
					if err != nil {
						errs = append(errs, fmt.Errorf("%s: %w", c.Failpoint, err))
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s out %q: %q\n", c.Failpoint, failpoint, violation)
				}
			}
			return errors.Join(errs...)
		},
	}
	cmd.Flags().StringVar(&program, "bin", "bin/planted", "path of the program, built with -tags failpoints")
	cmd.Flags().StringVar(&dir, "dir", "fleet-guards", "directory of files, disks, logs and histories")
	return cmd
}

// runFaultCase runs a fault case with a failpoint enabled, or without one if failpoint is empty. It returns the
// violation that was found, or "".
func runFaultCase(cmd *cobra.Command, c *faulttest.FaultCase, failpoint, program, dir string) (string, error) {
	f, err := startFleet(cmd.Context(), faulttest.Options{
		Program: program, Dir: dir, Gateways: 3, Replicas: 3, Hosts: 1, Seed: 9, Env: []string{"DUNEMOOR_FAILPOINT=" + failpoint},
	})
	if err != nil {
		return "", err
	}
	defer f.Close()
	if c.NeedsClockOffset {
		if err := restartWithClockOffset(cmd, f); err != nil {
			return "", err
		}
	}
	return c.Run(f)
}

// restartWithClockOffset restarts the gateways of a fleet with a build of the program whose wall clock has an offset.
func restartWithClockOffset(cmd *cobra.Command, f *faulttest.Fleet) error {
	program, err := faulttest.BuildWithClockOffset(f.Dir)
	if err != nil {
		return err
	}
	f.Program = program
	for _, g := range f.Gateways {
		g.Kill()
	}
	if err := f.Heal(); err != nil {
		return err
	}
	return f.WaitUntil(cmd.Context(), "the fleet converges", maxConvergeTime, f.Converged)
}
