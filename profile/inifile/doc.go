// Package inifile parses the INI text of a set of profiles and checks it as a whole. Begin with Parse.
// Each finding has file, section, key and line; unknown keys and sections are findings; and all
// findings are reported together. docs/PROFILES.md lists each key with its unit, default and bounds,
// which are defined by the constants in this package.
//
// A section [passes] declares the profile "passes". A section [passes.purchase] declares its kind
// "purchase".
package inifile
