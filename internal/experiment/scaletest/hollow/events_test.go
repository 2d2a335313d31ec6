package hollow

import (
	"testing"
	"time"
)

func TestParseLogLine(t *testing.T) {
	at := time.Date(2026, 12, 3, 10, 0, 0, 123456789, time.UTC)
	const stamp = "time=2026-12-03T10:00:00.123456789Z"
	for _, c := range []struct {
		line, message string
		ok            bool
	}{
		{stamp + ` level=INFO msg="session opened" session=7`, "session opened", true},
		{stamp + ` level=INFO msg="became leader"`, "became leader", true},
		{stamp + ` level=INFO msg=serving address=127.0.0.1:1`, "serving", true},
		{stamp + ` level=INFO`, "", false},
		{`level=INFO msg="session opened"`, "", false},
		{`time=now level=INFO msg="session opened"`, "", false},
		{"", "", false},
	} {
		message, got, ok := parseLogLine(c.line)
		if message != c.message || ok != c.ok || ok && !got.Equal(at) {
			t.Errorf("%q: got %q at %v, %v, want %q at %v, %v", c.line, message, got, ok, c.message, at, c.ok)
		}
	}
}
