//go:build race

package edge_test

// raceThins thins the matrix out under the race detector, for the time that it
// takes: the whole sample takes 230 s there on the one processor of a bubble, this
// part of it about 100 s.
const raceThins = 3
