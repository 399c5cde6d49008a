//go:build !race

package edge_test

// raceThins leaves the matrix as it is without the race detector.
const raceThins = 1
