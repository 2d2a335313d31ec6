package flightrecorder

import "regexp"

// storedLogTexts maps log lines of the balancer to the texts as which recordings store them. The stored texts are
// part of the format: recordings of earlier builds contain them, and a replay compares them with the lines of the
// replaying build.
//
// A change of the text of a log line in package balancer requires a change of this table, so that the line is stored
// as before. A line that no pattern matches is stored unchanged.
var storedLogTexts = []struct {
	pattern *regexp.Regexp
	stored  string
}{
	{regexp.MustCompile(`^host ([0-9a-f]+) excluded for class (\d+): errors`), "host $1 gets no more of class $2 for now: errors"},
	{regexp.MustCompile(`^host ([0-9a-f]+) readmitted`), "host $1 is back"},
	{regexp.MustCompile(`^failing open: (\d+ of \d+ hosts are ejected)`), "$1, using them all the same"},
	{regexp.MustCompile(`^rejecting requests: hosts at their limits, (\d+) queued`), "refusing: hosts are full, $1 requests wait"},
	{regexp.MustCompile(`^endpoint list unavailable, polling again`), "host list lost, asking again"},
	{regexp.MustCompile(`^endpoint list available again`), "host list regained"},
	{regexp.MustCompile(` \((\d+) similar lines suppressed\)$`), " ($1 more such lines held back)"},
}

// storedLogText returns the text as which a recording stores a log line of the balancer.
func storedLogText(line string) string {
	for _, text := range storedLogTexts {
		line = text.pattern.ReplaceAllString(line, text.stored)
	}
	return line
}
