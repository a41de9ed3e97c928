//go:build race

package capacity

// raceDetector is true in builds with the race detector, which multiplies the memory
// of the process.
const raceDetector = true
