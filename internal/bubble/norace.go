//go:build !race

package bubble

// raceDetector reports whether the binary was built with the race detector.
const raceDetector = false
