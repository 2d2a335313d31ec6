package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"dunemoor/internal/experiment/scaletest"
)

// scalePart measures one thing at several sizes. Files of this package register theirs by
// registerScale in an init function.
type scalePart struct {
	Name  string
	About string // what it measures, one line
	By    string // what the sizes count
	Sizes []int  // measured by default
	Small []int  // of the test: seconds
	Takes string // with Sizes, about
	Run   func(ctx context.Context, e *scaleEnv, sizes []int) (*scaletest.Report, error)
}

// scaleParts are all of them by name.
var scaleParts = map[string]*scalePart{}

func registerScale(p *scalePart) {
	if scaleParts[p.Name] != nil {
		panic("scale: two parts are called " + p.Name)
	}
	scaleParts[p.Name] = p
}

// scaleNames are the names of the parts in the order of the alphabet.
func scaleNames() (names []string) {
	for name := range scaleParts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scaleEnv is what parts have in common.
type scaleEnv struct {
	Dir   string    // for files; goes when the command ends
	Said  io.Writer // what is under way
	Small bool      // sizes are those of the test

	built sync.Once
	bin   string
	err   error
}

// Program is the program, built once. Tests name one that is built already.
func (e *scaleEnv) Program(ctx context.Context) (string, error) {
	e.built.Do(func() {
		if e.bin != "" {
			return
		}
		e.bin = filepath.Join(e.Dir, "dunemoor")
		if said, err := exec.CommandContext(ctx, "go", "build", "-o", e.bin, "dunemoor/cmd/dunemoor").CombinedOutput(); err != nil {
			e.err = fmt.Errorf("go build: %w\n%s", err, said)
		}
	})
	return e.bin, e.err
}

// Sub makes a directory of a part's own.
func (e *scaleEnv) Sub(name string) (string, error) { return os.MkdirTemp(e.Dir, name+"-") }

func scaleCommand() *cobra.Command {
	var sizes []int
	var small bool
	var file, bin string
	cmd := &cobra.Command{
		Use: "scale [PART ...]", Short: "Measure what the program costs by size: slopes with their errors, and where a line breaks",
		Long: "Each part measures the program at several sizes and fits a line: slope, standard error, intercept,\n" +
			"whether it is a line at all, and how far the size to design for lies beyond the largest measured.\n" +
			"Without a part all are measured, one after the other.\n\nParts:\n" + scaleHelp(),
		ValidArgs: scaleNames(),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				args = scaleNames()
			}
			for _, name := range args {
				if scaleParts[name] == nil {
					return fmt.Errorf("%q is none of %s", name, strings.Join(scaleNames(), ", "))
				}
			}
			if len(sizes) > 0 && (len(args) > 1 || small) {
				return errors.New("--sizes: with one part only, and without --small")
			}
			dir, err := os.MkdirTemp("", "scale-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			e := &scaleEnv{Dir: dir, Said: cmd.ErrOrStderr(), Small: small, bin: bin}
			reports := []*scaletest.Report{}
			var failed []error
			for _, name := range args {
				r, err := scaleRun(cmd.Context(), e, scaleParts[name], sizes)
				if err != nil {
					failed = append(failed, fmt.Errorf("%s: %w", name, err))
				}
				if r == nil {
					continue
				}
				reports = append(reports, r)
				if err := scaletest.Table(cmd.OutOrStdout(), r); err != nil {
					return err
				}
			}
			if file != "" {
				text, err := json.MarshalIndent(reports, "", " ")
				if err == nil {
					err = os.WriteFile(file, append(text, '\n'), 0o644)
				}
				failed = append(failed, err)
			}
			return errors.Join(failed...)
		},
	}
	cmd.AddCommand(hollowHost())
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "sizes", nil, "sizes in place of the part's own")
	f.BoolVar(&small, "small", false, "the sizes of the test: seconds, and no figures to go by")
	f.StringVar(&file, "json", "", "also write the reports to this file, as JSON")
	f.StringVar(&bin, "bin", "", "the program; by default it is built")
	return cmd
}

// scaleRun has a part measure, and names in its report how.
func scaleRun(ctx context.Context, e *scaleEnv, p *scalePart, sizes []int) (*scaletest.Report, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	command := "lab scale " + p.Name
	switch {
	case len(sizes) > 0:
		command += " --sizes " + joinInts(sizes)
	case e.Small:
		sizes, command = p.Small, command+" --small"
	default:
		sizes = p.Sizes
	}
	r, err := p.Run(ctx, e, sizes)
	if r != nil {
		r.Part, r.Command = p.Name, command
	}
	return r, err
}

func joinInts(list []int) string {
	var s []string
	for _, n := range list {
		s = append(s, strconv.Itoa(n))
	}
	return strings.Join(s, ",")
}

// scaleHelp names each part, what it measures, its sizes and its time.
func scaleHelp() string {
	var b strings.Builder
	for _, name := range scaleNames() {
		p := scaleParts[name]
		fmt.Fprintf(&b, "  %s: %s\n      %ss %s; about %s\n", p.Name, p.About, p.By, joinInts(p.Sizes), p.Takes)
	}
	return b.String()
}
