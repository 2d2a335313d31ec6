package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/faulttest"
)

// fleetGuards takes guards out one at a time, in a build that can, and says what processes show of it.
func fleetGuards() *cobra.Command {
	var bin, dir string
	cmd := &cobra.Command{
		Use: "guards", Args: cobra.NoArgs,
		Short: "Take guards out one at a time among processes of a build with the tag failpoints, and say what is seen of it",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var bad []error
			for _, s := range faulttest.Stories {
				for _, out := range []string{"", s.Guard} {
					seen, err := guard(cmd, s, out, bin, filepath.Join(dir, s.Guard+"-"+out))
					if err == nil && (seen != "") != (out != "") {
						err = fmt.Errorf("with %q out it has seen %q", out, seen)
					}
					if err != nil {
						bad = append(bad, fmt.Errorf("%s: %w", s.Guard, err))
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s out %q: %q\n", s.Guard, out, seen)
				}
			}
			return errors.Join(bad...)
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "bin/planted", "the program, built with -tags failpoints")
	cmd.Flags().StringVar(&dir, "dir", "fleet-guards", "where files, disks, logs and histories are kept")
	return cmd
}

// guard plays one story with a guard out, or with none.
func guard(cmd *cobra.Command, s faulttest.Story, out, bin, dir string) (string, error) {
	f, err := fleet(cmd.Context(), faulttest.Options{Bin: bin, Dir: dir, Gateways: 3, Keepers: 3, Nodes: 1, Seed: 9, Env: []string{"DUNEMOOR_FAILPOINT=" + out}})
	if err != nil {
		return "", err
	}
	defer f.Close()
	if s.Jumps {
		if f.Bin, err = faulttest.BuildJumps(f.Dir); err != nil {
			return "", err
		}
		for _, g := range f.Gateways {
			g.Kill()
		}
		if err := f.Heal(); err != nil {
			return "", err
		}
		if err := f.Until(cmd.Context(), "the fleet is whole", formsMost, f.Whole); err != nil {
			return "", err
		}
	}
	return s.Play(f)
}
