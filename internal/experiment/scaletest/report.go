package scaletest

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
)

// Report is the result of one part of the measurements.
type Report struct {
	Part    string   `json:"part"`
	Command string   `json:"command"` // command that repeats the measurement
	Series  []Series `json:"series"`
	Breaks  []Break  `json:"breaks,omitempty"`
	Notes   []string `json:"notes,omitempty"`
}

// Break is a size from which a line is no longer valid, such as at a limit or with a full queue.
type Break struct {
	By    string  `json:"by"`              // what the size counts, in the singular
	Size  float64 `json:"size"`            // size at which it was observed
	What  string  `json:"what"`            // what was observed at that size
	Where string  `json:"where,omitempty"` // cause in the code: file:line or function
}

// fittedSeries is a series with its fit, or with the reason why it can't be fitted.
type fittedSeries struct {
	Series
	Fit      *Fit   `json:"fit,omitempty"`
	FitError string `json:"refused,omitempty"`
}

// unknownError stands for an undetermined standard error in JSON, which has no infinity.
const unknownError = -1

func newFittedSeries(s Series) fittedSeries {
	fit, err := s.Fit()
	if err != nil {
		return fittedSeries{Series: s, FitError: err.Error()}
	}
	if math.IsInf(fit.ExponentError, 0) || math.IsNaN(fit.ExponentError) {
		fit.ExponentError = unknownError
	}
	return fittedSeries{Series: s, Fit: fit}
}

// MarshalJSON encodes the report with the fit of each series.
func (r *Report) MarshalJSON() ([]byte, error) {
	type plainReport Report // has no MarshalJSON method
	series := []fittedSeries{}
	for _, s := range r.Series {
		series = append(series, newFittedSeries(s))
	}
	return json.Marshal(struct {
		*plainReport
		Series []fittedSeries `json:"series"`
	}{(*plainReport)(r), series})
}

// formatFigure formats a number with about four significant digits.
func formatFigure(x float64) string {
	magnitude := math.Abs(x)
	if x != 0 && (magnitude >= 1e6 || magnitude < 1e-3) {
		return strconv.FormatFloat(x, 'g', 3, 64)
	}
	decimals := 3
	for magnitude >= 10 && decimals > 0 {
		magnitude /= 10
		decimals--
	}
	return strconv.FormatFloat(x, 'f', decimals, 64)
}

// Table writes reports as text: for each report a line per series with its fit, a line per series with its points,
// the breaks and the notes.
func Table(out io.Writer, reports ...*Report) error {
	for _, r := range reports {
		fmt.Fprintf(out, "%s: %s\n", r.Part, r.Command)
		if err := r.writeFits(out); err != nil {
			return err
		}
		r.writePoints(out)
		r.writeBreaks(out)
		for _, note := range r.Notes {
			fmt.Fprintf(out, "  %s\n", note)
		}
	}
	return nil
}

func (r *Report) writeFits(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  what\tunit\tby\tsizes\tslope +- error\tintercept\tshape\tworst\treach\tat the size asked for")
	for _, s := range r.Series {
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t", s.Name, s.Unit, s.By, s.sizeRange())
		f, err := s.Fit()
		if err != nil {
			fmt.Fprintf(t, "not fitted: %v\n", err)
			continue
		}
		reach, atTarget := f.targetColumns(s.TargetSize)
		fmt.Fprintf(t, "%s +- %s\t%s\t%s\t%.0f%%\t%s\t%s\n", formatFigure(f.Slope), formatFigure(f.SlopeError),
			formatFigure(f.Intercept), f.describeShape(), 100*f.WorstResidual, reach, atTarget)
	}
	return t.Flush()
}

// targetColumns returns the last two columns of a fit, which refer to the target size.
func (f *Fit) targetColumns(targetSize float64) (reach, atTarget string) {
	reach = "-"
	atTarget = "-"
	if targetSize <= 0 {
		return reach, atTarget
	}
	reach = formatFigure(f.Reach)
	if f.Shape.hasSlope() {
		atTarget = fmt.Sprintf("%s +- %s at %v", formatFigure(f.At(targetSize)), formatFigure(f.AtError(targetSize)), targetSize)
	}
	return reach, atTarget
}

// describeShape returns the shape, with the exponent if the shape has no slope.
func (f *Fit) describeShape() string {
	if f.Shape.hasSlope() {
		return string(f.Shape)
	}
	return fmt.Sprintf("%s %.2f +- %.2f", f.Shape, f.Exponent, f.ExponentError)
}

func (r *Report) writePoints(out io.Writer) {
	for _, s := range r.Series {
		fmt.Fprintf(out, "  %s, %s:", s.Name, s.Unit)
		for _, p := range s.Points {
			fmt.Fprintf(out, " %v: %s;", p.Size, formatFigure(p.Value))
		}
		fmt.Fprintln(out)
	}
}

func (r *Report) writeBreaks(out io.Writer) {
	for _, b := range r.Breaks {
		fmt.Fprintf(out, "  breaks at %v %ss: %s", b.Size, b.By, b.What)
		if b.Where != "" {
			fmt.Fprintf(out, " (%s)", b.Where)
		}
		fmt.Fprintln(out)
	}
}
