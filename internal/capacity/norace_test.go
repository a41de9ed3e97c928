//go:build !race

package capacity

// raceDetector is false in builds without the race detector.
const raceDetector = false
