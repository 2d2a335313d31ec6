// Command dunemoorctl is for operators of dunemoor gateways: it reads flight recordings, checks the configuration files
// of appliances (gateways with a file of their own), and shows and changes fleets.
//
// Its exit code is 1 for an error. Some failures of the fleet commands have exit codes of their own, see exitcode.go.
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
		Short:         "Inspect dunemoor gateways and their recordings",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	cmd.AddCommand(flightCommand(), checkCommand(), routesCommand(), fleetCommand())
	return cmd
}
