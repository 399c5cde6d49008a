// Package capacity measures how the memory and processor time of each role grow, and extrapolates
// the slopes to the size that the users plan for. Run measures functions of the core in process;
// RunDaemon measures a running daemon; WriteExample writes the configuration of larger test fleets.
//
// Each measure runs a function of the core at four sizes or more, fits a line by least squares, and
// reports the largest residual of the line. Processor times are the best of several runs on one
// core; memory is the growth of the live heap after a garbage collection. docs/CAPACITY.md quotes
// the results.
package capacity
