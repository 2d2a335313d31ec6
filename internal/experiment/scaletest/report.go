package scaletest

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
)

// Report is what one part measured.
type Report struct {
	Part    string   `json:"part"`
	Command string   `json:"command"` // that measures it again
	Series  []Series `json:"series"`
	Breaks  []Break  `json:"breaks,omitempty"`
	Notes   []string `json:"notes,omitempty"`
}

// Break is where a line ends: a cap, a queue that drops, a lock, a quadratic.
type Break struct {
	By    string  `json:"by"`              // what is counted
	Size  float64 `json:"size"`            // where it was seen
	What  string  `json:"what"`            // was seen
	Where string  `json:"where,omitempty"` // file:line or function
}

// fitted is a series with its fit, or with why it has none.
type fitted struct {
	Series
	Fit     *Fit   `json:"fit,omitempty"`
	Refused string `json:"refused,omitempty"`
}

// MarshalJSON adds the fit to each series.
func (r *Report) MarshalJSON() ([]byte, error) {
	type plain Report
	list := []fitted{}
	for _, s := range r.Series {
		f := fitted{Series: s}
		fit, err := s.Fit()
		if err != nil {
			f.Refused = err.Error()
		} else if f.Fit = fit; math.IsInf(fit.ExponentError, 0) || math.IsNaN(fit.ExponentError) {
			fit.ExponentError = -1 // JSON has no infinity: not known
		}
		list = append(list, f)
	}
	return json.Marshal(struct {
		*plain
		Series []fitted `json:"series"`
	}{(*plain)(r), list})
}

// short writes a figure with four digits that count.
func short(x float64) string {
	if x != 0 && (math.Abs(x) >= 1e6 || math.Abs(x) < 1e-3) {
		return strconv.FormatFloat(x, 'g', 3, 64)
	}
	digits := 3
	for v := math.Abs(x); v >= 10 && digits > 0; v /= 10 {
		digits--
	}
	return strconv.FormatFloat(x, 'f', digits, 64)
}

// Table writes reports as text: a line a series with its fit, its points below, and what breaks.
func Table(out io.Writer, reports ...*Report) error {
	for _, r := range reports {
		fmt.Fprintf(out, "%s: %s\n", r.Part, r.Command)
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  what\tunit\tby\tsizes\tslope +- error\tintercept\tshape\tworst\treach\tat the size asked for")
		for _, s := range r.Series {
			fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t", s.Name, s.Unit, s.By, s.sizes())
			f, err := s.Fit()
			if err != nil {
				fmt.Fprintf(t, "not fitted: %v\n", err)
				continue
			}
			reach, at := "-", "-"
			if s.Asked > 0 {
				reach = short(f.Reach)
				if f.Shape == Line || f.Shape == Flat {
					at = fmt.Sprintf("%s +- %s at %v", short(f.At(s.Asked)), short(f.AtError(s.Asked)), s.Asked)
				}
			}
			fmt.Fprintf(t, "%s +- %s\t%s\t%s\t%.0f%%\t%s\t%s\n", short(f.Slope), short(f.SlopeError), short(f.Intercept), f.said(), 100*f.Worst, reach, at)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		for _, s := range r.Series {
			fmt.Fprintf(out, "  %s, %s:", s.Name, s.Unit)
			for _, p := range s.Points {
				fmt.Fprintf(out, " %v: %s;", p.Size, short(p.Value))
			}
			fmt.Fprintln(out)
		}
		for _, b := range r.Breaks {
			fmt.Fprintf(out, "  breaks at %v %ss: %s", b.Size, b.By, b.What)
			if b.Where != "" {
				fmt.Fprintf(out, " (%s)", b.Where)
			}
			fmt.Fprintln(out)
		}
		for _, n := range r.Notes {
			fmt.Fprintf(out, "  %s\n", n)
		}
	}
	return nil
}

// said is the shape in words of the table.
func (f *Fit) said() string {
	if f.Shape == Line || f.Shape == Flat {
		return string(f.Shape)
	}
	return fmt.Sprintf("%s %.2f +- %.2f", f.Shape, f.Exponent, f.ExponentError)
}

// sizes are the first and last of a series, and how many.
func (s *Series) sizes() string {
	if len(s.Points) == 0 {
		return "none"
	}
	low, high := s.Points[0].Size, s.Points[0].Size
	for _, p := range s.Points {
		low, high = min(low, p.Size), max(high, p.Size)
	}
	return fmt.Sprintf("%v-%v (%d)", low, high, len(s.Points))
}
