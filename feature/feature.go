// Package feature names the parts of the proxy that an operator can switch off, to find out what a
// part does or to run the fleet without one that misbehaves.
//
// Start with Set. The package is pure: it does no I/O.
package feature

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Part is a part of the proxy that can be switched off.
type Part string

// The parts. Each decides under load only; without them, requests are served as by a fleet that has
// no such part.
const (
	// LimitsByPriority keeps the tokens of a workspace beyond its limit for its urgent operations.
	LimitsByPriority Part = "limits-by-priority"
	// WarmConnections retains connections by their use, and gives workspaces a home for reads.
	WarmConnections Part = "warm-connections"
	// LoadReports sends and uses reports of targets' load.
	LoadReports Part = "load-reports"
	// AdmissionByWork orders and refuses the requests of a queue by their expected work.
	AdmissionByWork Part = "admission-by-work"
	// FairShares divides a target that cannot serve all among workspaces.
	FairShares Part = "fair-shares"
	// EarlyRefusals refuses requests while their callers still have time for another VM.
	EarlyRefusals Part = "early-refusals"
	// RepeatBudget bounds how often statements are sent again.
	RepeatBudget Part = "repeat-budget"
	// ReturningCallers lets callers who return be due from their first try.
	ReturningCallers Part = "returning-callers"
	// Outliers sets targets aside that fail a part of their statements.
	Outliers Part = "outliers"
	// VMCondition takes work from VMs that are slow.
	VMCondition Part = "vm-condition"
)

var known = []Part{
	LimitsByPriority, WarmConnections, LoadReports, AdmissionByWork, FairShares, EarlyRefusals, RepeatBudget,
	ReturningCallers, Outliers, VMCondition,
}

// UnmarshalText implements encoding.TextUnmarshaler. It refuses a name that no part has.
func (p *Part) UnmarshalText(text []byte) error {
	*p = Part(text)
	if !slices.Contains(known, *p) {
		return errors.Errorf("%q names no part; the parts are %s", text, joined(known))
	}
	return nil
}

// Set tells which parts run. The zero Set runs all.
type Set struct{ off map[Part]bool }

// Without returns the Set that runs all parts but the given ones.
func Without(parts ...Part) Set {
	s := Set{off: make(map[Part]bool, len(parts))}
	for _, p := range parts {
		s.off[p] = true
	}
	return s
}

// Without reports whether a part is switched off.
func (s Set) Without(p Part) bool { return s.off[p] }

// String lists the parts that are switched off.
func (s Set) String() string { return joined(slices.Sorted(maps.Keys(s.off))) }

func joined(parts []Part) string {
	words := make([]string, len(parts))
	for i, p := range parts {
		words[i] = string(p)
	}
	return strings.Join(words, ",")
}
