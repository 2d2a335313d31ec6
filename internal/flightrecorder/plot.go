package flightrecorder

import (
	"bufio"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Sizes of the plot, in pixels.
const (
	plotLeft    = 130
	plotRight   = 90
	plotWidth   = 960
	plotTop     = 30
	plotBottom  = 60
	laneHeight  = 46
	laneGap     = 10
	legendWidth = 105 // width of a legend entry
)

// Colors of the lines.
const (
	requestsColor         = "#333"
	servedColor           = "#2a8"
	rejectedColor         = "#d33"
	failedColor           = "#a4a"
	concurrencyLimitColor = "#333"
	inFlightColor         = "#26c"
)

// stateColors are the background colors of a host's buckets, by letter of stateLetters.
var stateColors = map[byte]string{
	'd': "#d9d9d9", 'X': "#f4a6a6", 'S': "#f6c89f", 'c': "#a9d4f5", 'r': "#e3c7f0",
	'o': "#f7e08f", 'f': "#fdf3c4", '-': "#eeeeee",
}

// errNothingToPlot is the error for an analysis without events.
var errNothingToPlot = errors.New("there is nothing to draw: no event in this stretch")

// SVG draws the timelines: the rates of requests and responses, and for each host its concurrency limit (dark),
// its attempts in flight (blue), and why it was unavailable (background). It returns an error if the analysis has
// no event, or the error of w.
func (a *Analysis) SVG(w io.Writer) error {
	buckets := len(a.Rates)
	for _, h := range a.Hosts {
		buckets = max(buckets, len(h.Buckets))
	}
	if buckets == 0 {
		return errNothingToPlot
	}
	lanes := len(a.Hosts) + 1
	p := &plot{
		Writer:  bufio.NewWriter(w),
		buckets: buckets,
		step:    float64(plotWidth) / float64(buckets),
		height:  plotTop + lanes*(laneHeight+laneGap) + plotBottom,
	}
	p.begin(a)
	p.rates(a)
	for i, h := range a.Hosts {
		p.host(i+1, h)
	}
	p.legend()
	return p.Flush()
}

// plot draws an SVG. Its Writer keeps the first error.
type plot struct {
	*bufio.Writer
	buckets int
	step    float64 // width of a bucket
	height  int
}

func (p *plot) printf(format string, args ...any) { fmt.Fprintf(p, format, args...) }

func (p *plot) begin(a *Analysis) {
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotLeft+plotWidth+plotRight, p.height)
	p.printf(`<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="18">gateway %s, %v from %s on</text>`+"\n",
		plotLeft, escapeXML(a.Gateway), time.Duration(p.buckets)*a.BucketSize, a.Wall.UTC().Format(wallTimeFormat))
	if a.FromViews {
		p.printf(`<text x="%d" y="18" text-anchor="end" fill="#a00">this build decides otherwise: hosts as in the recorded views</text>`+"\n",
			plotLeft+plotWidth)
	}
}

// lane draws the frame and the name of the i-th lane, and returns the y coordinate of its upper edge.
func (p *plot) lane(i int, name string) float64 {
	top := float64(plotTop + i*(laneHeight+laneGap))
	p.printf(`<text x="%d" y="%.0f" text-anchor="end">%s</text>`, plotLeft-8, top+laneHeight/2, escapeXML(name))
	p.printf(`<rect x="%d" y="%.0f" width="%d" height="%d" fill="none" stroke="#999"/>`+"\n", plotLeft, top, plotWidth, laneHeight)
	return top
}

// line draws a line through the values of the buckets in a lane. top is the y coordinate of the lane's upper edge,
// which stands for the value highest.
func (p *plot) line(top, highest float64, color string, buckets int, value func(int) (y float64, ok bool)) {
	p.printf(`<polyline fill="none" stroke="%s" stroke-width="1.3" points="`, color)
	for i := range buckets {
		if y, ok := value(i); ok {
			x := plotLeft + float64((float64(i)+0.5)*p.step)
			p.printf("%.1f,%.1f ", x, top+float64(laneHeight*(1-min(y/max(highest, 1e-9), 1))))
		}
	}
	fmt.Fprintln(p, `"/>`)
}

// scale writes the highest value of a lane.
func (p *plot) scale(top float64, format string, highest float64) {
	p.printf(`<text x="%d" y="%.0f">`+format+`</text>`+"\n", plotLeft+plotWidth+6, top+10, highest)
}

// rates draws the lane of the rates.
func (p *plot) rates(a *Analysis) {
	top := p.lane(0, "requests /s")
	highest := 0.0
	for _, r := range a.Rates {
		highest = max(highest, float64(r.Requests))
	}
	for _, series := range rateSeries {
		p.line(top, highest, series.color, len(a.Rates), func(i int) (float64, bool) {
			return float64(series.count(a.Rates[i])), true
		})
	}
	p.scale(top, "%.0f", highest/a.BucketSize.Seconds())
}

// host draws the lane of a host.
func (p *plot) host(lane int, h *HostTimeline) {
	top := p.lane(lane, h.label())
	highest := 1.0
	for i := range h.Buckets {
		b := &h.Buckets[i]
		if color := stateColors[b.letter()]; color != "" {
			p.printf(`<rect x="%.1f" y="%.0f" width="%.1f" height="%d" fill="%s"/>`, plotLeft+float64(float64(i)*p.step), top, p.step, laneHeight, color)
		}
		highest = max(highest, b.meanConcurrencyLimit(), b.meanInFlight())
	}
	fmt.Fprintln(p)
	p.line(top, highest, concurrencyLimitColor, len(h.Buckets), func(i int) (float64, bool) {
		b := &h.Buckets[i]
		return b.meanConcurrencyLimit(), b.Samples > 0
	})
	p.line(top, highest, inFlightColor, len(h.Buckets), func(i int) (float64, bool) {
		b := &h.Buckets[i]
		return b.meanInFlight(), b.Samples > 0
	})
	p.scale(top, "%.1f", highest)
}

// legend draws the legend of the lines and backgrounds, and ends the SVG.
func (p *plot) legend() {
	y := float64(p.height - plotBottom + 20)
	p.printf(`<text x="%d" y="%.0f">requests: asked (dark), served (green), refused (red), failed (violet); hosts: limit (dark), attempts out (blue)</text>`+"\n", plotLeft, y)
	x := float64(plotLeft)
	for _, l := range stateLetters {
		if color := stateColors[l.letter]; color != "" {
			p.printf(`<rect x="%.0f" y="%.0f" width="12" height="12" fill="%s" stroke="#999"/><text x="%.0f" y="%.0f">%s</text>`+"\n",
				x, y+12, color, x+16, y+22, l.reason)
			x += legendWidth
		}
	}
	fmt.Fprintln(p, "</svg>")
}

func escapeXML(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s)) // a strings.Builder returns no error
	return b.String()
}
