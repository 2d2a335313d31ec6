// Command dunemoorctl is for those who look after gateways.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "dunemoorctl: %v\n", err)
		os.Exit(exitCode(err))
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{
		Use: "dunemoorctl", Short: "Look into dunemoor gateways and their recordings",
		SilenceUsage: true, SilenceErrors: true,
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.AddCommand(flightCommand(), checkCommand(), routesCommand(), operateFleet())
	return cmd
}
