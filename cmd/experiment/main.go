// Command experiment simulates fleets in virtual time, searches for scenarios in which fewer requests than possible
// are served in time, injects faults into fleets of processes, and measures the resource usage of the program by
// size.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "experiment: %v\n", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "experiment",
		Short:         "Simulate fleets of gateways, inject faults into them, and measure the program by size",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.AddCommand(runCommand(), sweepCommand(), compareCommand(), reportCommand(), searchCommand(), fleetCommand(), scaleCommand())
	return cmd
}
