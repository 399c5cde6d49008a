//go:build race

package edge_test

// raceDivisor thins the matrix out under the race detector to limit the run time: the whole sample
// takes 230 s there on the one processor of a bubble, this part of it about 100 s.
const raceDivisor = 3
