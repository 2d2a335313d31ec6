package httpwire

import (
	"net/http"
	"testing"
	"time"
)

func TestAppendHeaderPreventsResponseSplitting(t *testing.T) {
	got := string(AppendHeader(nil, http.Header{"X-A": {"a\r\nX-B: b\nc"}, "X C": {"d"}, "": {"e"}, "X\r\nD": {"f"}}))
	if want := "X-A: a  X-B: b c\r\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	got = string(AppendHeader(nil, http.Header{"Set-Cookie": {"a", "b"}}))
	if want := "Set-Cookie: a\r\nSet-Cookie: b\r\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestAppendDate(t *testing.T) {
	now := time.Date(2026, 12, 1, 23, 59, 59, 999, time.FixedZone("x", 3600))
	for range 2 { // the second call uses the cached line
		if got, want := string(AppendDate(nil, now)), "Date: Tue, 01 Dec 2026 22:59:59 GMT\r\n"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got, want := string(AppendDate(nil, now.Add(time.Second))), "Date: Tue, 01 Dec 2026 23:00:00 GMT\r\n"; got != want {
		t.Errorf("a second later: got %q, want %q", got, want)
	}
}
