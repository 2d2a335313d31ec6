package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"dunemoor/internal/flightrecorder"
)

// errDiverged is returned if a replay differs from the recording.
var errDiverged = errors.New("this build decides otherwise than was recorded")

func flightCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "flight", Short: "Read recordings of the flight recorder"}
	cmd.AddCommand(flightShowCommand(), flightFleetCommand(), flightReplayCommand(), flightTryCommand())
	return cmd
}

// withFile calls read with an open file. It adds the path to an error of read.
func withFile(path string, read func(io.Reader) error) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := read(f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// readRecording returns the result of read for a file. It adds the path to an error of read.
func readRecording[T any](path string, read func(io.Reader) (T, error)) (result T, err error) {
	err = withFile(path, func(in io.Reader) (err error) {
		result, err = read(in)
		return err
	})
	return result, err
}

func flightShowCommand() *cobra.Command {
	var window flightrecorder.Window
	var ejections int
	var host, plot string
	cmd := &cobra.Command{
		Use:   "show FILE",
		Args:  cobra.ExactArgs(1),
		Short: "Show the outcome of the requests, why some were rejected, and the state of each host",
		RunE: func(cmd *cobra.Command, args []string) error {
			analysis, err := readRecording(args[0], func(in io.Reader) (*flightrecorder.Analysis, error) {
				return flightrecorder.Analyze(in, window)
			})
			if err != nil {
				return err
			}
			if plot != "" {
				return writePlot(analysis, plot)
			}
			if host != "" {
				return analysis.HostText(cmd.OutOrStdout(), host)
			}
			analysis.Text(cmd.OutOrStdout(), ejections)
			return nil
		},
	}
	cmd.Flags().DurationVar(&window.From, "from", 0, "start of the window, as time since the first event")
	cmd.Flags().DurationVar(&window.To, "to", 0, "end of the window; 0: end of the recording")
	cmd.Flags().DurationVar(&window.Bucket, "bucket", 500*time.Millisecond, "duration of a column")
	cmd.Flags().StringVar(&plot, "svg", "", "draw the time lines into this file, and print nothing")
	cmd.Flags().StringVar(&host, "host", "", "print the figures of this host, with a line for each column")
	cmd.Flags().IntVar(&ejections, "ejections", 10, "maximum number of ejections that are listed")
	return cmd
}

// writePlot draws the time lines into a file. If that fails it removes the file.
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

func flightFleetCommand() *cobra.Command {
	var classSpan int
	cmd := &cobra.Command{
		Use:   "fleet FILE...",
		Args:  cobra.MinimumNArgs(1),
		Short: "Count over the recordings of many gateways, by second: attempts, rejections, retries, polls of endpoint lists",
		RunE: func(cmd *cobra.Command, args []string) error {
			fleet := flightrecorder.NewFleet()
			for _, path := range args {
				if err := withFile(path, fleet.Add); err != nil {
					return err
				}
			}
			fleet.Finish()
			if classSpan > 0 {
				return fleet.ClassText(cmd.OutOrStdout(), classSpan)
			}
			return fleet.Text(cmd.OutOrStdout())
		},
	}
	cmd.Flags().IntVar(&classSpan, "classes", 0, "print the outcome of each class instead, with a line for each class and each interval of this many seconds")
	return cmd
}

func flightReplayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Args:  cobra.ExactArgs(1),
		Short: "Replay a recording, and print the first difference from what was recorded; exit code 1 if there is one",
		RunE: func(cmd *cobra.Command, args []string) error {
			report, err := readRecording(args[0], func(in io.Reader) (*flightrecorder.Report, error) {
				return flightrecorder.Replay(flightrecorder.NewReader(in), nil, nil)
			})
			if err != nil {
				return err
			}
			return printReport(cmd.OutOrStdout(), report)
		},
	}
}

// printReport prints the result of a replay. It returns errDiverged if the replay differs from the recording.
func printReport(w io.Writer, r *flightrecorder.Report) error {
	for _, loss := range r.Losses {
		fmt.Fprintf(w, "missing: %s\n", loss)
	}
	fmt.Fprintf(w, "%d sessions, %d events, %d actions alike, %d checkpoints agree, %d events skipped\n",
		r.Sessions, r.Events, r.MatchingActions, r.MatchingStates, r.SkippedEvents)
	if r.UnreadableCheckpoints > 0 {
		fmt.Fprintf(w, "%d checkpoints are of another build: %s\n", r.UnreadableCheckpoints, r.UnreadableReason)
	}
	if r.Divergence != nil {
		fmt.Fprintf(w, "first difference: %v\n", r.Divergence)
		return errDiverged
	}
	return nil
}

func flightTryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "try FILE",
		Args:  cobra.ExactArgs(1),
		Short: "Simulate the recorded requests with this build's balancer, against hosts modelled on the recording",
		Long: "Simulate the recorded requests with this build's balancer, against hosts modelled on the recording.\n\n" +
			"To judge a change, try the same file with the builds before and after it. The model is simple\n" +
			"(docs/design/flightrecorder.md), so compare tries with one another rather than with what was recorded.",
		RunE: func(cmd *cobra.Command, args []string) error {
			fitted, err := readRecording(args[0], flightrecorder.Fit)
			if err != nil {
				return err
			}
			tried, err := fitted.Try()
			if err != nil {
				return err
			}
			fitted.Compare(cmd.OutOrStdout(), tried)
			return nil
		},
	}
}
