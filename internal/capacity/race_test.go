//go:build race

package capacity

// raceDetector says that the process holds the memory of the race detector.
const raceDetector = true
