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

// adapterImports are the packages of this module that the platform's adapter may import: the types
// that it decodes into, and the reporting of findings.
var adapterImports = []string{"catalog", "finding", "statement", "target", "timeline"}

// platformNames matches field names and words of the platform for which the product has other
// names. A few suffice: code outside the adapter that decodes an entry needs at least one of them.
var platformNames = regexp.MustCompile(`cold-left-ms|db-role|tx-idle-ms|max-staleness-ms|slo-ms|sync-replicas|` +
	`X-Duty-Holder|X-Fence-Token|cloud-api|STEPDOWN|STARTUP|deletion-pending|is-stale|at-rev|has-more|heartbeat-ms`)

// ownSources returns the module's Go files except generated code.
func ownSources(t *testing.T) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && (strings.HasPrefix(d.Name(), ".") || isGenerated(d.Name())) {
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

// isGenerated reports whether a directory holds build output or files written by runs.
func isGenerated(name string) bool { return name == "bin" || name == "out" || name == "journal" }

func inPlatform(path string) bool {
	rel, err := filepath.Rel(root, path)
	return err == nil && strings.HasPrefix(filepath.ToSlash(rel), "platform/")
}

// Failure guarded against: the platform renames a field that code outside the adapter also uses,
// and the use is found only by an incident. Only the adapter may use the platform's names.
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

// The adapter makes no decisions, so it needs nothing of the core except the types that it decodes
// into.
func TestAdapterImportsOnlyAllowedPackages(t *testing.T) {
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
				require.Contains(t, adapterImports, own, path)
			}
		}
	}
}
