package flightrecorder

import (
	"slices"
	"testing"
)

// The letters of time lines with the reasons and explanations that operators read beside them.
func TestCompatTimelineLetters(t *testing.T) {
	want := []stateLetter{
		{"gone", ' ', "gone"},
		{"draining", 'd', "draining"},
		{"ejected", 'X', "ejected, connections fail"},
		{"silent", 'S', "ejected as silent"},
		{"cold", 'c', "cold, waiting its turn"},
		{"resting", 'r', "resting, its limit is below one"},
		{"overdue", 'o', "its oldest attempt is overdue"},
		{"full", 'f', "at its limit"},
		{"not drawn", '-', "not drawn from"},
	}
	if !slices.Equal(stateLetters, want) {
		t.Errorf("letters:\n got %v\nwant %v", stateLetters, want)
	}
	if noSamplesLetter != ' ' || availableLetter != '.' {
		t.Errorf("letters without a reason: got %q and %q, want \" \" and \".\"", noSamplesLetter, availableLetter)
	}
}
