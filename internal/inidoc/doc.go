// Package inidoc reads an INI file into sections whose typed accessors check
// what they return and collect findings with file, section, key and line.
//
// ini.v1 does the parsing. It keeps no line numbers, so index.go scans the text
// once more for the lines of the headers and keys that the library parsed; a
// wrong guess there would misplace a finding but never change a value. Keys
// that no accessor asked for are unknown and become findings in Finish.
package inidoc
