//go:build race

package capacity

// raceDetector reports whether the race detector is enabled, which adds memory to the
// process.
const raceDetector = true
