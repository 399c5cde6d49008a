//go:build race

package bubble

// raceDetector says whether the binary was built with the race detector.
const raceDetector = true
