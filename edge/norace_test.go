//go:build !race

package edge_test

// raceDivisor keeps the whole matrix without the race detector.
const raceDivisor = 1
