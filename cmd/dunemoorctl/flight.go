package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/flightrecorder"
)

func flightCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "flight", Short: "Read recordings of the flight recorder"}
	cmd.AddCommand(showCommand(), fleetCommand(), replayCommand(), tryCommand())
	return cmd
}

func showCommand() *cobra.Command {
	var win flightrecorder.Window
	var ejections int
	var host, plot string
	cmd := &cobra.Command{
		Use: "show FILE", Args: cobra.ExactArgs(1),
		Short: "What became of the requests, why those refused were, and how each host stood",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			a, err := flightrecorder.Analyse(f, win)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if plot != "" {
				return writePlot(a, plot)
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
	cmd.Flags().StringVar(&plot, "svg", "", "draw the time lines into this file, and print nothing")
	cmd.Flags().StringVar(&host, "host", "", "the figures of this host, a line a column")
	cmd.Flags().IntVar(&ejections, "ejections", 10, "ejections named")
	return cmd
}

func fleetCommand() *cobra.Command {
	var classes int
	cmd := &cobra.Command{
		Use: "fleet FILE...", Args: cobra.MinimumNArgs(1),
		Short: "Count over the recordings of many gateways, by second: sends, refusals, repeats, calls for lists",
		RunE: func(cmd *cobra.Command, args []string) error {
			fleet := flightrecorder.NewFleet()
			for _, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				err = fleet.Add(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
			}
			if classes > 0 {
				return fleet.ClassText(cmd.OutOrStdout(), classes)
			}
			return fleet.Text(cmd.OutOrStdout())
		},
	}
	cmd.Flags().IntVar(&classes, "classes", 0, "what became of each class instead, a line for each and so many seconds")
	return cmd
}

func writePlot(a *flightrecorder.Analysis, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := errors.Join(a.SVG(f), f.Close()); err != nil {
		os.Remove(path)
		return err
	}
	return nil
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
			rep, err := flightrecorder.Replay(flightrecorder.NewReader(f), nil, nil)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			out := cmd.OutOrStdout()
			for _, l := range rep.Losses {
				fmt.Fprintf(out, "missing: %s\n", l)
			}
			fmt.Fprintf(out, "%d sessions, %d events, %d actions alike, %d checkpoints agree, %d events skipped\n",
				rep.Sessions, rep.Events, rep.MatchingActions, rep.MatchingStates, rep.SkippedEvents)
			if rep.ForeignCheckpoints > 0 {
				fmt.Fprintf(out, "%d checkpoints are of another build: %s\n", rep.ForeignCheckpoints, rep.ForeignReason)
			}
			if rep.Divergence != nil {
				fmt.Fprintf(out, "first difference: %v\n", rep.Divergence)
				return errDiffers
			}
			return nil
		},
	}
}

func tryCommand() *cobra.Command {
	return &cobra.Command{
		Use: "try FILE", Args: cobra.ExactArgs(1),
		Short: "Play the recorded arrivals against hosts modelled on the recording, with this build's module",
		Long: "Play the recorded arrivals against hosts modelled on the recording, with this build's module.\n\n" +
			"To judge a change, try the same file with the builds before and after it. The model is simple\n" +
			"(docs/design/flightrecorder.md), so compare tries with one another rather than with what was recorded.",
		RunE: func(cmd *cobra.Command, args []string) error {
			in, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer in.Close()
			f, err := flightrecorder.Fit(in)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			tried, err := f.Try()
			if err != nil {
				return err
			}
			f.Compare(cmd.OutOrStdout(), tried)
			return nil
		},
	}
}
