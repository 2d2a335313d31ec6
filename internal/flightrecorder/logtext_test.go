package flightrecorder

import "testing"

// Recordings store the log lines of the balancer with the texts of the first build, and storing a stored text again
// doesn't change it.
func TestLogTextsAreStoredAsBefore(t *testing.T) {
	for line, want := range map[string]string{
		"host 1f ejected: connections fail":                              "host 1f ejected: connections fail",
		"host 1f ejected: silent":                                        "host 1f ejected: silent",
		"host 1f excluded for class 2: errors":                           "host 1f gets no more of class 2 for now: errors",
		"host 1f readmitted":                                             "host 1f is back",
		"failing open: 7 of 12 hosts are ejected":                        "7 of 12 hosts are ejected, using them all the same",
		"rejecting requests: hosts at their limits, 30 queued":           "refusing: hosts are full, 30 requests wait",
		"endpoint list unavailable, polling again":                       "host list lost, asking again",
		"endpoint list available again":                                  "host list regained",
		"host 1f readmitted (9 similar lines suppressed)":                "host 1f is back (9 more such lines held back)",
		"endpoint list available again (10 similar lines suppressed)":    "host list regained (10 more such lines held back)",
		"host 1f ejected: connections fail (1 similar lines suppressed)": "host 1f ejected: connections fail (1 more such lines held back)",
	} {
		if got := storedLogText(line); got != want {
			t.Errorf("%q is stored as %q, want %q", line, got, want)
		}
		if got := storedLogText(want); got != want {
			t.Errorf("stored text %q is stored again as %q, want it unchanged", want, got)
		}
	}
}
