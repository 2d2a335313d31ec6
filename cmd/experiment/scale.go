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

// scalePart is a part of the measurements: it measures one aspect of the program at several sizes. The file of a part
// registers it with registerScale in an init function.
type scalePart struct {
	name       string
	about      string // what the part measures, in one line
	by         string // what the sizes count, in the singular
	sizes      []int  // sizes that are measured by default
	smallSizes []int  // sizes of the test and of --small, which take seconds
	duration   string // approximate duration of a measurement of sizes
	run        func(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error)
}

// scaleParts has all parts by name.
var scaleParts = map[string]*scalePart{}

func registerScale(part *scalePart) {
	if scaleParts[part.name] != nil {
		panic("scale: two parts are named " + part.name)
	}
	scaleParts[part.name] = part
}

// scaleNames returns the names of the parts in alphabetical order.
func scaleNames() (names []string) {
	for name := range scaleParts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scaleEnv is the environment that all parts share.
type scaleEnv struct {
	dir      string    // temporary directory, which is removed when the command ends
	progress io.Writer // progress messages
	small    bool      // smallSizes are measured

	buildOnce sync.Once
	binary    string
	buildErr  error
}

// program returns the path of the program. The first call builds the program, unless the path was given.
func (env *scaleEnv) program(ctx context.Context) (string, error) {
	env.buildOnce.Do(func() {
		if env.binary != "" {
			return
		}
		env.binary = filepath.Join(env.dir, "dunemoor")
		output, err := exec.CommandContext(ctx, "go", "build", "-o", env.binary, "dunemoor/cmd/dunemoor").CombinedOutput()
		if err != nil {
			env.buildErr = fmt.Errorf("go build: %w\n%s", err, output)
		}
	})
	return env.binary, env.buildErr
}

// makeDir creates a directory for a part in env.dir.
func (env *scaleEnv) makeDir(name string) (string, error) { return os.MkdirTemp(env.dir, name+"-") }

// scaleOptions are the flags of the command "scale".
type scaleOptions struct {
	sizes    []int
	small    bool
	jsonFile string
	binary   string
}

func scaleCommand() *cobra.Command {
	var options scaleOptions
	cmd := &cobra.Command{
		Use: "scale [PART ...]", Short: "Measure the resource usage of the program by size: slopes with their errors, and the sizes at which lines break",
		Long: "Each part measures the program at several sizes and fits a line: slope, standard error, intercept,\n" +
			"whether it is a line at all, and how far the size to design for is beyond the largest measured one.\n" +
			"Without PART, all parts are measured sequentially.\n\nParts:\n" + scaleHelp(),
		ValidArgs: scaleNames(),
		RunE:      func(cmd *cobra.Command, args []string) error { return options.run(cmd, args) },
	}
	cmd.AddCommand(hollowHostCommand())
	f := cmd.Flags()
	f.IntSliceVar(&options.sizes, "sizes", nil, "sizes to measure instead of the part's default")
	f.BoolVar(&options.small, "small", false, "measure the sizes of the test: takes seconds, but the results are not usable")
	f.StringVar(&options.jsonFile, "json", "", "also write the reports to this file, as JSON")
	f.StringVar(&options.binary, "bin", "", "path of the program; by default it is built")
	return cmd
}

// run measures the named parts sequentially. After the failure of a part it continues with the others.
func (o *scaleOptions) run(cmd *cobra.Command, names []string) error {
	if len(names) == 0 {
		names = scaleNames()
	}
	if err := o.validate(names); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	env := &scaleEnv{dir: dir, progress: cmd.ErrOrStderr(), small: o.small, binary: o.binary}
	reports := []*scaletest.Report{}
	var errs []error
	for _, name := range names {
		report, err := scaleParts[name].measure(cmd.Context(), env, o.sizes)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
		if report == nil {
			continue
		}
		reports = append(reports, report)
		if err := scaletest.Table(cmd.OutOrStdout(), report); err != nil {
			return err
		}
	}
	if o.jsonFile != "" {
		errs = append(errs, writeScaleReports(o.jsonFile, reports))
	}
	return errors.Join(errs...)
}

func (o *scaleOptions) validate(names []string) error {
	for _, name := range names {
		if scaleParts[name] == nil {
			return fmt.Errorf("%q is not one of %s", name, strings.Join(scaleNames(), ", "))
		}
	}
	if len(o.sizes) > 0 && (len(names) > 1 || o.small) {
		return errors.New("--sizes: with one part only, and without --small")
	}
	return nil
}

func writeScaleReports(path string, reports []*scaletest.Report) error {
	text, err := json.MarshalIndent(reports, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// measure runs the part, and adds its name and the command to the report. If sizes is empty, the part's own sizes are
// used.
func (p *scalePart) measure(ctx context.Context, env *scaleEnv, sizes []int) (*scaletest.Report, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	command := "lab scale " + p.name // former name of this command, which reports still use
	switch {
	case len(sizes) > 0:
		command += " --sizes " + joinInts(sizes)
	case env.small:
		sizes = p.smallSizes
		command += " --small"
	default:
		sizes = p.sizes
	}
	report, err := p.run(ctx, env, sizes)
	if report != nil {
		report.Part = p.name
		report.Command = command
	}
	return report, err
}

func joinInts(list []int) string {
	var texts []string
	for _, n := range list {
		texts = append(texts, strconv.Itoa(n))
	}
	return strings.Join(texts, ",")
}

// scaleHelp describes the parts: what they measure, their sizes and their duration.
func scaleHelp() string {
	var b strings.Builder
	for _, name := range scaleNames() {
		p := scaleParts[name]
		fmt.Fprintf(&b, "  %s: %s\n      %ss %s; about %s\n", p.name, p.about, p.by, joinInts(p.sizes), p.duration)
	}
	return b.String()
}

// seriesSet collects series, which are identified by name and unit, in the order of their first points.
type seriesSet struct {
	by         string  // what the sizes count, in the singular
	targetSize float64 // the size to design for; 0: none
	list       []scaletest.Series
}

// add adds a point to a series, which it creates with the first point. The resolution is the smallest difference that
// the measurement can detect, in the unit; only that of the first point is used.
func (s *seriesSet) add(size int, name, unit string, resolution, value float64) {
	i := slices.IndexFunc(s.list, func(x scaletest.Series) bool { return x.Name == name && x.Unit == unit })
	if i < 0 {
		i = len(s.list)
		s.list = append(s.list, scaletest.Series{Name: name, Unit: unit, By: s.by, Resolution: resolution, TargetSize: s.targetSize})
	}
	s.list[i].Points = append(s.list[i].Points, scaletest.Point{Size: float64(size), Value: value})
}

// breaksAt returns the size at which the fitted line of a series exceeds a limit, which is in the unit of the series.
// It returns nil if the series isn't a growing line. where is the place in the code that causes the growth.
func (s *seriesSet) breaksAt(name, unit string, limit float64, where string) (breaks []scaletest.Break) {
	for i := range s.list {
		series := &s.list[i]
		if series.Name != name || series.Unit != unit {
			continue
		}
		fit, err := series.Fit()
		if err != nil || fit.Shape != scaletest.Line || fit.Slope <= 0 {
			continue
		}
		size := max(0, (limit-fit.Intercept)/fit.Slope)
		what := fmt.Sprintf("by the fitted line, a %s exceeds the allowed %v %s", name, limit, unit)
		if size == 0 {
			what = fmt.Sprintf("a %s exceeds the allowed %v %s at any size", name, limit, unit)
		}
		breaks = append(breaks, scaletest.Break{By: s.by, Size: float64(int(size)), Where: where, What: what})
	}
	return breaks
}
