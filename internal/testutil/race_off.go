//go:build !race

package testutil

// raceDetector reports whether the tests are built with the race detector.
const raceDetector = false
