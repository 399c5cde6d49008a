package proxy

import (
	"io"
	"maps"
	"strings"

	"github.com/alecthomas/kong"

	"endivemoor.example/endivemoor/outcome"
)

// paramOptions carries settings as command-line arguments. It is the only way in which libpq and
// JDBC let a caller send custom settings.
const paramOptions = "options"

// commandLine is the syntax of the options parameter: -c name=value, repeated.
type commandLine struct {
	Set map[string]string `short:"c" mapsep:"none"`
}

// startupParams returns the parameters of a startup message together with those in its options. A
// separate parameter takes precedence over one in the options.
func startupParams(in map[string]string) (map[string]string, *outcome.Error) {
	text := in[paramOptions]
	if text == "" {
		return maps.Clone(in), nil
	}
	var line commandLine
	parser, err := kong.New(&line, kong.NoDefaultHelp(), kong.Writers(io.Discard, io.Discard), kong.Exit(func(int) {}))
	if err == nil {
		_, err = parser.Parse(strings.Fields(text))
	}
	if err != nil {
		return nil, refuse(outcome.CodeInvalidParameter, "options: only -c name=value is understood")
	}
	out := maps.Clone(line.Set)
	maps.Copy(out, in)
	return out, nil
}
