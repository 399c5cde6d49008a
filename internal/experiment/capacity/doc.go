// Package capacity measures how the state and the work of each role grow, and
// carries the slopes to the size that the users plan for.
//
// Each measure runs a function of the core at four sizes or more, fits a line
// by least squares, and gives the line's worst distance from a point. Figures
// of processor time are the best of several runs on one core; memory is the
// growth of the live heap after a collection. docs/CAPACITY.md quotes them.
package capacity
