package purity

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// vocabulary is what the platform's adapter may import of this module: types
// that it decodes into, and how findings are reported.
var vocabulary = []string{"catalog", "finding", "statement", "target", "timeline"}

// platformNames are fields and words of the platform that the product calls
// otherwise. A few stand for all: whoever decodes an entry elsewhere needs one.
var platformNames = regexp.MustCompile(`cold-left-ms|db-role|tx-idle-ms|max-staleness-ms|slo-ms|sync-replicas|` +
	`X-Duty-Holder|X-Fence-Token|cloud-api|STEPDOWN|STARTUP|deletion-pending|is-stale|at-rev|has-more|heartbeat-ms`)

// ownSources returns the module's Go files outside of generated code.
func ownSources(t *testing.T) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && (strings.HasPrefix(d.Name(), ".") || isBuild(d.Name())) {
			return fs.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, ".pb.go") && !strings.HasSuffix(path, ".twirp.go") {
			out = append(out, path)
		}
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, len(out), 100)
	return out
}

// isBuild reports whether a folder holds what was built or written by runs.
func isBuild(name string) bool { return name == "bin" || name == "out" || name == "journal" }

func inPlatform(path string) bool {
	rel, err := filepath.Rel(root, path)
	return err == nil && strings.HasPrefix(filepath.ToSlash(rel), "platform/")
}

// The platform renames a field. Only the adapter may have to change: a name
// that leaked elsewhere would be found by an incident.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	for _, path := range ownSources(t) {
		if inPlatform(path) || strings.HasSuffix(path, "platform_test.go") {
			continue
		}
		for _, literal := range literals(t, path) {
			require.NotRegexp(t, platformNames, literal, path)
		}
	}
}

// The adapter decides nothing, so it needs nothing of the core but the types
// that it decodes into.
func TestAdapterImportsOnlyTheVocabulary(t *testing.T) {
	for _, path := range ownSources(t) {
		if !inPlatform(path) || strings.Contains(filepath.ToSlash(path), "platform/standin/") || strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		require.NoError(t, err)
		for _, imp := range file.Imports {
			name, err := strconv.Unquote(imp.Path.Value)
			require.NoError(t, err)
			if own, ok := strings.CutPrefix(name, module); ok && !strings.HasPrefix(own, "platform/") {
				require.Contains(t, vocabulary, own, path)
			}
		}
	}
}
