// Package guard lets a test disable one guard (a safety check) of the decision core, to show that
// the test's checker detects its absence. Only tests set a guard.Set: no setting, flag or
// environment variable leads here.
package guard

// Name identifies one guard.
type Name string

// Set contains the guards that are disabled. The zero value disables none.
type Set map[Name]bool

// Without returns a set that disables the named guards.
func Without(names ...Name) Set {
	s := make(Set, len(names))
	for _, n := range names {
		s[n] = true
	}
	return s
}

// Disabled reports whether the guard is disabled.
func (s Set) Disabled(n Name) bool { return s[n] }
