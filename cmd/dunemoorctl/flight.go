package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"lynxspool/internal/flight"
)

func flightCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "flight", Short: "Read recordings of the flight recorder"}
	cmd.AddCommand(showCommand(), replayCommand())
	return cmd
}

func showCommand() *cobra.Command {
	var win flight.Window
	var ejections int
	var host string
	cmd := &cobra.Command{
		Use: "show FILE", Args: cobra.ExactArgs(1),
		Short: "What became of the requests, why those refused were, and how each host stood",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			a, err := flight.Analyse(f, win)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if host != "" {
				return a.HostText(cmd.OutOrStdout(), host)
			}
			a.Text(cmd.OutOrStdout(), ejections)
			return nil
		},
	}
	cmd.Flags().DurationVar(&win.From, "from", 0, "from this time on, since the first event")
	cmd.Flags().DurationVar(&win.To, "to", 0, "up to this time; 0: to the end")
	cmd.Flags().DurationVar(&win.Bucket, "bucket", 500*time.Millisecond, "time that a column stands for")
	cmd.Flags().StringVar(&host, "host", "", "the figures of this host, a line a column")
	cmd.Flags().IntVar(&ejections, "ejections", 10, "ejections named")
	return cmd
}

var errDiffers = errors.New("this build decides otherwise than was recorded")

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "replay FILE", Args: cobra.ExactArgs(1),
		Short: "Decide again all that was recorded; the first difference, if there is one, ends in an error",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			rep, err := flight.Replay(flight.NewReader(f), nil, nil)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			out := cmd.OutOrStdout()
			for _, l := range rep.Losses {
				fmt.Fprintf(out, "missing: %s\n", l)
			}
			fmt.Fprintf(out, "%d sessions, %d events, %d actions alike, %d checkpoints agree, %d events skipped\n",
				rep.Sessions, rep.Events, rep.Actions, rep.Checked, rep.Skipped)
			if rep.First != nil {
				fmt.Fprintf(out, "first difference: %v\n", rep.First)
				return errDiffers
			}
			return nil
		},
	}
}
