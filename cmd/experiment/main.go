// Command experiment plays fleets in virtual time and says what becomes of their requests.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "experiment: %v\n", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use: "experiment", Short: "Play a fleet of gateways, hosts and clients in virtual time",
		SilenceUsage: true, SilenceErrors: true,
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.AddCommand(runCommand(), sweepCommand(), compareCommand(), reportCommand(), huntCommand(), fleetCommand(), scaleCommand())
	return cmd
}
