//go:build race

package edge_test

// raceThins thins the matrix out under the race detector, which gives up on a
// process after a bounded number of synchronizations: some thirty fleets reach it.
const raceThins = 5
