// Package inifile parses the INI text of a set of profiles and checks it as a
// whole: every finding has file, section, key and line, unknown keys and
// sections are findings, and all are reported together. docs/PROFILES.md lists
// each key with unit, default and bounds; the constants in this package are
// its source.
//
// A section [passes] declares the profile "passes"; [passes.purchase] declares
// its kind "purchase".
package inifile
