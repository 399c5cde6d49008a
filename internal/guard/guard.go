// Package guard lets a test take one guard out of the decision core, to show
// that the test's judge notices. Nothing outside of tests sets a guard.Set: no
// setting, flag or environment variable leads here.
package guard

// Name names one guard.
type Name string

// Set holds the guards that are taken out. The zero value takes out none.
type Set map[Name]bool

// Without returns a set that takes out the named guards.
func Without(names ...Name) Set {
	s := make(Set, len(names))
	for _, n := range names {
		s[n] = true
	}
	return s
}

// Out reports whether the guard is taken out.
func (s Set) Out(n Name) bool { return s[n] }
