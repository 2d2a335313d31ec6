//go:build !race

package testutil

// raceDetector tells whether the tests are built with the race detector.
const raceDetector = false
