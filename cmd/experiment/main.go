// Command experiment simulates fleets in virtual time, searches for runs that are served badly, injects faults into
// fleets of processes, and measures what the program costs by size.
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
		Short:         "Play a fleet of gateways, hosts and clients in virtual time",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.AddCommand(runCommand(), sweepCommand(), compareCommand(), reportCommand(), searchCommand(), fleetCommand(), scaleCommand())
	return cmd
}
