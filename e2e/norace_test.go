//go:build !race

package e2e

// raceDetector tells whether this test binary carries the race detector.
const raceDetector = false
