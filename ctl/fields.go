package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
)

// fields writes any JSON value as aligned lines "path = value". It does not depend on the fields
// known to this version, so the report of a daemon of another version is shown too.
func fields(w io.Writer, value any) {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	flatten(tw, "", value)
	_ = tw.Flush()
}

func flatten(w io.Writer, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			flatten(w, join(path, key), v[key])
		}
	case []any:
		for i, item := range v {
			flatten(w, join(path, strconv.Itoa(i)), item)
		}
	default:
		fmt.Fprintf(w, "%s\t= %v\n", path, v)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// decodeAny reads JSON and keeps numbers as they are written.
func decodeAny(raw io.Reader) (any, error) {
	dec := json.NewDecoder(raw)
	dec.UseNumber()
	var v any
	err := dec.Decode(&v)
	return v, err
}
