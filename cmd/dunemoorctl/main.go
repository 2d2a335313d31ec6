// Command dunemoorctl is for operators of dunemoor gateways: it reads flight recordings, checks appliances' files,
// and shows and changes fleets.
//
// It exits with 1 for an error, and with the codes of exitcode.go for the results of calls to a fleet.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "dunemoorctl: %v\n", err)
		os.Exit(exitCode(err))
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "dunemoorctl",
		Short:         "Look into dunemoor gateways and their recordings",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.AddCommand(flightCommand(), checkCommand(), routesCommand(), fleetCommand())
	return cmd
}
