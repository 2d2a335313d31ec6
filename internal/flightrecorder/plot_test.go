package flightrecorder

import (
	"encoding/xml"
	"io"
	"testing"
	"time"

	"dunemoor/balancer"
)

// The plot is well-formed XML with a line for each rate and two lines for each host.
func TestSVGIsWellFormed(t *testing.T) {
	var out bufferSink
	rec, _ := record(t, faultyTraffic(), 6, Options{})
	rec.NameHost(balancer.Time(2*time.Hour), 2, `<&">`)
	a := analyzed(t, rec.Dump(nil), Window{})
	if err := a.SVG(&out); err != nil {
		t.Fatal(err)
	}
	lines := 0
	for d := xml.NewDecoder(&out.Buffer); ; {
		tok, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := tok.(xml.StartElement); ok && e.Name.Local == "polyline" {
			lines++
		}
	}
	if want := 4 + 2*len(a.Hosts); lines != want {
		t.Errorf("got %d lines, want %d", lines, want)
	}
	if err := (&Analysis{}).SVG(&out); err == nil {
		t.Error("empty analysis: got no error")
	}
}
