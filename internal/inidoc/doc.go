// Package inidoc reads an INI file into sections. Their typed accessors check each value and
// collect findings with file, section, key and line. Load is the function to begin with.
//
// Package ini.v1 does the parsing, but it keeps no line numbers. Therefore index.go scans the text
// a second time for the lines of the headers and keys that the library parsed. A wrong result there
// would misplace a finding but never change a value. Keys that no accessor read are unknown and
// become findings in Finish.
package inidoc
