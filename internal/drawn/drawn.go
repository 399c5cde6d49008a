// Package drawn makes the choices of a test's world from numbers that a property test has drawn, for worlds
// that run in a bubble, where nothing can be drawn.
package drawn

// Script has the choices that a world makes, one after the other.
type Script []int

// Choose returns the next choice, a number below n; 0 at the end of the script.
func (s *Script) Choose(n int) int {
	if len(*s) == 0 {
		return 0
	}
	next := (*s)[0]
	*s = (*s)[1:]
	return next % n
}
