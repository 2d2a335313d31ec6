package flightrecorder

import (
	"bufio"
	"encoding/xml"
	"fmt"
	"io"
	"strings"
	"time"
)

// Sizes of the plot, in pixels.
const (
	plotLeft   = 130
	plotWidth  = 960
	laneHigh   = 46
	laneGap    = 10
	plotTop    = 30
	plotBottom = 60
)

// colours of a host's standing, by its letter; also readable by the letter itself.
var colours = map[byte]string{
	'd': "#d9d9d9", 'X': "#f4a6a6", 'S': "#f6c89f", 'c': "#a9d4f5", 'r': "#e3c7f0",
	'o': "#f7e08f", 'f': "#fdf3c4", '-': "#eeeeee",
}

// SVG draws the time lines: what came and what became of it, and for each host its limit
// (dark line), its attempts out (blue) and what kept it from more (colour of the ground).
func (a *Analysis) SVG(w io.Writer) error {
	out := bufio.NewWriter(w)
	buckets := len(a.Rates)
	for _, h := range a.Hosts {
		buckets = max(buckets, len(h.Buckets))
	}
	if buckets == 0 {
		return fmt.Errorf("there is nothing to draw: no event in this stretch")
	}
	lanes := len(a.Hosts) + 1
	high := plotTop + lanes*(laneHigh+laneGap) + plotBottom
	step := float64(plotWidth) / float64(buckets)
	fmt.Fprintf(out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotLeft+plotWidth+90, high)
	fmt.Fprintf(out, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="18">gateway %s, %v from %s on</text>`+"\n",
		plotLeft, escaped(a.Gateway), time.Duration(buckets)*a.Bucket, a.Wall.UTC().Format(wallForm))
	if a.Viewed {
		fmt.Fprintf(out, `<text x="%d" y="18" text-anchor="end" fill="#a00">this build decides otherwise: hosts as in the recorded views</text>`+"\n",
			plotLeft+plotWidth)
	}
	lane := func(i int, name string) (top float64) {
		top = float64(plotTop + i*(laneHigh+laneGap))
		fmt.Fprintf(out, `<text x="%d" y="%.0f" text-anchor="end">%s</text>`, plotLeft-8, top+laneHigh/2, escaped(name))
		fmt.Fprintf(out, `<rect x="%d" y="%.0f" width="%d" height="%d" fill="none" stroke="#999"/>`+"\n", plotLeft, top, plotWidth, laneHigh)
		return top
	}
	line := func(top, most float64, colour string, n int, at func(int) (float64, bool)) {
		fmt.Fprintf(out, `<polyline fill="none" stroke="%s" stroke-width="1.3" points="`, colour)
		for i := range n {
			if y, ok := at(i); ok {
				fmt.Fprintf(out, "%.1f,%.1f ", plotLeft+(float64(i)+0.5)*step, top+laneHigh*(1-min(y/max(most, 1e-9), 1)))
			}
		}
		fmt.Fprintln(out, `"/>`)
	}
	top, most := lane(0, "requests /s"), 0.0
	for _, r := range a.Rates {
		most = max(most, float64(r.Asked))
	}
	for _, c := range []struct {
		colour string
		of     func(Rates) int
	}{
		{"#333", func(r Rates) int { return r.Asked }}, {"#2a8", func(r Rates) int { return r.Served }},
		{"#d33", func(r Rates) int { return r.Refused }}, {"#a4a", func(r Rates) int { return r.Failed }},
	} {
		line(top, most, c.colour, len(a.Rates), func(i int) (float64, bool) { return float64(c.of(a.Rates[i])), true })
	}
	fmt.Fprintf(out, `<text x="%d" y="%.0f">%.0f</text>`+"\n", plotLeft+plotWidth+6, top+10, most/a.Bucket.Seconds())
	for k, h := range a.Hosts {
		top := lane(k+1, h.label())
		most := 1.0
		for i := range h.Buckets {
			b := &h.Buckets[i]
			if colour := colours[b.letter()]; colour != "" {
				fmt.Fprintf(out, `<rect x="%.1f" y="%.0f" width="%.1f" height="%d" fill="%s"/>`, plotLeft+float64(i)*step, top, step, laneHigh, colour)
			}
			if b.Looks > 0 {
				most = max(most, b.Limit/float64(b.Looks), b.Pending/float64(b.Looks))
			}
		}
		fmt.Fprintln(out)
		line(top, most, "#333", len(h.Buckets), func(i int) (float64, bool) {
			b := &h.Buckets[i]
			return b.Limit / float64(max(b.Looks, 1)), b.Looks > 0
		})
		line(top, most, "#26c", len(h.Buckets), func(i int) (float64, bool) {
			b := &h.Buckets[i]
			return b.Pending / float64(max(b.Looks, 1)), b.Looks > 0
		})
		fmt.Fprintf(out, `<text x="%d" y="%.0f">%.1f</text>`+"\n", plotLeft+plotWidth+6, top+10, most)
	}
	y := float64(high - plotBottom + 20)
	fmt.Fprintf(out, `<text x="%d" y="%.0f">requests: asked (dark), served (green), refused (red), failed (violet); hosts: limit (dark), attempts out (blue)</text>`+"\n", plotLeft, y)
	x := float64(plotLeft)
	for _, l := range letters {
		if colour := colours[l.letter]; colour != "" {
			fmt.Fprintf(out, `<rect x="%.0f" y="%.0f" width="12" height="12" fill="%s" stroke="#999"/><text x="%.0f" y="%.0f">%s</text>`+"\n",
				x, y+12, colour, x+16, y+22, l.word)
			x += 105
		}
	}
	fmt.Fprintln(out, "</svg>")
	return out.Flush()
}

func escaped(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s)) // to a Builder, which takes all
	return b.String()
}
